package org.agatestream.http

import io.netty.buffer.ByteBuf
import io.netty.buffer.Unpooled
import io.netty.channel.embedded.EmbeddedChannel
import io.netty.handler.codec.DecoderException
import io.netty.handler.codec.DelimiterBasedFrameDecoder

/** Cuts a stream of server-sent events into its events; an event that is not whole is held back. */
public class EventFrames(
    maxEventBytes: Int = DEFAULT_MAX_EVENT_BYTES,
) : AutoCloseable {
    private val channel = EmbeddedChannel(DelimiterBasedFrameDecoder(maxEventBytes, *delimiters()))

    /** Takes in [bytes] and returns the events they complete, or null if an event is longer than the limit. */
    public fun feed(bytes: ByteArray): List<String>? {
        try {
            channel.writeInbound(Unpooled.wrappedBuffer(bytes))
        } catch (_: DecoderException) {
            return null
        }
        return generateSequence { channel.readInbound<ByteBuf>() }.map { it.takeText() }.toList()
    }

    override fun close() {
        channel.finishAndReleaseAll()
    }

    private fun ByteBuf.takeText(): String = toString(Charsets.UTF_8).also { release() }

    private companion object {
        const val DEFAULT_MAX_EVENT_BYTES = 1_048_576

        fun delimiters(): Array<ByteBuf> =
            arrayOf("\n\n", "\r\n\r\n").map { Unpooled.wrappedBuffer(it.encodeToByteArray()) }.toTypedArray()
    }
}
