package org.agatestream.http

import io.netty.handler.codec.http.HttpResponse

private val STATUS_LINE = Regex("HTTP/1\\.\\d \\d{3}")

/**
 * Returns whether this is the well-formed head of one response.
 *
 * Where a head breaks off in its reason phrase or in a header value, the next head continues that line: the result has
 * the status of the one and the headers of both, and contains the status line of the second.
 */
internal fun HttpResponse.isValidHead(): Boolean =
    decoderResult().isSuccess &&
        STATUS_LINE !in status().reasonPhrase() &&
        headers().none { STATUS_LINE in it.value }
