package org.agatestream.http

import io.netty.handler.codec.http.HttpDecoderConfig
import io.netty.handler.codec.http.HttpMessage
import io.netty.handler.codec.http.HttpRequestDecoder

/** Decodes requests and rejects those that carry both length headers. */
internal class StrictRequestDecoder(
    limits: HttpLimits,
) : HttpRequestDecoder(
        HttpDecoderConfig()
            .setMaxInitialLineLength(limits.maxRequestLineBytes)
            .setMaxHeaderSize(limits.maxHeadBytes)
            .setMaxChunkSize(limits.maxChunkBytes),
    ) {
    override fun handleTransferEncodingChunkedWithContentLength(message: HttpMessage): Unit =
        throw IllegalArgumentException("both content-length and transfer-encoding are given")
}
