package org.agatestream.http

import io.netty.handler.codec.TooLongFrameException
import io.netty.handler.codec.http.DefaultHttpRequest
import io.netty.handler.codec.http.HttpMethod
import io.netty.handler.codec.http.HttpRequest
import io.netty.handler.codec.http.HttpVersion
import io.netty.handler.codec.http.QueryStringDecoder
import org.agatestream.core.ErrorKind
import org.agatestream.core.Failure

/** Placeholder for a request whose head is invalid. */
internal val INVALID_REQUEST: HttpRequest = DefaultHttpRequest(HttpVersion.HTTP_1_1, HttpMethod.GET, "/")

/** Returns the failure to respond with if the head of this request is invalid, or null. */
internal fun HttpRequest.validateHead(limits: HttpLimits): Failure? {
    val cause = decoderResult().cause()
    return when {
        cause is TooLongFrameException -> headTooLarge(limits)
        cause != null -> malformed("the request is no valid HTTP")
        protocolVersion().majorVersion() != 1 -> malformed("the server speaks HTTP/1.1")
        !hasValidPath() -> malformed("the path is not properly percent-encoded")
        else -> null
    }
}

private fun HttpRequest.hasValidPath(): Boolean = runCatching { QueryStringDecoder(uri()).path() }.isSuccess

private fun headTooLarge(limits: HttpLimits): Failure =
    Failure(
        ErrorKind.HEAD_TOO_LARGE,
        "a request line has up to ${limits.maxRequestLineBytes} bytes and a head up to ${limits.maxHeadBytes} bytes",
    )

private fun malformed(message: String): Failure = Failure(ErrorKind.MALFORMED_REQUEST, message)
