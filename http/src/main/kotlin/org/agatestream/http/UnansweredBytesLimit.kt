package org.agatestream.http

import io.netty.buffer.ByteBuf
import io.netty.channel.ChannelHandlerContext
import io.netty.channel.ChannelInboundHandlerAdapter
import io.netty.util.ReferenceCountUtil

/**
 * Closes a connection that delivers more than [MAX_UNANSWERED_BYTES] bytes without the head of the awaited response.
 *
 * Blank lines, interim responses and late copies of earlier responses are skipped, and a server may send them without
 * end. Stands before the codec, which discards some of these bytes itself. Used on the event loop only.
 */
internal class UnansweredBytesLimit : ChannelInboundHandlerAdapter() {
    private var isAwaitingHead = false
    private var bytes = 0

    /** Starts counting: a request is about to be sent. */
    fun onRequest() {
        isAwaitingHead = true
        bytes = 0
    }

    /** Stops counting: the head of the response has arrived. */
    fun onHead() {
        isAwaitingHead = false
    }

    override fun channelRead(
        ctx: ChannelHandlerContext,
        msg: Any,
    ) {
        if (isAwaitingHead && msg is ByteBuf) {
            bytes += msg.readableBytes()
            if (bytes > MAX_UNANSWERED_BYTES) {
                ReferenceCountUtil.release(msg)
                ctx.close()
                return
            }
        }
        ctx.fireChannelRead(msg)
    }

    private companion object {
        // Several late copies of a whole answer, whose events have some hundred bytes each.
        const val MAX_UNANSWERED_BYTES = 256 * 1024
    }
}
