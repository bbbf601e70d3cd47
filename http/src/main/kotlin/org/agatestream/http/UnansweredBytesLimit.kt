package org.agatestream.http

import io.netty.buffer.ByteBuf
import io.netty.channel.ChannelHandlerContext
import io.netty.channel.ChannelInboundHandlerAdapter
import io.netty.util.ReferenceCountUtil

/**
 * Closes a connection that delivers more than [MAX_UNANSWERED_BYTES] bytes without the head of the awaited response, or
 * any bytes while no response is awaited.
 *
 * Blank lines, interim responses and late copies of earlier responses are skipped, and a server may send them without
 * end. Stands before the codec, which discards some of these bytes itself and keeps the beginning of a head for the next
 * response. Used on the event loop only.
 */
internal class UnansweredBytesLimit : ChannelInboundHandlerAdapter() {
    private var remaining: Int? = 0

    /** Starts counting: a request is about to be sent. */
    fun onRequest() {
        remaining = MAX_UNANSWERED_BYTES
    }

    /** Stops counting: the head of the response has arrived. */
    fun onHead() {
        remaining = null
    }

    /** Allows no bytes: the response is complete. */
    fun onIdle() {
        remaining = 0
    }

    override fun channelRead(
        ctx: ChannelHandlerContext,
        msg: Any,
    ) {
        val before = remaining
        if (before != null && msg is ByteBuf) {
            val after = before - msg.readableBytes()
            remaining = after
            if (after < 0) {
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
