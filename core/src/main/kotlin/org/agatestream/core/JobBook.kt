package org.agatestream.core

import kotlin.time.Duration
import kotlin.time.Duration.Companion.milliseconds

/** A job as the coordinator runs it. */
public data class JobPlan(
    val id: JobId,
    val workspace: WorkspaceId?,
    /** The host of the job's route, by which its items' routes are found. */
    val host: String,
    val dueAt: MonotonicTime,
    val keepUntil: MonotonicTime,
    /** The VM that accepted the job and holds its bodies. */
    val home: VmId?,
    val items: List<PlannedItem>,
)

/** One item of a [JobPlan]. */
public data class PlannedItem(
    val id: ItemId,
    val path: String,
    /** The tokens of its prompt and of its longest output together. */
    val tokens: Long,
)

/** The items of all open jobs and how far each has come. */
internal class JobBook {
    private sealed interface Progress {
        data class Waiting(
            val notBefore: MonotonicTime,
        ) : Progress

        data class Running(
            val call: CallId,
        ) : Progress

        /** The output is whole at [vm] and not in the store. */
        data class Unlisted(
            val vm: VmId,
        ) : Progress

        data object Done : Progress
    }

    private class Item(
        val plan: PlannedItem,
        var progress: Progress,
        var failures: Int = 0,
        var interruptions: Int = 0,
    )

    private class Job(
        val plan: JobPlan,
        val items: Map<ItemId, Item>,
        var home: VmId?,
    )

    private val jobs = HashMap<JobId, Job>()
    private val calls = HashMap<CallId, ItemRef>()

    val openJobs: Int get() = jobs.size

    /** Adds a job unless it is known; items in [done] are in the store already. */
    fun add(
        plan: JobPlan,
        done: Set<ItemId>,
        now: MonotonicTime,
    ) {
        if (plan.id in jobs) return
        val items =
            plan.items.associate {
                it.id to Item(it, if (it.id in done) Progress.Done else Progress.Waiting(now))
            }
        val job = Job(plan, items, plan.home)
        if (!job.isDone()) jobs[plan.id] = job
    }

    /** Drops a job that its caller ended and returns the runs to stop. */
    fun end(id: JobId): List<CallId> {
        val job = jobs.remove(id) ?: return emptyList()
        val running = job.items.values.mapNotNull { (it.progress as? Progress.Running)?.call }
        running.forEach { calls -= it }
        return running
    }

    /** Returns the waiting items in the order in which they are due. */
    fun waiting(now: MonotonicTime): Sequence<Pair<ItemRef, JobPlan>> =
        jobs.values
            .sortedBy { it.plan.dueAt }
            .asSequence()
            .flatMap { job ->
                job.items.values
                    .asSequence()
                    .filter { item -> (item.progress as? Progress.Waiting)?.let { it.notBefore <= now } == true }
                    .map { ItemRef(job.plan.id, it.plan.id) to job.plan }
            }

    fun path(ref: ItemRef): String? = item(ref)?.plan?.path

    fun host(ref: ItemRef): String? = jobs[ref.job]?.plan?.host

    fun home(ref: ItemRef): VmId? = jobs[ref.job]?.home

    fun setHome(
        ref: ItemRef,
        vm: VmId,
    ) {
        jobs[ref.job]?.home = vm
    }

    fun itemOf(call: CallId): ItemRef? = calls[call]

    /** When the job of the run [call] is due, or null if the run is not known. */
    fun dueAt(call: CallId): MonotonicTime? = calls[call]?.let { jobs[it.job]?.plan?.dueAt }

    fun onStarted(
        ref: ItemRef,
        call: CallId,
    ) {
        val item = item(ref) ?: return
        if (item.progress == Progress.Done) return
        item.progress = Progress.Running(call)
        calls[call] = ref
    }

    /** Applies the end of an item's run; returns the number of its failed attempts. */
    fun onOutcome(
        ref: ItemRef,
        call: CallId,
        outcome: ItemOutcome,
        now: MonotonicTime,
    ): Int {
        calls -= call
        val item = item(ref) ?: return 0
        if (item.progress == Progress.Done) return item.failures
        val isOther = (item.progress as? Progress.Running)?.let { it.call != call } == true
        when (outcome) {
            ItemOutcome.LISTED -> {
                setDone(ref)
            }

            ItemOutcome.FINISHED -> {
                item.progress = Progress.Unlisted(call.vm)
            }

            ItemOutcome.FAILED -> {
                item.failures++
                if (!isOther) item.progress = Progress.Waiting(now + RETRY_PAUSE)
            }

            ItemOutcome.INTERRUPTED -> {
                item.interruptions++
                if (!isOther) item.progress = Progress.Waiting(now)
            }
        }
        return item.failures
    }

    /** Notes that [vm] holds the whole output of [ref] and has not listed it. */
    fun onUnlisted(
        ref: ItemRef,
        vm: VmId,
    ) {
        val item = item(ref) ?: return
        if (item.progress is Progress.Waiting) item.progress = Progress.Unlisted(vm)
    }

    fun setDone(ref: ItemRef) {
        val job = jobs[ref.job] ?: return
        job.items[ref.item]?.progress = Progress.Done
        if (job.isDone()) jobs -= ref.job
    }

    /** Makes the items that only [vm] worked on wait again. */
    fun onVmLost(
        vm: VmId,
        now: MonotonicTime,
    ) {
        for (job in jobs.values) {
            if (job.home == vm) job.home = null
            for (item in job.items.values) {
                val progress = item.progress
                val isLost =
                    (progress is Progress.Running && progress.call.vm == vm) ||
                        (progress is Progress.Unlisted && progress.vm == vm)
                if (isLost) item.progress = Progress.Waiting(now)
            }
        }
        calls.keys.removeAll { it.vm == vm }
    }

    /** Returns the items whose time to be kept is over and that no VM works on. */
    fun overdue(now: MonotonicTime): List<ItemRef> =
        jobs.values
            .filter { now >= it.plan.keepUntil }
            .flatMap { job ->
                job.items.values
                    .filter { it.progress is Progress.Waiting }
                    .map { ItemRef(job.plan.id, it.plan.id) }
            }

    private fun item(ref: ItemRef): Item? = jobs[ref.job]?.items?.get(ref.item)

    private fun Job.isDone(): Boolean = items.values.all { it.progress == Progress.Done }

    companion object {
        // An item that failed at one server may run at another at once; the pause keeps poison from spinning.
        private val RETRY_PAUSE: Duration = 50.milliseconds
    }
}
