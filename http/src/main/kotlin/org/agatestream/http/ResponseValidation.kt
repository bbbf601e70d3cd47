package org.agatestream.http

import io.netty.handler.codec.http.HttpHeaderNames
import io.netty.handler.codec.http.HttpHeaderValues
import io.netty.handler.codec.http.HttpResponse
import io.netty.handler.codec.http.HttpResponseStatus

private val STATUS_LINE = Regex("HTTP/1\\.\\d \\d{3}")

/**
 * Returns whether this is the well-formed head of one response in HTTP/1.
 *
 * A 101 leaves HTTP/1, which no request offers.
 *
 * Where a head breaks off in its reason phrase or in a header value, the next head continues that line: the result has
 * the status of the one and the headers of both, and contains the status line of the second.
 */
internal fun HttpResponse.isValidHead(): Boolean =
    decoderResult().isSuccess &&
        protocolVersion().majorVersion() == 1 &&
        status() != HttpResponseStatus.SWITCHING_PROTOCOLS &&
        isTransferCodingSupported() &&
        STATUS_LINE !in status().reasonPhrase() &&
        headers().none { STATUS_LINE in it.value }

/** Returns whether the body has no transfer coding but chunks; no request allows another (RFC 9110, section 10.1.4). */
private fun HttpResponse.isTransferCodingSupported(): Boolean =
    headers()
        .getAll(HttpHeaderNames.TRANSFER_ENCODING)
        .flatMap { it.split(',') }
        .map { it.trim() }
        .all { it.isEmpty() || HttpHeaderValues.CHUNKED.contentEqualsIgnoreCase(it) }
