package org.agatestream.http

import io.netty.channel.ChannelHandlerContext

/**
 * Requests one message at a time from the flow control handler; used on the event loop only.
 *
 * Flow control drops a request that a socket read did not satisfy, so it is repeated until a message arrives.
 */
internal class ReadDemand {
    private var isOutstanding = false

    /** Requests the next message unless a request is outstanding. */
    fun request(ctx: ChannelHandlerContext) {
        if (isOutstanding) return
        isOutstanding = true
        ctx.read()
    }

    /** Marks the outstanding request as satisfied. */
    fun onMessage() {
        isOutstanding = false
    }

    /** Repeats the outstanding request, if any, after a socket read. */
    fun reissue(ctx: ChannelHandlerContext) {
        if (isOutstanding) ctx.read()
    }
}
