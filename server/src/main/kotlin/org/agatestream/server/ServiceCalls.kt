package org.agatestream.server

import org.agatestream.core.AtMostOnceResult
import org.agatestream.core.ErrorKind
import org.agatestream.core.Failure
import org.agatestream.core.OnlineRoute
import org.agatestream.core.RequestClass
import org.agatestream.core.RunState
import org.agatestream.core.SendOutcome
import org.agatestream.core.atMostOnceDigest
import org.agatestream.core.atMostOnceRowKey

/** A call to a plain service, with its complete body. */
internal class ServiceCall(
    val route: OnlineRoute.Service,
    val method: String,
    /** Path and query below the route. */
    val target: String,
    val headers: List<Pair<String, String>>,
    val body: ByteArray,
    val idempotencyKey: String?,
)

/** Runs calls to plain services; a call that is not idempotent runs at most once. */
internal class ServiceCalls(
    private val forwarder: Forwarder,
    private val atMostOnceCalls: AtMostOnceCalls,
) {
    /** Runs [call] and returns the service's complete response. */
    suspend fun run(
        call: ServiceCall,
        context: CallContext,
        requestClass: RequestClass,
    ): Attempt<BufferedResponse> {
        val request = call.toBackendRequest(context, requestClass)
        val key = call.idempotencyKey
        return when {
            call.route.idempotent -> forward(request)
            key == null -> forward(request).withUnknownOutcome()
            else -> runAtMostOnce(call, context, key, request)
        }
    }

    private suspend fun forward(request: BackendRequest): Attempt<BufferedResponse> =
        forwarder.forward(request) { exchange ->
            exchange.readBufferedResponse()?.let { Attempt.Finished(it) } ?: Attempt.Lost(BROKEN_FAILURE)
        }

    private suspend fun runAtMostOnce(
        call: ServiceCall,
        context: CallContext,
        key: String,
        request: BackendRequest,
    ): Attempt<BufferedResponse> {
        val rowKey = atMostOnceRowKey(context.workspace, call.route.id, key)
        var ownResponse: BufferedResponse? = null
        val result =
            atMostOnceCalls.run(rowKey, atMostOnceDigest(call.method, call.target, call.body)) {
                val attempt = forward(request)
                ownResponse = (attempt as? Attempt.Finished)?.value
                attempt.toSendOutcome()
            }
        return when (result) {
            is AtMostOnceResult.Answered -> Attempt.Finished(ownResponse ?: result.answer.toReplay())
            is AtMostOnceResult.Refused -> result.failure.toAttempt()
        }
    }

    private fun Attempt<BufferedResponse>.toSendOutcome(): SendOutcome =
        when (this) {
            is Attempt.Finished -> SendOutcome.Answered(value.toStoredResponse())
            is Attempt.NotRun -> SendOutcome.NotRun(failure)
            is Attempt.Lost, Attempt.Revoked -> SendOutcome.Lost
        }

    private fun Failure.toAttempt(): Attempt<Nothing> =
        if (kind.run == RunState.NOT_RUN) Attempt.NotRun(this) else Attempt.Lost(this, isRetryable = false)

    private fun Attempt<BufferedResponse>.withUnknownOutcome(): Attempt<BufferedResponse> =
        if (this is Attempt.Lost) Attempt.Lost(UNKNOWN_FAILURE, isRetryable = false) else this

    private companion object {
        val BROKEN_FAILURE = Failure(ErrorKind.BACKEND_FAILED, "the backend server broke the answer off")
        val UNKNOWN_FAILURE = Failure(ErrorKind.OUTCOME_UNKNOWN, "the call was sent and its answer was lost")
    }
}

/** Builds the request to a service for this call. */
internal fun ServiceCall.toBackendRequest(
    context: CallContext,
    requestClass: RequestClass,
): BackendRequest {
    val slot =
        SlotRequest(
            candidates = route.setting.backendServers.toSet(),
            requestClass = requestClass,
            workspace = context.workspace,
            deadline = context.deadline,
        )
    return BackendRequest(context.id, slot, method, target, headers, body, route.idempotent)
}
