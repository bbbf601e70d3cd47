package org.agatestream.server

import kotlinx.coroutines.CancellationException
import kotlinx.coroutines.withTimeoutOrNull
import org.agatestream.core.Admission
import org.agatestream.core.BackendServerId
import org.agatestream.core.ErrorKind
import org.agatestream.core.Failure
import org.agatestream.core.MonotonicTime
import org.agatestream.core.Outcome
import org.agatestream.core.PromptVerdict
import org.agatestream.core.RouteKind
import org.agatestream.core.RunOutcome
import org.agatestream.core.ServerEntry
import org.agatestream.core.VmId
import org.agatestream.http.BodyPart
import org.agatestream.http.BodyWriter
import org.agatestream.http.BufferBudget
import org.agatestream.http.ExchangeResult
import org.agatestream.http.HttpCall
import org.agatestream.http.HttpClient
import org.agatestream.http.HttpClientResponse
import org.agatestream.http.HttpRequestSpec
import org.agatestream.http.readBody
import org.agatestream.platform.BackendCall
import org.agatestream.platform.BackendProtocol
import org.agatestream.platform.BackendReply
import org.agatestream.platform.CallerProtocol
import org.agatestream.platform.PromptHeader
import kotlin.time.Duration
import kotlin.time.Duration.Companion.milliseconds
import kotlin.time.Duration.Companion.seconds

/** The reason of a cancellation once the caller has disconnected. */
internal const val CALLER_GONE: String = "the caller is gone"

/** Forwards requests of online routes to backend servers and relays the answers to callers. */
internal class RouteForwarder(
    private val slots: SlotAllocator,
    private val client: HttpClient,
    private val parts: PromptPartWatch,
    private val metrics: VmMetrics,
    private val buffers: BufferBudget,
    private val shutdown: GracefulShutdown,
    private val leaving: LeavingServerWatch,
) {
    /** Returns how long [call] may take until it is answered or has failed. */
    fun timeoutOf(
        call: HttpCall,
        admission: Admission,
    ): Duration = minOf(CallerProtocol.callerTimeout(call), admission.route.timeout)

    /** Serves [call], which arrived at [arrivedAt] with the body [body]. */
    suspend fun forward(
        call: HttpCall,
        admission: Admission,
        body: ByteArray,
        manifestVersion: Long,
        arrivedAt: MonotonicTime,
    ) {
        val id = CallerProtocol.requestId(call)?.value ?: return call.respondNotServed(MISSING_ID)
        val request =
            BackendCall(
                id,
                call.method,
                call.target,
                CallerProtocol.host(call),
                call.headers(),
                body,
                admission.workspace?.id,
            )
        ForwardedRequest(call, admission, request, manifestVersion, arrivedAt).run()
    }

    /** One request and all attempts to run it. */
    private inner class ForwardedRequest(
        private val call: HttpCall,
        private val admission: Admission,
        private val request: BackendCall,
        private val manifestVersion: Long,
        private val arrivedAt: MonotonicTime,
    ) {
        private val route = admission.route
        private val callerTimeout = CallerProtocol.callerTimeout(call)
        private val endAt = arrivedAt + timeoutOf(call, admission)
        private val isStream = route.kind == RouteKind.STREAM
        private val service = route.chooseService(request.id.hashCode())
        private val promptParts = PromptHeader.sharedParts(request.headers)
        private val promptShape = PromptHeader.shape(request.headers)
        private val excludedServers = HashSet<BackendServerId>()
        private var meteredWorkspace = admission.workspace?.id
        private var runs = 0
        private var rejections = 0
        private var writer: BodyWriter? = null
        private val callersLastEvent = CallerProtocol.lastEvent(call)
        private val progress = StreamProgress(callersLastEvent)
        private var isContinuation = false
        private var failure: Failure? = null
        private var isPromptRefused = false
        private var slotAfter: Duration? = null
        private var firstEventAfter: Duration? = null
        private var currentSlot: Slot? = null

        suspend fun run() {
            try {
                serve()
            } catch (e: CancellationException) {
                log("cancelled", currentSlot, e.message.orEmpty())
                throw e
            }
        }

        private suspend fun serve() {
            if (isCondemned()) return refuse(CONDEMNED)
            while (true) {
                val slot =
                    when (val placement = slots.acquire(requirements(), excludedServers)) {
                        is Placement.Granted -> placement.slot
                        is Placement.Refused -> return refuse(placement.failure, placement.decidedBy)
                    }
                meteredWorkspace = null
                currentSlot = slot
                val now = MonotonicTime.now()
                slotAfter = now - arrivedAt
                if (runs == 0 && !shutdown.admits(now, endAt - now)) {
                    slots.release(slot, RunOutcome.STOPPED, null)
                    return refuse(SHUTTING_DOWN)
                }
                when (val end = attempt(slot)) {
                    is Attempt.Answered -> {
                        return log("answered", slot, end.status)
                    }

                    is Attempt.NotRun -> {
                        excludedServers += slot.server.id
                        rejections++
                        log("not_run", slot, end.reason)
                        if (rejections > MAX_REJECTIONS) return refuse(failure ?: NO_CAPACITY)
                    }

                    is Attempt.Lost -> {
                        excludedServers += slot.server.id
                        runs++
                        log("lost", slot, end.reason)
                        failure = Failure(ErrorKind.BACKEND_FAILED, end.reason)
                        if (isCondemned()) return fail(end.reason)
                        if (!canRetry()) return fail(end.reason)
                    }
                }
            }
        }

        private fun isCondemned(): Boolean = parts.judge(promptParts, MonotonicTime.now()) is PromptVerdict.Condemned

        private fun requirements(): SlotRequirements {
            val now = MonotonicTime.now()
            val queueDeadline = arrivedAt + timeoutOf(call, admission) * QUEUE_TIMEOUT_SHARE
            return SlotRequirements(
                service = service,
                meteredWorkspace = meteredWorkspace,
                priority = admission.priority,
                latestStart = arrivedAt + route.latencyTarget - FIRST_EVENT_RESERVE,
                queueDeadline = maxOf(queueDeadline, now + 1.milliseconds),
                parts = promptParts,
                workspace = admission.workspace?.id,
                prompt = promptShape,
                route = route.name,
            )
        }

        private fun canRetry(): Boolean =
            route.isRepeatable && runs < route.maxAttempts && MonotonicTime.now() + FIRST_EVENT_RESERVE < endAt

        private suspend fun attempt(slot: Slot): Attempt {
            val sentAt = MonotonicTime.now()
            var outcome = RunOutcome.STOPPED
            val observer = RunObserver(sentAt) { report, now -> slots.onServerReport(slot.server.id, report, now) }
            if (isStream) slots.onSent(slot.number, sentAt)
            try {
                val timeLeft = arrivedAt + callerTimeout - sentAt
                progress.startRun()
                isContinuation = writer != null
                val resumeFrom = progress.lastEvent.takeIf { isContinuation }
                val spec = BackendProtocol.request(request, slot.server.id, slot.server.address, timeLeft, resumeFrom)
                val end =
                    withTimeoutOrNull(endAt - sentAt) {
                        exchange(slot.server, spec, observer) { now ->
                            if (firstEventAfter == null) firstEventAfter = now - arrivedAt
                            slots.onFirstEvent(slot.number, now)
                        }
                    }
                outcome = end?.outcome ?: RunOutcome.LOST
                // Before the release, so that no other request with the same parts is placed meanwhile.
                if (end is Attempt.Lost) slots.onLost(slot.number, slot.server, sentAt)
                return end ?: Attempt.Lost("timeout")
            } finally {
                slots.release(slot, outcome, observer.firstEvent, observer.detail(MonotonicTime.now()))
                metrics.onRun(outcome)
            }
        }

        private suspend fun exchange(
            server: ServerEntry,
            spec: HttpRequestSpec,
            observer: RunObserver,
            onFirst: (MonotonicTime) -> Unit,
        ): Attempt =
            when (val result = client.exchange(spec)) {
                is ExchangeResult.NotSent -> Attempt.NotRun(result.reason, RunOutcome.UNREACHABLE)
                is ExchangeResult.Lost -> Attempt.Lost(result.reason)
                is ExchangeResult.Answered -> readResponse(server, result.response, observer, onFirst)
            }

        private suspend fun readResponse(
            server: ServerEntry,
            response: HttpClientResponse,
            observer: RunObserver,
            onFirst: (MonotonicTime) -> Unit,
        ): Attempt {
            try {
                val reply = BackendProtocol.read(response)
                val now = MonotonicTime.now()
                observer.onHead(reply, leaving.onHead(server, response, reply, now), now)
                return when (reply) {
                    is BackendReply.NotRun -> {
                        response.discardBody()
                        Attempt.NotRun(reply.reason, RunOutcome.NOT_RUN)
                    }

                    is BackendReply.Unproven -> {
                        Attempt.Lost(reply.reason)
                    }

                    is BackendReply.Ran -> {
                        if (isStream && reply.status == STATUS_OK) {
                            relayStream(response, observer, onFirst)
                        } else {
                            relayBody(response, reply)
                        }
                    }
                }
            } finally {
                response.close()
            }
        }

        private suspend fun relayBody(
            response: HttpClientResponse,
            reply: BackendReply.Ran,
        ): Attempt {
            if (writer != null) return Attempt.Lost("status ${reply.status} for a resumed stream")
            val body =
                when (val read = response.readBody(MAX_ANSWER_BYTES, buffers)) {
                    is Outcome.Ok -> read.value
                    is Outcome.Failed -> return Attempt.Lost(read.failure.message)
                }
            if (response.isCutAfterHead(body)) return Attempt.Lost("the body has neither a byte nor an end")
            call.respond(reply.status, response.header("content-type") ?: DEFAULT_TYPE, body, headers(response))
            return Attempt.Answered(reply.status)
        }

        private suspend fun relayStream(
            response: HttpClientResponse,
            observer: RunObserver,
            onFirst: (MonotonicTime) -> Unit,
        ): Attempt = EventSplitter(buffers).use { relayEvents(response, it, observer, onFirst) }

        private suspend fun relayEvents(
            response: HttpClientResponse,
            splitter: EventSplitter,
            observer: RunObserver,
            onFirst: (MonotonicTime) -> Unit,
        ): Attempt {
            var isFirst = true
            while (true) {
                when (val part = response.nextChunk()) {
                    is BodyPart.Chunk -> {
                        val events = splitter.feed(part.bytes)
                        if (splitter.isEventTooLong) return Attempt.Lost("event too long")
                        if (events.isEmpty()) continue
                        val now = MonotonicTime.now()
                        observer.onEvents(now)
                        if (isFirst) {
                            onFirst(now)
                            metrics.onFirstEvent(now - arrivedAt)
                        }
                        isFirst = false
                        if (!progress.accept(events)) return Attempt.Lost("event out of order")
                        if (!write(response, events.joinBytes())) throw CancellationException(CALLER_GONE)
                    }

                    is BodyPart.End -> {
                        return finishStream(response, splitter.remainder)
                    }

                    is BodyPart.Broken -> {
                        return Attempt.Lost(part.reason)
                    }
                }
            }
        }

        private suspend fun finishStream(
            response: HttpClientResponse,
            remainder: ByteArray,
        ): Attempt {
            val fault = progress.faultAtEnd(remainder)
            if (fault != null && !(fault == StreamFault.NO_EVENT && isEmptyAnswer(response))) {
                return Attempt.Lost(fault.reason)
            }
            write(response, remainder)
            writer?.finish()
            return Attempt.Answered(STATUS_OK)
        }

        /**
         * Returns whether [response], which had no event, is a server's whole answer to the caller's own request.
         *
         * After events of another run it is none: it may as well come from a server that failed before the next event.
         */
        private fun isEmptyAnswer(response: HttpClientResponse): Boolean {
            if (isContinuation) return false
            return response.header("content-length") == "0" || (callersLastEvent != null && response.isBodyDelimited)
        }

        private suspend fun write(
            response: HttpClientResponse,
            bytes: ByteArray,
        ): Boolean {
            val output =
                writer
                    ?: call.startStream(
                        response.status,
                        response.header("content-type") ?: EVENTS_TYPE,
                        headers(response),
                    )
            writer = output
            return bytes.isEmpty() || output.write(bytes)
        }

        private fun headers(response: HttpClientResponse): Map<String, String> =
            BackendProtocol.forwardedHeaders(response).filter { it.first != "content-type" }.toMap()

        private suspend fun refuse(
            reason: Failure,
            decidedBy: VmId? = null,
        ) {
            isPromptRefused = reason.kind == ErrorKind.PROMPT_REFUSED
            if (writer != null || runs > 0) return fail(reason.message)
            log("refused", null, reason.kind.code, decidedBy)
            call.respondNotServed(reason)
        }

        private suspend fun fail(reason: String) {
            log("failed", null, reason)
            val writer = writer
            if (writer != null) {
                writer.abort()
            } else {
                call.respondNotServed(Failure(failureKind(), reason))
            }
        }

        private fun failureKind(): ErrorKind =
            when {
                MonotonicTime.now() >= endAt -> ErrorKind.DEADLINE_EXCEEDED
                isPromptRefused || isCondemned() -> ErrorKind.PROMPT_FAILED
                else -> ErrorKind.BACKEND_FAILED
            }

        private fun log(
            outcome: String,
            slot: Slot?,
            detail: Any,
            decidedBy: VmId? = slot?.chosenBy,
        ) {
            val took = MonotonicTime.now() - arrivedAt
            if (outcome in FINAL_OUTCOMES) metrics.onRequest(route.name, outcome, detail.toString(), took)
            EventLog.info(
                "request",
                "id" to request.id,
                "route" to route.name,
                "workspace" to admission.workspace?.id,
                "outcome" to outcome,
                "detail" to detail,
                "priority" to admission.priority,
                "timeout" to endAt - arrivedAt,
                "manifest" to manifestVersion,
                "server" to slot?.server?.id,
                "decided_by" to decidedBy,
                "events" to progress.lastEvent,
                "slot_after" to slotAfter,
                "first_event_after" to firstEventAfter,
                "took" to took,
            )
        }
    }

    /** The outcome of one attempt at a backend server. */
    private sealed interface Attempt {
        val outcome: RunOutcome

        data class Answered(
            val status: Int,
        ) : Attempt {
            override val outcome: RunOutcome get() = RunOutcome.ANSWERED
        }

        data class NotRun(
            val reason: String,
            override val outcome: RunOutcome,
        ) : Attempt

        data class Lost(
            val reason: String,
        ) : Attempt {
            override val outcome: RunOutcome get() = RunOutcome.LOST
        }
    }

    private companion object {
        const val STATUS_OK = 200
        val FINAL_OUTCOMES = setOf("answered", "refused", "failed", "cancelled")

        const val MAX_REJECTIONS = 3
        const val MAX_ANSWER_BYTES = 16 * 1024 * 1024
        const val DEFAULT_TYPE = "application/octet-stream"
        const val EVENTS_TYPE = "text/event-stream"

        // A server at capacity sends the first event up to 160 ms after the slot was granted.
        val FIRST_EVENT_RESERVE = 150.milliseconds

        // The longest runs take 1.2 s of a caller's 5 s timeout, so a request that starts later would miss it.
        const val QUEUE_TIMEOUT_SHARE = 0.74
        val MISSING_ID = Failure(ErrorKind.MALFORMED_REQUEST, "the request has no id")
        val CONDEMNED = Failure(ErrorKind.PROMPT_REFUSED, "servers end on a part of the prompt")
        val NO_CAPACITY = Failure(ErrorKind.NO_CAPACITY, "every server refused the request", 1.seconds)
    }
}
