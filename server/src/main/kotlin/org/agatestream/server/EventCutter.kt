package org.agatestream.server

import java.io.ByteArrayOutputStream

/** One server-sent event: its bytes as they came, its number and its data. */
internal class StreamEvent(
    val bytes: ByteArray,
    /** The number in the `id` field, or null if there is none. */
    val id: Long?,
) {
    /** Returns whether this event may come after the event number [last], as far as both have numbers. */
    fun follows(last: Long?): Boolean = id == null || last == null || id == last + 1

    /** The `data` fields, joined by line feeds; null if there are none. */
    fun data(): String? {
        val lines = bytes.decodeToString().lineSequence().filter { it.startsWith(DATA) }
        val texts = lines.map { it.removePrefix(DATA).removePrefix(" ").removeSuffix("\r") }.toList()
        return if (texts.isEmpty()) null else texts.joinToString("\n")
    }

    private companion object {
        const val DATA = "data:"
    }
}

/** Cuts a stream of server-sent events into its events without changing a byte. */
internal class EventCutter {
    private var rest = ByteArray(0)

    /** Bytes of an event whose end has not come. */
    val remainder: ByteArray get() = rest

    /** True once an event is longer than any that is passed on, so that its stream is to be given up. */
    val isOverlong: Boolean get() = rest.size > MAX_EVENT_BYTES

    /** Takes in [bytes] and returns the events that they complete. */
    fun feed(bytes: ByteArray): List<StreamEvent> {
        val all = if (rest.isEmpty()) bytes else rest + bytes
        val events = ArrayList<StreamEvent>()
        var start = 0
        var at = 0
        while (at < all.size) {
            val end = boundaryAfter(all, at)
            if (end > 0) {
                events += toEvent(all.copyOfRange(start, end))
                start = end
                at = end
            } else {
                at++
            }
        }
        rest = if (start == 0) all else all.copyOfRange(start, all.size)
        return events
    }

    /** Returns the position after the empty line that begins at [at], or 0 if none begins there. */
    private fun boundaryAfter(
        bytes: ByteArray,
        at: Int,
    ): Int {
        if (bytes[at] != LF) return 0
        if (at + 1 < bytes.size && bytes[at + 1] == LF) return at + 2
        if (at + 2 < bytes.size && bytes[at + 1] == CR && bytes[at + 2] == LF) return at + 3
        return 0
    }

    private fun toEvent(bytes: ByteArray): StreamEvent {
        val id =
            bytes
                .decodeToString()
                .lineSequence()
                .firstOrNull { it.startsWith(ID) }
                ?.removePrefix(ID)
                ?.trim()
                ?.toLongOrNull()
        return StreamEvent(bytes, id)
    }

    private companion object {
        const val LF = '\n'.code.toByte()
        const val CR = '\r'.code.toByte()
        const val ID = "id:"

        // Over two thousand times the longest event of the users' sheets, and a small part of a VM's memory.
        const val MAX_EVENT_BYTES = 1 shl 20
    }
}

/** Joins the bytes of [events]. */
internal fun List<StreamEvent>.joinBytes(): ByteArray {
    if (size == 1) return first().bytes
    val joined = ByteArrayOutputStream(sumOf { it.bytes.size })
    forEach { joined.write(it.bytes) }
    return joined.toByteArray()
}
