package org.agatestream.core

import kotlin.time.Duration
import kotlin.time.Duration.Companion.milliseconds
import kotlin.time.Duration.Companion.seconds

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
)

/** The items of all open jobs and how far each has come. */
internal class JobBook {
    private sealed interface Progress {
        data class Waiting(
            val notBefore: MonotonicTime,
        ) : Progress

        data class Running(
            val call: CallId,
            val since: MonotonicTime,
            /** When its slot was freed, while what became of the item is not known; null before. */
            val releasedAt: MonotonicTime? = null,
        ) : Progress

        /** The output is whole at [vm] and not in the store; the coordinator knows it since [since]. */
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
        /** How long its runs took whose events are kept. */
        var ranFor: Duration = Duration.ZERO,
    )

    private class Job(
        val plan: JobPlan,
        val items: Map<ItemId, Item>,
        var home: VmId?,
    )

    private val jobs = HashMap<JobId, Job>()
    private val calls = HashMap<CallId, ItemRef>()
    private var wholeRun: Duration = ASSUMED_WHOLE_RUN

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

    /**
     * Returns the waiting items, those first that can still be done when they are due.
     *
     * Of these the items that need the least go first: with more work than slots, an item that is nearly done is worth
     * more than the start of another. Then the first due decides.
     */
    fun waiting(now: MonotonicTime): List<Pair<ItemRef, JobPlan>> {
        val waiting =
            jobs.values.flatMap { job ->
                job.items.values
                    .filter { item -> (item.progress as? Progress.Waiting)?.let { it.notBefore <= now } == true }
                    .map { job to it }
            }
        return waiting
            .sortedWith(
                compareBy(
                    { (job, item) -> !canBeOnTime(job, item, now) },
                    { (_, item) -> stepsLeft(item, now) },
                    { (job, _) -> job.plan.dueAt },
                ),
            ).map { (job, item) -> ItemRef(job.plan.id, item.plan.id) to job.plan }
    }

    /** Returns whether the item of the run [call] can still be done when it is due; false if the run is not known. */
    fun canBeOnTime(
        call: CallId,
        now: MonotonicTime,
    ): Boolean {
        val ref = calls[call] ?: return false
        val job = jobs[ref.job] ?: return false
        return canBeOnTime(job, job.items.getValue(ref.item), now)
    }

    private fun canBeOnTime(
        job: Job,
        item: Item,
        now: MonotonicTime,
    ): Boolean = now + left(item, now) <= job.plan.dueAt

    /** Returns how long the item still has to run, by what items take on average. */
    private fun left(
        item: Item,
        now: MonotonicTime,
    ): Duration {
        val running = (item.progress as? Progress.Running)?.let { now - it.since } ?: Duration.ZERO
        return (wholeRun - item.ranFor - running).coerceAtLeast(SHORTEST_REST)
    }

    private fun stepsLeft(
        item: Item,
        now: MonotonicTime,
    ): Long = left(item, now).inWholeMilliseconds / STEP.inWholeMilliseconds

    /** Returns how much of an item the run [call] has left, in steps that matter; 0 if the run is not known. */
    fun stepsLeft(
        call: CallId,
        now: MonotonicTime,
    ): Long = calls[call]?.let { item(it) }?.let { stepsLeft(it, now) } ?: 0

    /** Returns how long the run [call] probably goes on after [now]; zero if the run is not known. */
    fun left(
        call: CallId,
        now: MonotonicTime,
    ): Duration = calls[call]?.let { item(it) }?.let { left(it, now) } ?: Duration.ZERO

    /** Returns the position of an item in its job, or 0 if it is not known. */
    fun position(ref: ItemRef): Int =
        jobs[ref.job]
            ?.items
            ?.keys
            ?.indexOf(ref.item)
            ?.coerceAtLeast(0) ?: 0

    fun path(ref: ItemRef): String? = item(ref)?.plan?.path

    fun host(ref: ItemRef): String? = jobs[ref.job]?.plan?.host

    /** Returns the VM that holds the bodies of the item's job, if it is known to live. */
    fun home(ref: ItemRef): VmId? = jobs[ref.job]?.home

    fun itemOf(call: CallId): ItemRef? = calls[call]

    /** When the job of the run [call] is due, or null if the run is not known. */
    fun dueAt(call: CallId): MonotonicTime? = calls[call]?.let { jobs[it.job]?.plan?.dueAt }

    fun onStarted(
        ref: ItemRef,
        call: CallId,
        now: MonotonicTime,
    ) {
        val item = item(ref) ?: return
        if (item.progress == Progress.Done) return
        item.progress = Progress.Running(call, now)
        calls[call] = ref
    }

    /** Applies a VM's report that it runs an item. */
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
        calls -= call
        val item = item(ref) ?: return 0
        if (item.progress == Progress.Done) return item.failures
        val running = item.progress as? Progress.Running
        val isOther = running != null && running.call != call
        if (running != null && !isOther) item.ranFor += now - running.since
        when (outcome) {
            ItemOutcome.LISTED -> {
                setDone(ref)
            }

            ItemOutcome.FINISHED -> {
                wholeRun += (item.ranFor - wholeRun) * SMOOTHING
                item.progress = Progress.Unlisted(call.vm, now)
            }

            ItemOutcome.FAILED -> {
                item.failures++
                item.ranFor = Duration.ZERO
                if (!isOther) item.progress = Progress.Waiting(now + RETRY_PAUSE)
            }

            ItemOutcome.INTERRUPTED -> {
                if (!isOther) item.progress = Progress.Waiting(now)
            }
        }
        return item.failures
    }

    /** Notes that [vm] holds the whole output of [ref] and has not listed it. */
    fun onUnlisted(
        ref: ItemRef,
        vm: VmId,
        now: MonotonicTime,
    ) {
        val item = item(ref) ?: return
        if (item.progress is Progress.Waiting) item.progress = Progress.Unlisted(vm, now)
    }

    /** Notes that the slot of the run [call] was freed; what became of the item is told apart. */
    fun onReleased(
        call: CallId,
        now: MonotonicTime,
    ) {
        val item = calls[call]?.let { item(it) } ?: return
        val running = item.progress as? Progress.Running ?: return
        if (running.call == call) item.progress = running.copy(releasedAt = now)
    }

    /**
     * Makes the items wait again that [vm] should work on and does not report; returns whether there are any.
     *
     * They hold no slot ([held]) since [before] or longer, so the message on what became of them was lost or overtaken.
     * [running] are the numbers of the runs that it reports, [unlisted] the items whose whole output it holds.
     */
    fun onUnreported(
        vm: VmId,
        running: Set<Long>,
        unlisted: Set<ItemRef>,
        held: Set<CallId>,
        before: MonotonicTime,
        now: MonotonicTime,
    ): Boolean {
        var isAny = false
        for (job in jobs.values) {
            for ((id, item) in job.items) {
                val isLeft =
                    when (val progress = item.progress) {
                        is Progress.Running -> {
                            progress.call.vm == vm && progress.isOver(running, held, before)
                        }

                        is Progress.Unlisted -> {
                            progress.vm == vm && progress.since < before
                        }

                        is Progress.Waiting, is Progress.Done -> {
                            false
                        }
                    }
                if (!isLeft || ItemRef(job.plan.id, id) in unlisted) continue
                (item.progress as? Progress.Running)?.let { calls -= it.call }
                item.progress = Progress.Waiting(now)
                isAny = true
            }
        }
        return isAny
    }

    private fun Progress.Running.isOver(
        reported: Set<Long>,
        held: Set<CallId>,
        before: MonotonicTime,
    ): Boolean = (releasedAt ?: since) < before && call !in held && call.number !in reported

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
                if (isLost) {
                    item.progress = Progress.Waiting(now)
                    item.ranFor = Duration.ZERO
                }
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

    private companion object {
        // The sheets' items have 220 and 145 events of some 22 ms; what the fleet does replaces it soon.
        val ASSUMED_WHOLE_RUN: Duration = 4.seconds

        // The prompt is read again, and an item may be longer than most.
        val SHORTEST_REST: Duration = 300.milliseconds
        const val SMOOTHING = 0.1

        // Items that differ by less are taken as equally far.
        val STEP: Duration = 500.milliseconds

        // An item that failed at one server may run at another at once; the pause keeps poison from spinning.
        val RETRY_PAUSE: Duration = 50.milliseconds
    }
}
