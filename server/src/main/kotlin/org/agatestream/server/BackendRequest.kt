package org.agatestream.server

import org.agatestream.core.BackendServerId
import org.agatestream.core.Failure
import org.agatestream.core.MonotonicTime
import org.agatestream.core.RequestId
import org.agatestream.http.HttpClientResponse
import org.agatestream.http.HttpRequestSpec

/** A request to a backend server and the slot that it needs. */
internal class BackendRequest(
    val id: RequestId,
    val slot: SlotRequest,
    val method: String,
    val target: String,
    val headers: List<Pair<String, String>>,
    val body: ByteArray,
    /** Whether the request may run more than once. */
    val idempotent: Boolean,
)

/** The result of one attempt to run a request on a backend server. */
internal sealed interface Attempt<out T> {
    /** The response was processed; [value] is the result. */
    data class Finished<out T>(
        val value: T,
    ) : Attempt<T>

    /** The request has not run. */
    data class NotRun(
        val failure: Failure,
    ) : Attempt<Nothing>

    /** The request may have run, and its response was lost. */
    data class Lost(
        val failure: Failure,
        /** Whether a retry is allowed: not for an at-most-once call, nor once the caller has received response data. */
        val isRetryable: Boolean = true,
    ) : Attempt<Nothing>

    /** The slot was revoked in favour of online requests. */
    data object Revoked : Attempt<Nothing>
}

/** A response whose head has arrived from the server of [lease]. */
internal class BackendExchange(
    /** The id of this attempt at the server. */
    val id: RequestId,
    val lease: SlotLease,
    val response: HttpClientResponse,
) {
    val server: BackendServerId
        get() = lease.server
}

/** Builds the HTTP request to [address]; its headers do not contain the caller's key. */
internal fun BackendRequest.toSpec(
    attempt: RequestId,
    address: String,
    now: MonotonicTime,
): HttpRequestSpec {
    val remaining = (slot.deadline - now).inWholeMilliseconds.coerceAtLeast(1)
    val attemptHeaders = listOf(REQUEST_ID_HEADER to attempt.value, TIMEOUT_HEADER to remaining.toString())
    return HttpRequestSpec(address, method, target, headers + attemptHeaders, body, newConnection = !idempotent)
}

/** The header that carries the id of a request to a backend server and back. */
internal const val REQUEST_ID_HEADER = "x-request-id"

/** The header that carries the time left for a request, in milliseconds. */
internal const val TIMEOUT_HEADER = "x-agatestream-timeout-ms"

/** The header that names the incarnation of a backend server. */
internal const val INCARNATION_HEADER = "x-engine-incarnation"
