package org.agatestream.server

import org.agatestream.core.ErrorKind
import org.agatestream.core.Failure
import org.agatestream.core.OnlineRoute
import org.agatestream.core.RequestClass

/** A call to a plain service, with its body read whole. */
internal class ServiceCall(
    val route: OnlineRoute.Service,
    val method: String,
    /** Path and query below the route. */
    val target: String,
    val headers: List<Pair<String, String>>,
    val body: ByteArray,
    val idempotencyKey: String?,
)

/** Runs calls to plain services; one that may not be repeated is sent at most once. */
internal class ServiceCalls(
    private val forwarder: Forwarder,
) {
    /** Runs [call] and returns the service's whole answer. */
    suspend fun run(
        call: ServiceCall,
        context: CallContext,
        requestClass: RequestClass,
    ): Attempt<WholeAnswer> {
        val request = call.toBackendRequest(context, requestClass)
        val attempt =
            forwarder.forward(request) { exchange ->
                exchange.readWholeAnswer()?.let { Attempt.Finished(it) } ?: Attempt.Lost(BROKEN_FAILURE)
            }
        return if (attempt is Attempt.Lost && !call.route.idempotent) Attempt.Lost(UNKNOWN_FAILURE) else attempt
    }

    private companion object {
        val BROKEN_FAILURE = Failure(ErrorKind.BACKEND_FAILED, "the backend server broke the answer off")
        val UNKNOWN_FAILURE = Failure(ErrorKind.OUTCOME_UNKNOWN, "the call was sent and its answer was lost")
    }
}

/** Builds the request that a service gets for this call. */
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
