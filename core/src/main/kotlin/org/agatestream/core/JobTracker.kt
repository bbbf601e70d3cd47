package org.agatestream.core

import kotlin.time.Duration
import kotlin.time.Duration.Companion.milliseconds
import kotlin.time.Duration.Companion.seconds

/** The coordinator's view of a job that it schedules. */
public data class JobPlan(
    val id: JobId,
    val workspace: WorkspaceId?,
    /** The host of the job's route, used to look up the routes of its items. */
    val host: String,
    val lifetime: JobLifetime,
    /** The version of the manifest under which the job was accepted; an older manifest may lack its route. */
    val manifestVersion: Long,
    /** The VM that accepted the job and holds its bodies. */
    val acceptedBy: VmId?,
    val items: List<PlannedItem>,
)

/** One item of a [JobPlan]. */
public data class PlannedItem(
    val id: ItemId,
    /** The path that determines the item's route. */
    val path: String,
)

/** Tracks the progress of the items of all open jobs. */
internal class JobTracker {
    private sealed interface Progress {
        /** Starts from [notBefore] on; until then [silentVm], which may still run it, is given time to report. */
        data class Waiting(
            val notBefore: MonotonicTime,
            val silentVm: VmId? = null,
        ) : Progress

        data class Running(
            val call: CallId,
            val since: MonotonicTime,
            /** When the slot was freed, if the outcome of the item is not known yet; else null. */
            val releasedAt: MonotonicTime? = null,
        ) : Progress

        /** [vm] holds the complete output, which is not in the store; known to the coordinator since [since]. */
        data class Unlisted(
            val vm: VmId,
            val since: MonotonicTime,
        ) : Progress

        data object Done : Progress
    }

    private class Item(
        val plan: PlannedItem,
        var progress: Progress,
        var failures: Int = 0,
        /** The total time of earlier runs whose events were kept. */
        var accumulatedRunTime: Duration = Duration.ZERO,
    )

    private class Job(
        val plan: JobPlan,
        val items: Map<ItemId, Item>,
        var bodyHolder: VmId?,
    )

    private val jobs = HashMap<JobId, Job>()
    private val itemsByCall = HashMap<CallId, ItemRef>()
    private var meanRunTime: Duration = DEFAULT_ITEM_RUN_TIME

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
        val job = Job(plan, items, plan.acceptedBy)
        if (!job.isDone()) jobs[plan.id] = job
    }

    /** Removes a job that its caller ended and returns the runs to stop. */
    fun remove(id: JobId): List<CallId> {
        val job = jobs.remove(id) ?: return emptyList()
        val running = job.items.values.mapNotNull { (it.progress as? Progress.Running)?.call }
        running.forEach { itemsByCall -= it }
        return running
    }

    /**
     * Returns the waiting items in scheduling order: first those that can still meet their deadline.
     *
     * Items with the least remaining time go first: when work exceeds the slots, finishing an item completes more
     * items on time than starting another one. Ties are broken by the earliest deadline.
     */
    fun pendingItems(now: MonotonicTime): List<Pair<ItemRef, JobPlan>> {
        val pending =
            jobs.values.flatMap { job ->
                job.items.values
                    .filter { item -> (item.progress as? Progress.Waiting)?.let { it.notBefore <= now } == true }
                    .map { job to it }
            }
        return pending
            .sortedWith(
                compareBy(
                    { (job, item) -> !canMeetDeadline(job, item, now) },
                    { (_, item) -> remainingSteps(item, now) },
                    { (job, _) -> job.plan.lifetime.deadline },
                ),
            ).map { (job, item) -> ItemRef(job.plan.id, item.plan.id) to job.plan }
    }

    /** Returns whether the item of the run [call] can still meet its deadline; false if the run is not known. */
    fun canMeetDeadline(
        call: CallId,
        now: MonotonicTime,
    ): Boolean {
        val ref = itemsByCall[call] ?: return false
        val job = jobs[ref.job] ?: return false
        return canMeetDeadline(job, job.items.getValue(ref.item), now)
    }

    private fun canMeetDeadline(
        job: Job,
        item: Item,
        now: MonotonicTime,
    ): Boolean = now + remainingTime(item, now) <= job.plan.lifetime.deadline

    /** Estimates the remaining run time of the item from the mean run time of items. */
    private fun remainingTime(
        item: Item,
        now: MonotonicTime,
    ): Duration {
        val running = (item.progress as? Progress.Running)?.let { now - it.since } ?: Duration.ZERO
        return (meanRunTime - item.accumulatedRunTime - running).coerceAtLeast(MIN_REMAINING_TIME)
    }

    private fun remainingSteps(
        item: Item,
        now: MonotonicTime,
    ): Long = remainingTime(item, now).inWholeMilliseconds / REMAINING_TIME_STEP.inWholeMilliseconds

    /** Returns the remaining time of the run [call] in units of [REMAINING_TIME_STEP]; 0 if the run is not known. */
    fun remainingSteps(
        call: CallId,
        now: MonotonicTime,
    ): Long = itemsByCall[call]?.let { item(it) }?.let { remainingSteps(it, now) } ?: 0

    /** Returns the expected remaining time of the run [call]; zero if the run is not known. */
    fun remainingTime(
        call: CallId,
        now: MonotonicTime,
    ): Duration = itemsByCall[call]?.let { item(it) }?.let { remainingTime(it, now) } ?: Duration.ZERO

    /** Returns the position of an item in its job, or 0 if it is not known. */
    fun position(ref: ItemRef): Int =
        jobs[ref.job]
            ?.items
            ?.keys
            ?.indexOf(ref.item)
            ?.coerceAtLeast(0) ?: 0

    fun path(ref: ItemRef): String? = item(ref)?.plan?.path

    fun plan(job: JobId): JobPlan? = jobs[job]?.plan

    /** Returns the VM that holds the bodies of the item's job, or null if it is lost or not known. */
    fun bodyHolder(ref: ItemRef): VmId? = jobs[ref.job]?.bodyHolder

    fun itemOf(call: CallId): ItemRef? = itemsByCall[call]

    /** Returns the deadline of the job of the run [call], or null if the run is not known. */
    fun deadline(call: CallId): MonotonicTime? = itemsByCall[call]?.let { jobs[it.job]?.plan?.lifetime?.deadline }

    fun onStarted(
        ref: ItemRef,
        call: CallId,
        now: MonotonicTime,
    ) {
        val item = item(ref) ?: return
        if (item.progress == Progress.Done) return
        item.progress = Progress.Running(call, now)
        itemsByCall[call] = ref
    }

    /** Applies a VM's report that the run [call] of an item is in flight. */
    fun onReported(
        ref: ItemRef,
        call: CallId,
        now: MonotonicTime,
    ) {
        if (item(ref)?.progress is Progress.Waiting) onStarted(ref, call, now)
    }

    /** Applies the end of an item's run; returns the number of its failed attempts. */
    fun onOutcome(
        ref: ItemRef,
        call: CallId,
        outcome: ItemOutcome,
        now: MonotonicTime,
    ): Int {
        itemsByCall -= call
        val item = item(ref) ?: return 0
        if (item.progress == Progress.Done) return item.failures
        val running = item.progress as? Progress.Running
        val isSuperseded = running != null && running.call != call
        if (running != null && !isSuperseded) item.accumulatedRunTime += now - running.since
        when (outcome) {
            ItemOutcome.LISTED -> {
                markDone(ref)
            }

            ItemOutcome.FINISHED -> {
                meanRunTime += (item.accumulatedRunTime - meanRunTime) * RUN_TIME_SMOOTHING
                item.progress = Progress.Unlisted(call.vm, now)
            }

            ItemOutcome.FAILED -> {
                item.failures++
                item.accumulatedRunTime = Duration.ZERO
                if (!isSuperseded) item.progress = Progress.Waiting(now + RETRY_DELAY)
            }

            ItemOutcome.INTERRUPTED -> {
                if (!isSuperseded) item.progress = Progress.Waiting(now)
            }

            ItemOutcome.WITHHELD -> {
                if (!isSuperseded) item.progress = Progress.Waiting(now + WITHHELD_DELAY)
            }
        }
        return item.failures
    }

    /** Records that [vm] holds the complete output of [ref] and has not stored it yet. */
    fun onUnstoredResult(
        ref: ItemRef,
        vm: VmId,
        now: MonotonicTime,
    ) {
        val item = item(ref) ?: return
        if (item.progress is Progress.Waiting) item.progress = Progress.Unlisted(vm, now)
    }

    /** Records that the slot of the run [call] was freed; the outcome of the item arrives separately. */
    fun onReleased(
        call: CallId,
        now: MonotonicTime,
    ) {
        val item = itemsByCall[call]?.let { item(it) } ?: return
        val running = item.progress as? Progress.Running ?: return
        if (running.call == call) item.progress = running.copy(releasedAt = now)
    }

    /**
     * Requeues the items assigned to [vm] that it does not report; returns whether there are any.
     *
     * Their runs are not among those that hold a slot ([held]) and have had none since [before] or longer, so the
     * message with their outcome was lost or reordered. [running] are the numbers of the runs that [vm] reports,
     * [unstoredResults] the items whose complete output it holds.
     */
    fun requeueUnreported(
        vm: VmId,
        running: Set<Long>,
        unstoredResults: Set<ItemRef>,
        held: Set<CallId>,
        before: MonotonicTime,
        now: MonotonicTime,
    ): Boolean {
        var hasRequeued = false
        for (job in jobs.values) {
            for ((id, item) in job.items) {
                if (!item.progress.dependsOn(vm)) continue
                val isAbandoned =
                    when (val progress = item.progress) {
                        is Progress.Running -> progress.isMissing(running, held, before)
                        is Progress.Unlisted -> progress.since < before
                        is Progress.Waiting -> true
                        is Progress.Done -> false
                    }
                if (!isAbandoned || ItemRef(job.plan.id, id) in unstoredResults) continue
                (item.progress as? Progress.Running)?.let { itemsByCall -= it.call }
                item.progress = Progress.Waiting(now)
                hasRequeued = true
            }
        }
        return hasRequeued
    }

    private fun Progress.Running.isMissing(
        reported: Set<Long>,
        held: Set<CallId>,
        before: MonotonicTime,
    ): Boolean = (releasedAt ?: since) < before && call !in held && call.number !in reported

    fun markDone(ref: ItemRef) {
        val job = jobs[ref.job] ?: return
        job.items[ref.item]?.progress = Progress.Done
        if (job.isDone()) jobs -= ref.job
    }

    /**
     * Requeues the items that only [vm] worked on.
     *
     * If its process has ended ([hasEnded]) they may start at once. A VM that is only silent may still finish them: they
     * wait for as long as that takes, unless a run elsewhere would then miss the deadline.
     */
    fun onVmLost(
        vm: VmId,
        hasEnded: Boolean,
        now: MonotonicTime,
    ) {
        for (job in jobs.values) {
            if (job.bodyHolder == vm) job.bodyHolder = null
            for (item in job.items.values) {
                if (!item.progress.dependsOn(vm)) continue
                val wait = if (hasEnded) Duration.ZERO else silenceTolerated(job, item, now)
                item.progress = Progress.Waiting(now + wait, vm.takeUnless { hasEnded })
                item.accumulatedRunTime = Duration.ZERO
            }
        }
        itemsByCall.keys.removeAll { it.vm == vm }
    }

    /** Returns whether only [vm] works on the item, or may do so while it is silent. */
    private fun Progress.dependsOn(vm: VmId): Boolean =
        when (this) {
            is Progress.Waiting -> silentVm == vm
            is Progress.Running -> call.vm == vm
            is Progress.Unlisted -> this.vm == vm
            is Progress.Done -> false
        }

    /** Returns how long the item may wait for its silent VM: for the rest of its run, but not beyond its slack. */
    private fun silenceTolerated(
        job: Job,
        item: Item,
        now: MonotonicTime,
    ): Duration {
        val slack = job.plan.lifetime.deadline - now - meanRunTime - RETRY_MARGIN
        return minOf(remainingTime(item, now), slack).coerceAtLeast(Duration.ZERO)
    }

    /** Returns the items whose retention has expired and that no VM works on. */
    fun expiredItems(now: MonotonicTime): List<ItemRef> =
        jobs.values
            .filter { it.plan.lifetime.isExpired(now) }
            .flatMap { job ->
                job.items.values
                    .filter { it.progress is Progress.Waiting }
                    .map { ItemRef(job.plan.id, it.plan.id) }
            }

    private fun item(ref: ItemRef): Item? = jobs[ref.job]?.items?.get(ref.item)

    private fun Job.isDone(): Boolean = items.values.all { it.progress == Progress.Done }

    private companion object {
        // Items of the users' load profiles have 145 and 220 events of about 22 ms; completed runs adjust the mean.
        val DEFAULT_ITEM_RUN_TIME: Duration = 4.seconds

        // A resumed run processes the prompt again, and an item may be longer than the mean.
        val MIN_REMAINING_TIME: Duration = 300.milliseconds
        const val RUN_TIME_SMOOTHING = 0.1

        // Remaining times within the same step count as equal.
        val REMAINING_TIME_STEP: Duration = 500.milliseconds

        // What a new run may lose to waits for a slot and to preemption.
        val RETRY_MARGIN: Duration = 2.seconds

        // A failed item may run at another server at once; the delay keeps an item that always fails from looping.
        val RETRY_DELAY: Duration = 50.milliseconds

        // A sixth of the time for which a condemned prompt part is kept without requests.
        val WITHHELD_DELAY: Duration = 10.seconds
    }
}
