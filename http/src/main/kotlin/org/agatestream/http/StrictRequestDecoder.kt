package org.agatestream.http

import io.netty.channel.ChannelHandlerContext
import io.netty.handler.codec.http.HttpDecoderConfig
import io.netty.handler.codec.http.HttpMessage
import io.netty.handler.codec.http.HttpRequestDecoder

/**
 * Request decoder that rejects requests with both `content-length` and `transfer-encoding`.
 *
 * [onBytes] is called before each received buffer is decoded.
 */
internal class StrictRequestDecoder(
    limits: HttpLimits,
    private val onBytes: () -> Unit,
) : HttpRequestDecoder(
        HttpDecoderConfig()
            .setMaxInitialLineLength(limits.maxRequestLineBytes)
            .setMaxHeaderSize(limits.maxHeadBytes)
            .setMaxChunkSize(limits.maxChunkBytes),
    ) {
    override fun channelRead(
        ctx: ChannelHandlerContext,
        msg: Any,
    ) {
        onBytes()
        super.channelRead(ctx, msg)
    }

    override fun handleTransferEncodingChunkedWithContentLength(message: HttpMessage): Unit =
        throw IllegalArgumentException("both content-length and transfer-encoding are given")
}
