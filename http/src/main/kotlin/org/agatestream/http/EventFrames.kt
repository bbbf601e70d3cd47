package org.agatestream.http

import io.netty.buffer.ByteBuf
import io.netty.buffer.Unpooled
import io.netty.channel.embedded.EmbeddedChannel
import io.netty.handler.codec.DecoderException
import io.netty.handler.codec.LineBasedFrameDecoder

/** Cuts a stream of server-sent events into its events; an event that is not whole is held back. */
public class EventFrames(
    private val maxEventBytes: Int = DEFAULT_MAX_EVENT_BYTES,
) : AutoCloseable {
    private val channel = EmbeddedChannel(LineBasedFrameDecoder(maxEventBytes, true, true))
    private val lines = StringBuilder()

    /**
     * Takes in [bytes] and returns the events they complete, or null if an event is longer than the limit.
     *
     * The lines of an event are joined by line feeds.
     */
    public fun feed(bytes: ByteArray): List<String>? {
        val events = mutableListOf<String>()
        try {
            channel.writeInbound(Unpooled.wrappedBuffer(bytes))
        } catch (_: DecoderException) {
            return null
        }
        while (true) {
            val line = channel.readInbound<ByteBuf>() ?: break
            take(line, events)
            if (lines.length > maxEventBytes) return null
        }
        return events
    }

    override fun close() {
        channel.finishAndReleaseAll()
    }

    private fun take(
        line: ByteBuf,
        events: MutableList<String>,
    ) {
        if (line.isReadable) {
            if (lines.isNotEmpty()) lines.append('\n')
            lines.append(line.toString(Charsets.UTF_8))
        } else if (lines.isNotEmpty()) {
            events += lines.toString()
            lines.clear()
        }
        line.release()
    }

    private companion object {
        const val DEFAULT_MAX_EVENT_BYTES = 1_048_576
    }
}
