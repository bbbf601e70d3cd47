package org.agatestream.core

import org.agatestream.core.fairness.ItemShares
import java.util.PriorityQueue
import java.util.TreeSet
import kotlin.random.Random
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
) {
    /** Identifies the job among those of all workspaces. */
    val ref: JobRef get() = JobRef(workspace, id)
}

/** One item of a [JobPlan]. */
public data class PlannedItem(
    val id: ItemId,
    /** The path that determines the item's route. */
    val path: String,
)

/** Tracks the progress of the items of all open jobs. */
internal class JobTracker(
    /** True if workspaces take turns in starting items. */
    private val sharesSlots: Boolean = true,
    private val random: Random = Random.Default,
) {
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
            /** True if the item may start again as soon as there is a slot, as the reason for the end is known and gone. */
            val mayRestartAtOnce: Boolean = false,
        ) : Progress

        /** [vm] holds the complete output, which is not in the store; known to the coordinator since [since]. */
        data class Unlisted(
            val vm: VmId,
            val since: MonotonicTime,
        ) : Progress

        data object Done : Progress
    }

    private class Item(
        val job: Job,
        val plan: PlannedItem,
        /** The position in the job. */
        val position: Int,
        isDone: Boolean,
    ) {
        val ref = ItemRef(job.plan.ref, plan.id)
        var progress: Progress = if (isDone) Progress.Done else Progress.Waiting(MonotonicTime.ZERO)
        var failures: Int = 0

        /** The number of runs that ended without a result since the last one with new output. */
        var vainRuns: Int = 0

        /** The total time of earlier runs whose events were kept. */
        var accumulatedRunTime: Duration = Duration.ZERO
    }

    private class Job(
        val plan: JobPlan,
        var bodyHolder: VmId?,
        done: Set<ItemId>,
    ) {
        val items: Map<ItemId, Item> =
            plan.items.withIndex().associate { (index, it) -> it.id to Item(this, it, index, it.id in done) }
        var unfinished: Int = items.values.count { it.progress != Progress.Done }

        /** The items that may start, the one with the least remaining time first. */
        val ready = TreeSet(compareByDescending<Item> { it.accumulatedRunTime }.thenBy { it.position })
    }

    /** A waiting item that may start at the time that [progress] states, unless its progress has changed since. */
    private class DelayedItem(
        val item: Item,
        val progress: Progress.Waiting,
    )

    private val jobs = LinkedHashMap<JobRef, Job>()
    private val itemsByCall = HashMap<CallId, ItemRef>()
    private val delayed = PriorityQueue(compareBy<DelayedItem> { it.progress.notBefore })

    // The items that only the VM works on, or may do so while it is silent.
    private val itemsByVm = HashMap<VmId, MutableSet<Item>>()
    private val jobsWithReadyItems = LinkedHashSet<Job>()
    private val shares = ItemShares()

    private fun turnOf(job: Job): WorkspaceId? = job.plan.workspace.takeIf { sharesSlots }

    private var meanRunTime: Duration = DEFAULT_ITEM_RUN_TIME

    val openJobs: Int get() = jobs.size

    /** Adds a job unless it is known; items in [done] are in the store already. */
    fun add(
        plan: JobPlan,
        done: Set<ItemId>,
        now: MonotonicTime,
    ) {
        if (plan.ref in jobs) return
        val job = Job(plan, plan.acceptedBy, done)
        if (job.unfinished == 0) return
        jobs[plan.ref] = job
        job.items.values
            .filter { it.progress != Progress.Done }
            .forEach { setProgress(it, Progress.Waiting(now)) }
    }

    /** Removes a job that its caller ended and returns the runs to stop. */
    fun remove(ref: JobRef): List<CallId> {
        val job = jobs[ref] ?: return emptyList()
        val running = job.items.values.mapNotNull { (it.progress as? Progress.Running)?.call }
        running.forEach { itemsByCall -= it }
        forget(job)
        return running
    }

    private fun forget(job: Job) {
        jobs -= job.plan.ref
        jobsWithReadyItems -= job
        job.items.values.forEach { unlink(it) }
    }

    /** Changes the progress of an item and the indexes that depend on it. */
    private fun setProgress(
        item: Item,
        progress: Progress,
    ) {
        unlink(item)
        if (progress == Progress.Done && item.progress != Progress.Done) item.job.unfinished--
        item.progress = progress
        vmOf(progress)?.let { itemsByVm.getOrPut(it) { LinkedHashSet() } += item }
        if (progress is Progress.Waiting) delayed += DelayedItem(item, progress)
    }

    private fun setAccumulatedRunTime(
        item: Item,
        time: Duration,
    ) {
        val wasReady = item.job.ready.remove(item)
        item.accumulatedRunTime = time
        if (wasReady) item.job.ready += item
    }

    private fun unlink(item: Item) {
        val ready = item.job.ready
        if (ready.remove(item) && ready.isEmpty()) jobsWithReadyItems -= item.job
        val vm = vmOf(item.progress) ?: return
        itemsByVm[vm]?.let {
            it -= item
            if (it.isEmpty()) itemsByVm -= vm
        }
    }

    private fun markReady(now: MonotonicTime) {
        while (delayed.isNotEmpty() && delayed.peek().progress.notBefore <= now) {
            val entry = delayed.remove()
            val item = entry.item
            if (item.progress !== entry.progress || jobs[item.job.plan.ref] !== item.job) continue
            item.job.ready += item
            jobsWithReadyItems += item.job
        }
    }

    /** Returns whether any item may start at [now]. */
    fun hasReadyItems(now: MonotonicTime): Boolean {
        markReady(now)
        return jobsWithReadyItems.isNotEmpty()
    }

    /**
     * Returns the items that may start at [now] of the jobs that [isEligible] admits, in scheduling order.
     *
     * Items that can still meet their deadline go first. Among those, workspaces take turns in proportion to their
     * weights. Within a workspace, items with the least remaining time go first: when work exceeds the slots, finishing
     * an item completes more items on time than starting another one. Ties are broken by the earliest deadline. The
     * order takes into account the items that are started while the sequence is read.
     */
    fun pendingItems(
        now: MonotonicTime,
        isEligible: (JobPlan) -> Boolean,
    ): Sequence<Pair<ItemRef, JobPlan>> {
        markReady(now)
        val heads = jobsWithReadyItems.filter { isEligible(it.plan) }.mapTo(ArrayList()) { it.ready.first() }
        val order =
            compareBy<Item>(
                { !canMeetDeadline(it, now) },
                { shares.pass(turnOf(it.job)) },
                { remainingSteps(it, now) },
                { it.job.plan.lifetime.deadline },
            )
        return generateSequence {
            val item = heads.minWithOrNull(order) ?: return@generateSequence null
            val index = heads.indexOf(item)
            val following = item.job.ready.higher(item)
            if (following == null) heads.removeAt(index) else heads[index] = following
            item.ref to item.job.plan
        }
    }

    /** Returns whether the item of the run [call] can still meet its deadline; false if the run is not known. */
    fun canMeetDeadline(
        call: CallId,
        now: MonotonicTime,
    ): Boolean {
        val item = itemsByCall[call]?.let { item(it) } ?: return false
        return canMeetDeadline(item, now)
    }

    private fun canMeetDeadline(
        item: Item,
        now: MonotonicTime,
    ): Boolean = now + remainingTime(item, now) <= item.job.plan.lifetime.deadline

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
    fun position(ref: ItemRef): Int = item(ref)?.position ?: 0

    /** Returns the number of runs of an item that ended without a result since the last one with new output. */
    fun vainRuns(ref: ItemRef): Int = item(ref)?.vainRuns ?: 0

    fun path(ref: ItemRef): String? = item(ref)?.plan?.path

    fun plan(job: JobRef): JobPlan? = jobs[job]?.plan

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
        shares.onStarted(turnOf(item.job), remainingTime(item, now) / maxOf(meanRunTime, MIN_REMAINING_TIME))
        track(item, call, now)
    }

    private fun track(
        item: Item,
        call: CallId,
        now: MonotonicTime,
    ) {
        setProgress(item, Progress.Running(call, now))
        itemsByCall[call] = item.ref
    }

    /** Applies a VM's report that the run [call] of an item is in flight. */
    fun onReported(
        ref: ItemRef,
        call: CallId,
        now: MonotonicTime,
    ) {
        item(ref)?.takeIf { it.progress is Progress.Waiting }?.let { track(it, call, now) }
    }

    /** Records that the run [call] of an item ends by order of this coordinator, or as its server is leaving. */
    fun allowRestart(call: CallId) {
        val item = itemsByCall[call]?.let { item(it) } ?: return
        val running = item.progress as? Progress.Running ?: return
        if (running.call == call) setProgress(item, running.copy(mayRestartAtOnce = true))
    }

    /**
     * Applies the end of an item's run; returns the number of its failed attempts.
     *
     * A run that is [ItemOutcome.INTERRUPTED] is followed by a pause, unless [allowRestart] was called for it. The pause
     * grows while runs bring nothing; [hasNewOutput] tells that this one brought events.
     */
    fun onOutcome(
        ref: ItemRef,
        call: CallId,
        outcome: ItemOutcome,
        now: MonotonicTime,
        hasNewOutput: Boolean = false,
    ): Int {
        itemsByCall -= call
        val item = item(ref) ?: return 0
        if (item.progress == Progress.Done) return item.failures
        val running = item.progress as? Progress.Running
        val isSuperseded = running != null && running.call != call
        if (running != null && !isSuperseded) {
            setAccumulatedRunTime(item, item.accumulatedRunTime + (now - running.since))
        }
        when (outcome) {
            ItemOutcome.LISTED -> {
                markDone(ref)
            }

            ItemOutcome.FINISHED -> {
                meanRunTime += (item.accumulatedRunTime - meanRunTime) * RUN_TIME_SMOOTHING
                setProgress(item, Progress.Unlisted(call.vm, now))
            }

            ItemOutcome.FAILED -> {
                item.failures++
                setAccumulatedRunTime(item, Duration.ZERO)
                if (!isSuperseded) setProgress(item, Progress.Waiting(now + RETRY_DELAY))
            }

            ItemOutcome.INTERRUPTED -> {
                if (!isSuperseded) setProgress(item, Progress.Waiting(now + pauseAfter(item, running, hasNewOutput)))
            }

            ItemOutcome.WITHHELD -> {
                if (!isSuperseded) setProgress(item, Progress.Waiting(now + WITHHELD_DELAY))
            }
        }
        return item.failures
    }

    /** Returns how long an item waits after a run that ended without a result. */
    private fun pauseAfter(
        item: Item,
        running: Progress.Running?,
        hasNewOutput: Boolean,
    ): Duration {
        if (running?.mayRestartAtOnce == true) return Duration.ZERO
        if (hasNewOutput) item.vainRuns = 0 else item.vainRuns++
        return RESTART_BACKOFF.delay(item.vainRuns.coerceAtLeast(1), random)
    }

    /** Records that [vm] holds the complete output of [ref] and has not stored it yet. */
    fun onUnstoredResult(
        ref: ItemRef,
        vm: VmId,
        now: MonotonicTime,
    ) {
        val item = item(ref) ?: return
        if (item.progress is Progress.Waiting) setProgress(item, Progress.Unlisted(vm, now))
    }

    /** Records that the slot of the run [call] was freed; the outcome of the item arrives separately. */
    fun onReleased(
        call: CallId,
        now: MonotonicTime,
    ) {
        val item = itemsByCall[call]?.let { item(it) } ?: return
        val running = item.progress as? Progress.Running ?: return
        if (running.call == call) setProgress(item, running.copy(releasedAt = now))
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
        for (item in itemsByVm[vm].orEmpty().toList()) {
            val isAbandoned =
                when (val progress = item.progress) {
                    is Progress.Running -> progress.isMissing(running, held, before)
                    is Progress.Unlisted -> progress.since < before
                    is Progress.Waiting -> true
                    is Progress.Done -> false
                }
            if (!isAbandoned || item.ref in unstoredResults) continue
            (item.progress as? Progress.Running)?.let { itemsByCall -= it.call }
            setProgress(item, Progress.Waiting(now))
            hasRequeued = true
        }
        return hasRequeued
    }

    private fun Progress.Running.isMissing(
        reported: Set<Long>,
        held: Set<CallId>,
        before: MonotonicTime,
    ): Boolean = (releasedAt ?: since) < before && call !in held && call.number !in reported

    fun markDone(ref: ItemRef) {
        val item = item(ref) ?: return
        setProgress(item, Progress.Done)
        if (item.job.unfinished == 0) forget(item.job)
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
        jobs.values.filter { it.bodyHolder == vm }.forEach { it.bodyHolder = null }
        for (item in itemsByVm[vm].orEmpty().toList()) {
            val wait = if (hasEnded) Duration.ZERO else silenceTolerated(item, now)
            setProgress(item, Progress.Waiting(now + wait, vm.takeUnless { hasEnded }))
            setAccumulatedRunTime(item, Duration.ZERO)
        }
        itemsByCall.keys.removeAll { it.vm == vm }
    }

    /** Returns the VM that alone works on the item, or may do so while it is silent. */
    private fun vmOf(progress: Progress): VmId? =
        when (progress) {
            is Progress.Waiting -> progress.silentVm
            is Progress.Running -> progress.call.vm
            is Progress.Unlisted -> progress.vm
            is Progress.Done -> null
        }

    /** Returns how long the item may wait for its silent VM: for the rest of its run, but not beyond its slack. */
    private fun silenceTolerated(
        item: Item,
        now: MonotonicTime,
    ): Duration {
        val slack = item.job.plan.lifetime.deadline - now - meanRunTime - RETRY_MARGIN
        return minOf(remainingTime(item, now), slack).coerceAtLeast(Duration.ZERO)
    }

    /** Returns the items whose retention has expired and that no VM works on. */
    fun expiredItems(now: MonotonicTime): List<ItemRef> =
        jobs.values
            .filter { it.plan.lifetime.isExpired(now) }
            .flatMap { job ->
                job.items.values
                    .filter { it.progress is Progress.Waiting }
                    .map { it.ref }
            }

    private fun item(ref: ItemRef): Item? = jobs[ref.job]?.items?.get(ref.item)

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

        // The maximum bounds how long a server that is sound again stays without the items that it failed.
        val RESTART_BACKOFF: Backoff = Backoff(first = 50.milliseconds, max = 2.seconds)

        // A sixth of the time for which a condemned prompt part is kept without requests.
        val WITHHELD_DELAY: Duration = 10.seconds
    }
}
