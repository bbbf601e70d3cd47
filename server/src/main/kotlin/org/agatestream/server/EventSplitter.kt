package org.agatestream.server

import org.agatestream.http.BufferBudget
import org.agatestream.platform.EventFields
import java.io.ByteArrayOutputStream

/** One server-sent event with its original bytes. */
internal class StreamEvent(
    val bytes: ByteArray,
    /** The number in the `id` field; null if there is none. */
    val id: Long?,
    /** True if the event has a line of another event, or of none, as where another response begins within a stream. */
    private val hasForeignLine: Boolean,
) {
    /** Returns whether this event may follow the event number [last]; without a number, only if it has no data. */
    fun follows(last: Long?): Boolean =
        when {
            hasForeignLine -> false
            id == null -> data() == null
            else -> last == null || id == last + 1
        }

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

/** Splits a stream into server-sent events without changing their bytes; to be closed at the end of the stream. */
internal class EventSplitter(
    private val budget: BufferBudget = BufferBudget.unlimited(),
) : AutoCloseable {
    private var incomplete = ByteArray(0)
    private var reserved = 0
    private var isOverBudget = false

    /** The bytes of an incomplete event. */
    val remainder: ByteArray get() = incomplete

    /** True once an event exceeds the size limit, or all events of the VM its budget; the stream must be aborted. */
    val isEventTooLong: Boolean get() = isOverBudget || incomplete.size > MAX_EVENT_BYTES

    /** Appends [bytes] and returns the events that they complete. */
    fun feed(bytes: ByteArray): List<StreamEvent> {
        val all = if (incomplete.isEmpty()) bytes else incomplete + bytes
        val events = ArrayList<StreamEvent>()
        var start = 0
        // The end of an event has up to three bytes, of which all but the last may have arrived before.
        var position = maxOf(0, incomplete.size - MAX_BOUNDARY_BYTES + 1)
        while (position < all.size) {
            val end = boundaryAfter(all, position)
            if (end > 0) {
                events += toEvent(all.copyOfRange(start, end))
                start = end
                position = end
            } else {
                position++
            }
        }
        incomplete = if (start == 0) all else all.copyOfRange(start, all.size)
        reserve(incomplete.size)
        return events
    }

    override fun close() {
        budget.release(reserved)
        reserved = 0
    }

    private fun reserve(bytes: Int) {
        if (budget.tryResize(reserved, bytes)) reserved = bytes else isOverBudget = true
    }

    /** Returns the position after the empty line that begins at [position], or 0 if none begins there. */
    private fun boundaryAfter(
        bytes: ByteArray,
        position: Int,
    ): Int {
        if (bytes[position] != LF) return 0
        if (position + 1 < bytes.size && bytes[position + 1] == LF) return position + 2
        if (position + 2 < bytes.size && bytes[position + 1] == CR && bytes[position + 2] == LF) return position + 3
        return 0
    }

    private fun toEvent(bytes: ByteArray): StreamEvent {
        val lines =
            bytes
                .decodeToString()
                .lineSequence()
                .filter { it.isNotEmpty() }
                .toList()
        val numbers = lines.filter { it.startsWith(ID) }
        val id =
            numbers
                .firstOrNull()
                ?.removePrefix(ID)
                ?.trim()
                ?.toLongOrNull()
        return StreamEvent(bytes, id, hasForeignLine = numbers.size > 1 || lines.any { !EventFields.isField(it) })
    }

    private companion object {
        const val LF = '\n'.code.toByte()
        const val CR = '\r'.code.toByte()
        const val ID = "id:"

        const val MAX_BOUNDARY_BYTES = 3

        // Over two thousand times the longest event in the users' specification.
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
