package org.agatestream.http

import io.netty.channel.ChannelHandlerContext

/**
 * Asks the flow control before a handler for one message at a time, on the event loop.
 *
 * The flow control forgets a demand that a read of the socket did not meet, so it is put again until a message comes.
 */
internal class ReadDemand {
    private var open = false

    /** Asks for the next message unless one is already asked for. */
    fun request(ctx: ChannelHandlerContext) {
        if (open) return
        open = true
        ctx.read()
    }

    /** Notes that a message came. */
    fun meet() {
        open = false
    }

    /** Puts the demand again after a read of the socket that brought no message. */
    fun renew(ctx: ChannelHandlerContext) {
        if (open) ctx.read()
    }
}
