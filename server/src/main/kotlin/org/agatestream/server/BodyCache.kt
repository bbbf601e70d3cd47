package org.agatestream.server

import org.agatestream.core.ItemId
import org.agatestream.platform.SubmittedItem

/** The items of recently used jobs with their bodies, by the name of the job's object; at most [maxBytes] of bodies. */
internal class BodyCache(
    private val maxJobs: Int,
    private val maxBytes: Long,
) {
    private val jobs = LinkedHashMap<String, Map<ItemId, SubmittedItem>>(INITIAL_CAPACITY, LOAD_FACTOR, true)

    /** The bytes of all bodies held. */
    var bytes: Long = 0
        private set

    operator fun get(name: String): Map<ItemId, SubmittedItem>? = jobs[name]

    /** Holds [items] in place of the least recently used jobs; not at all if they alone exceed the limit. */
    operator fun set(
        name: String,
        items: Map<ItemId, SubmittedItem>,
    ) {
        jobs.remove(name)?.let { bytes -= sizeOf(it) }
        if (sizeOf(items) > maxBytes) return
        jobs[name] = items
        bytes += sizeOf(items)
        val eldest = jobs.values.iterator()
        while (bytes > maxBytes || jobs.size > maxJobs) {
            bytes -= sizeOf(eldest.next())
            eldest.remove()
        }
    }

    private fun sizeOf(items: Map<ItemId, SubmittedItem>): Long = items.values.sumOf { it.body.size.toLong() }

    private companion object {
        const val INITIAL_CAPACITY = 16
        const val LOAD_FACTOR = 0.75f
    }
}
