package org.agatestream.server

import org.agatestream.core.ItemId
import org.agatestream.core.JobRef
import org.agatestream.platform.SubmittedItem

/** The items of recently used jobs with their bodies; at most [maxBytes] of bodies. */
internal class BodyCache(
    private val maxJobs: Int,
    private val maxBytes: Long,
) {
    private val jobs = LinkedHashMap<JobRef, Map<ItemId, SubmittedItem>>(INITIAL_CAPACITY, LOAD_FACTOR, true)

    /** The bytes of all bodies held. */
    var bytes: Long = 0
        private set

    operator fun get(job: JobRef): Map<ItemId, SubmittedItem>? = jobs[job]

    /** Holds [items] in place of the least recently used jobs; not at all if they alone exceed the limit. */
    operator fun set(
        job: JobRef,
        items: Map<ItemId, SubmittedItem>,
    ) {
        jobs.remove(job)?.let { bytes -= sizeOf(it) }
        if (sizeOf(items) > maxBytes) return
        jobs[job] = items
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
