package org.agatestream.server

import org.agatestream.core.ItemId
import org.agatestream.core.ItemRef
import org.agatestream.core.JobRef

/**
 * The outputs of interrupted items, from which the coordinator lets other VMs resume them.
 *
 * Outputs of items that are finished, and of jobs that have ended, are dropped, also if they are reported afterwards. Those of
 * jobs that are not known yet are kept, as a new coordinator hears of interrupted items while it still reads the jobs.
 */
internal class PartialOutputs {
    private val openItems = HashMap<JobRef, MutableSet<ItemId>>()
    private val closedJobs = LruMap<JobRef, Unit>(MAX_CLOSED_JOBS)
    private val outputs = HashMap<ItemRef, PartialOutput>()

    val size: Int get() = outputs.size

    operator fun get(item: ItemRef): PartialOutput? = outputs[item]

    /** Records a job with its unfinished items. */
    fun onJob(
        job: JobRef,
        open: Collection<ItemId>,
    ) {
        if (job in openItems || job in closedJobs) return
        if (open.isEmpty()) return onJobEnded(job)
        openItems[job] = open.toHashSet()
        outputs.keys.removeAll { it.job == job && it.item !in open }
    }

    /** Records that the job ended. */
    fun onJobEnded(job: JobRef) {
        openItems -= job
        closedJobs[job] = Unit
        outputs.keys.removeAll { it.job == job }
    }

    /** Records that the result of [item] is in the store. */
    fun onListed(item: ItemRef) {
        outputs -= item
        val open = openItems[item.job] ?: return
        open -= item.item
        if (open.isEmpty()) onJobEnded(item.job)
    }

    /** Keeps [partial] if [item] may run again and no later output of it is known; returns whether it did. */
    fun offer(
        item: ItemRef,
        partial: PartialOutput,
    ): Boolean {
        val open = openItems[item.job]
        val isFinished = if (open == null) item.job in closedJobs else item.item !in open
        if (isFinished || !partial.replaces(outputs[item])) return false
        outputs[item] = partial
        return true
    }

    private companion object {
        // A report comes at most seconds after the end of its job.
        const val MAX_CLOSED_JOBS = 500
    }
}
