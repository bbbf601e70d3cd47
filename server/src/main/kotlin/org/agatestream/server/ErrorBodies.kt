package org.agatestream.server

import kotlinx.coroutines.withTimeoutOrNull
import org.agatestream.http.HttpClientResponse
import org.agatestream.http.readBody
import kotlin.time.Duration.Companion.milliseconds

private const val MAX_ERROR_BYTES = 64 * 1024

// The head has all that is needed of such a response; its end only lets the connection be used again.
private val ERROR_BODY_TIMEOUT = 50.milliseconds

/** Awaits the end of the body of a response whose head says it all, for a moment; the caller closes the response. */
internal suspend fun HttpClientResponse.discardBody() {
    withTimeoutOrNull(ERROR_BODY_TIMEOUT) { readBody(MAX_ERROR_BYTES) }
}
