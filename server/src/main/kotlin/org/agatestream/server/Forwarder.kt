package org.agatestream.server

import kotlinx.coroutines.CoroutineScope
import kotlinx.coroutines.Job
import kotlinx.coroutines.launch
import kotlinx.coroutines.withTimeoutOrNull
import org.agatestream.core.BackendKind
import org.agatestream.core.BackendServerId
import org.agatestream.core.ErrorKind
import org.agatestream.core.Failure
import org.agatestream.core.MonotonicTime
import org.agatestream.core.RequestId
import org.agatestream.core.RetryBudget
import org.agatestream.core.RetryDecision
import org.agatestream.core.RetryLimits
import org.agatestream.core.RunState
import org.agatestream.core.getOrElse
import org.agatestream.http.ExchangeResult
import org.agatestream.http.HttpClient
import org.agatestream.http.HttpClientResponse
import org.agatestream.http.HttpRequestSpec
import java.util.concurrent.atomic.AtomicReference
import kotlin.time.Duration.Companion.milliseconds
import kotlin.time.Duration.Companion.seconds

/** Runs requests on backend servers and repeats those that have not run, or that may run twice. */
internal class Forwarder(
    private val client: HttpClient,
    private val slots: BackendSlots,
    private val scope: CoroutineScope,
    private val clock: () -> MonotonicTime,
) {
    private val budget = AtomicReference(RetryBudget(RETRY_LIMITS.maxAccumulated))

    /** Runs [request] and passes the response to [use]; a response not read to its end is cancelled at its server. */
    suspend fun <T : Any> forward(
        request: BackendRequest,
        use: suspend (BackendExchange) -> Attempt<T>,
    ): Attempt<T> {
        val failedServers = mutableSetOf<BackendServerId>()
        var lastResult: Attempt<T>? = null
        budget.updateAndGet { it.onRequest(RETRY_LIMITS) }
        repeat(MAX_ATTEMPTS) { number ->
            val slot = request.slot.copy(excluded = request.slot.excluded + failedServers)
            val lease = slots.acquire(slot).getOrElse { return lastResult ?: Attempt.NotRun(it) }
            val attempt = attempt(request, RequestId("${request.id}.$number"), lease, use)
            // Keep an earlier loss as the result: a later refusal does not prove that nothing ran.
            val result = lastResult.takeIf { it is Attempt.Lost && attempt is Attempt.NotRun } ?: attempt
            if (!attempt.isRepeatable(request) || !takeRetry(request)) return result
            failedServers += lease.server
            lastResult = result
        }
        return checkNotNull(lastResult)
    }

    private fun Attempt<*>.isRepeatable(request: BackendRequest): Boolean =
        this is Attempt.NotRun || (this is Attempt.Lost && isRetryable && request.idempotent)

    /** Takes a retry from the budget; the request has not run or is idempotent. */
    private fun takeRetry(request: BackendRequest): Boolean {
        while (true) {
            val now = budget.get()
            val (next, decision) = now.retry(RunState.NOT_RUN, RETRY_LIMITS, request.slot.deadline, clock())
            if (decision != RetryDecision.Retry) return false
            if (budget.compareAndSet(now, next)) return true
        }
    }

    private suspend fun <T : Any> attempt(
        request: BackendRequest,
        id: RequestId,
        lease: SlotLease,
        use: suspend (BackendExchange) -> Attempt<T>,
    ): Attempt<T> {
        val run = Run(request, id, lease)
        try {
            // A non-idempotent call is not preempted: cancelling it would leave its outcome unknown.
            val stop = if (request.idempotent) lease.revoked else Job()
            val attempt = runUntilCompleted(stop) { withinDeadline(request) { run.send(use) } } ?: Attempt.Revoked
            run.finish(attempt)
            return attempt
        } finally {
            run.cancelUnlessFinished()
        }
    }

    private suspend fun <T> withinDeadline(
        request: BackendRequest,
        block: suspend () -> Attempt<T>,
    ): Attempt<T> {
        val left = request.slot.deadline - clock()
        return withTimeoutOrNull(left) { block() } ?: Attempt.Lost(DEADLINE_FAILURE)
    }

    /** One attempt on one server. */
    private inner class Run(
        private val request: BackendRequest,
        private val id: RequestId,
        private val lease: SlotLease,
    ) {
        private val sentAt = clock()
        private var response: HttpClientResponse? = null
        private var result: SlotResult? = null
        private var finished = false

        suspend fun <T> send(use: suspend (BackendExchange) -> Attempt<T>): Attempt<T> {
            val spec = request.toSpec(id, lease.setting.address, sentAt)
            return when (val exchange = client.exchange(spec)) {
                is ExchangeResult.NotSent -> {
                    result = SlotResult.NotSent
                    Attempt.NotRun(Failure(ErrorKind.NO_CAPACITY, "the backend server refused the connection"))
                }

                is ExchangeResult.Lost -> {
                    Attempt.Lost(Failure(ErrorKind.BACKEND_FAILED, "the backend server's answer was lost"))
                }

                is ExchangeResult.Answered -> {
                    response = exchange.response
                    useResponse(exchange.response, use)
                }
            }
        }

        private suspend fun <T> useResponse(
            response: HttpClientResponse,
            use: suspend (BackendExchange) -> Attempt<T>,
        ): Attempt<T> {
            val echoedId = response.header(REQUEST_ID_HEADER)
            if (echoedId != null && echoedId != id.value) {
                response.close()
                return Attempt.Lost(Failure(ErrorKind.BACKEND_FAILED, "the answer belonged to another request"))
            }
            if (response.status == STATUS_UNAVAILABLE) return readRefusal(response)
            result = SlotResult.Answered(clock() - sentAt, response.header(INCARNATION_HEADER))
            return use(BackendExchange(id, lease, response))
        }

        private suspend fun readRefusal(response: HttpClientResponse): Attempt<Nothing> {
            val body = response.readCompletely(MAX_REFUSAL_BYTES)
            val code = body?.let { parseRefusalCode(it.decodeToString()) }
            if (code !in REFUSAL_CODES) {
                return Attempt.Lost(Failure(ErrorKind.BACKEND_FAILED, "the backend server failed"))
            }
            return Attempt.NotRun(Failure(ErrorKind.NO_CAPACITY, "the backend server refused the request", RETRY_AFTER))
        }

        fun finish(attempt: Attempt<*>) {
            when (attempt) {
                is Attempt.Finished -> release(result ?: SlotResult.Failed)
                is Attempt.NotRun -> release(result ?: SlotResult.Failed)
                is Attempt.Lost -> cancel(if (isConnectionBroken(attempt)) SlotResult.Broken else SlotResult.Failed)
                is Attempt.Revoked -> cancel(SlotResult.Cancelled)
            }
        }

        /** Returns whether the connection broke, before or during the response. */
        private fun isConnectionBroken(attempt: Attempt.Lost): Boolean =
            attempt.failure.kind == ErrorKind.BACKEND_FAILED && (response == null || result is SlotResult.Answered)

        fun cancelUnlessFinished() {
            if (!finished) cancel(SlotResult.Cancelled)
        }

        private fun release(result: SlotResult) {
            finished = true
            response?.close()
            lease.release(result)
        }

        /** Releases the slot once the engine has stopped the request or [CANCEL_TIMEOUT] has passed. */
        private fun cancel(result: SlotResult) {
            finished = true
            response?.close()
            if (lease.setting.kind != BackendKind.ENGINE) {
                lease.release(result)
                return
            }
            scope.launch {
                withTimeoutOrNull(CANCEL_TIMEOUT) { cancelAtEngine() }
                lease.release(result)
            }
        }

        private suspend fun cancelAtEngine() {
            val target = "/v1/streams/$id/cancel"
            val exchange = client.exchange(HttpRequestSpec(lease.setting.address, "POST", target))
            if (exchange is ExchangeResult.Answered) exchange.response.readCompletely(MAX_REFUSAL_BYTES)
        }
    }

    private companion object {
        const val MAX_ATTEMPTS = 3
        val RETRY_LIMITS = RetryLimits(minRemainingTime = 10.milliseconds)
        const val STATUS_UNAVAILABLE = 503
        const val MAX_REFUSAL_BYTES = 65_536
        val REFUSAL_CODES = setOf("reloading", "refused")
        val CANCEL_TIMEOUT = 1.seconds
        val RETRY_AFTER = 1.seconds
        val DEADLINE_FAILURE = Failure(ErrorKind.DEADLINE_EXCEEDED, "the request's time is over")
    }
}
