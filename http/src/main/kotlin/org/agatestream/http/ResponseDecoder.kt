package org.agatestream.http

import io.netty.channel.ChannelHandlerContext
import io.netty.channel.socket.ChannelInputShutdownEvent
import io.netty.handler.codec.http.HttpMessage
import io.netty.handler.codec.http.HttpResponse
import io.netty.handler.codec.http.HttpResponseDecoder
import io.netty.handler.codec.http.HttpStatusClass
import io.netty.util.AsciiString

/** Follows the last message of a connection that the server has closed. */
internal object EndOfInput

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

    /** True once the server has closed its side of the connection in order. */
    var isInputEnded: Boolean = false
        private set

    override fun userEventTriggered(
        ctx: ChannelHandlerContext,
        evt: Any,
    ) {
        if (evt !is ChannelInputShutdownEvent) return super.userEventTriggered(ctx, evt)
        isInputEnded = true
        // Decodes the end of a body that the close delimits.
        super.userEventTriggered(ctx, evt)
        ctx.fireChannelRead(EndOfInput)
        ctx.fireChannelReadComplete()
    }

    /** Rejects what the superclass reads as a number but is no status, such as `000`, `2000` and `+200`. */
    override fun createMessage(initialLine: Array<String>): HttpMessage {
        // As a String, it would be taken for the name of an enum constant.
        val status: CharSequence = initialLine[1]
        require(HttpStatusClass.valueOf(status) != HttpStatusClass.UNKNOWN) { "$status is no status" }
        return super.createMessage(initialLine)
    }

    /**
     * Rejects a field, also of a trailer, whose name is not followed by a colon.
     *
     * The superclass ends a name at the first blank and skips all bytes up to the next colon.
     */
    override fun splitHeaderName(
        sb: ByteArray,
        start: Int,
        length: Int,
    ): AsciiString {
        require(sb[start + length] == COLON) { "a field name is followed by a blank" }
        return super.splitHeaderName(sb, start, length)
    }

    override fun isContentAlwaysEmpty(msg: HttpMessage): Boolean =
        super.isContentAlwaysEmpty(msg) || (msg is HttpResponse && answersHead(msg))

    private companion object {
        const val COLON = ':'.code.toByte()
    }
}
