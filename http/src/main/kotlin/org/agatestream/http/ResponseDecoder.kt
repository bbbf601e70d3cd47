package org.agatestream.http

import io.netty.handler.codec.http.HttpMessage
import io.netty.handler.codec.http.HttpResponse
import io.netty.handler.codec.http.HttpResponseDecoder

/**
 * Decodes responses, of which those that [answersHead] selects have no body.
 *
 * A codec that pairs responses with requests in order would take a late response for the one to HEAD.
 */
internal class ResponseDecoder(
    private val answersHead: (HttpResponse) -> Boolean,
) : HttpResponseDecoder() {
    /** True if bytes have arrived after the last response that was decoded; they would be read with the next one. */
    val hasUndecodedBytes: Boolean get() = actualReadableBytes() > 0

    override fun isContentAlwaysEmpty(msg: HttpMessage): Boolean =
        super.isContentAlwaysEmpty(msg) || (msg is HttpResponse && answersHead(msg))
}
