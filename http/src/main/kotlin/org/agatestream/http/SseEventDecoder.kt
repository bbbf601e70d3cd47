package org.agatestream.http

import io.netty.buffer.ByteBuf
import io.netty.buffer.Unpooled
import io.netty.channel.embedded.EmbeddedChannel
import io.netty.handler.codec.DecoderException
import io.netty.handler.codec.LineBasedFrameDecoder

/** Incremental decoder that splits a server-sent event stream into events; an incomplete event stays buffered. */
public class SseEventDecoder(
    private val maxEventBytes: Int = DEFAULT_MAX_EVENT_BYTES,
) : AutoCloseable {
    private val channel = EmbeddedChannel(LineBasedFrameDecoder(maxEventBytes, true, true))
    private val event = StringBuilder()

    /**
     * Adds [bytes] and returns the events that they complete, or null if an event exceeds the size limit.
     *
     * The lines of an event are joined with line feeds.
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
            appendLine(line, events)
            if (event.length > maxEventBytes) return null
        }
        return events
    }

    override fun close() {
        channel.finishAndReleaseAll()
    }

    private fun appendLine(
        line: ByteBuf,
        events: MutableList<String>,
    ) {
        if (line.isReadable) {
            if (event.isNotEmpty()) event.append('\n')
            event.append(line.toString(Charsets.UTF_8))
        } else if (event.isNotEmpty()) {
            events += event.toString()
            event.clear()
        }
        line.release()
    }

    private companion object {
        const val DEFAULT_MAX_EVENT_BYTES = 1_048_576
    }
}
