package org.agatestream.core

import org.agatestream.core.limit.ReportedLimit
import org.agatestream.core.limit.RequestLimiter
import org.agatestream.core.placement.PlacedRun
import org.agatestream.core.placement.PlacementDemand
import org.agatestream.core.placement.PromptCache
import org.agatestream.core.placement.ReportedLoad
import org.agatestream.core.placement.ServerSpeed
import kotlin.time.Duration
import kotlin.time.Duration.Companion.milliseconds
import kotlin.time.Duration.Companion.seconds
import kotlin.time.DurationUnit

/** A coordinator's state of one backend server: its runs and its health. */
internal class ServerLoad(
    server: UsableServer,
) {
    /** The server's entry; after a restart, nothing is cached at it and it has named no limit. */
    var server: UsableServer = server
        set(value) {
            if (value.entry.startedAtMillis != field.entry.startedAtMillis) {
                promptCache.clear()
                limiter = RequestLimiter()
            }
            field = value
        }
    val id: BackendServerId get() = server.entry.id
    val onlineRuns: MutableSet<CallId> = LinkedHashSet()
    val itemRuns: MutableSet<CallId> = LinkedHashSet()
    private val stopping = HashSet<CallId>()

    private class Orphan(
        val until: MonotonicTime,
        val tokens: Int,
    )

    // Runs of unresponsive VMs, which the server continues, with their expected end.
    private val orphans = HashMap<CallId, Orphan>()
    private val placedRuns = HashMap<CallId, PlacedRun>()
    private val coldStarts = ArrayDeque<MonotonicTime>()
    private var pausedUntil = MonotonicTime.ZERO
    private var failures = 0
    private var refusals = 0
    private var isProbing = false
    private var probe: CallId? = null

    // Runs that have waited too long for their first event, with the time they were sent.
    private val silentRuns = HashMap<CallId, MonotonicTime>()
    private val startedRuns = HashSet<CallId>()
    private var lastEventAt = MonotonicTime.ZERO

    /** The smoothed time from the start of a run to its first event, in milliseconds; 0 if not known. */
    var firstEventMillis: Double = 0.0
        private set

    /** The last load that the server reported; null if it reported none. */
    var reportedLoad: ReportedLoad? = null
        private set
    private var reportedAt = MonotonicTime.ZERO

    val speed = ServerSpeed()
    val promptCache = PromptCache()

    /** Spaces the requests while the server names a limit. */
    var limiter = RequestLimiter()
        private set

    /** The tokens that runs occupy, as far as known. */
    var tokensInUse: Long = 0
        private set

    val running: Int get() = onlineRuns.size + itemRuns.size

    /** The number of slots occupied by runs of unresponsive VMs. */
    val orphaned: Int get() = orphans.size

    /** The number of free slots; the slot of an item that is being stopped counts as free. */
    val free: Int get() = server.entry.slots - running - orphaned + stopping.size

    val suspicion: ServerSuspicion?
        get() =
            when {
                isSilent() -> ServerSuspicion.SILENT
                isProbing -> ServerSuspicion.FAILING
                else -> null
            }

    /** True while an item that was told to stop still runs. */
    val isStoppingItems: Boolean get() = stopping.isNotEmpty()

    fun stoppableItems(): List<CallId> = itemRuns.filter { it !in stopping }

    /** Returns whether [call] is an item's run that was not told to stop. */
    fun isStoppable(call: CallId): Boolean = call in itemRuns && call !in stopping

    /** Returns whether the item's run [call] was told to stop and has not ended. */
    fun isStopping(call: CallId): Boolean = call in stopping

    fun markStopping(call: CallId) {
        stopping += call
    }

    /** Applies a VM's report on the events of a run. */
    fun onRunReport(
        run: RunningCall,
        call: CallId,
        now: MonotonicTime,
    ) {
        val silence = run.silentMillis?.milliseconds
        if (run.hasBegun && startedRuns.add(call)) lastEventAt = now
        if (silence != null && silence >= MAX_EVENT_GAP) silentRuns[call] = now - silence else silentRuns -= call
    }

    /** Returns whether a run has waited too long for its first event and no run has received one since it was sent. */
    fun isSilent(): Boolean = silentRuns.values.any { it > lastEventAt }

    /** Returns whether [call] has waited too long for its first event and no run has received one since it was sent. */
    fun isSilent(call: CallId): Boolean = silentRuns[call]?.let { it > lastEventAt } == true

    /** Applies the load that the server reported at [takenAt]. */
    fun onReportedLoad(
        load: ReportedLoad,
        takenAt: MonotonicTime,
    ) {
        if (reportedLoad != null && takenAt <= reportedAt) return
        reportedLoad = load
        reportedAt = takenAt
        load.durationPercent?.let { speed.onReported(it, takenAt) }
    }

    /** Applies what a response of the server said about the requests that it takes. */
    fun onReportedLimit(
        limit: ReportedLimit,
        now: MonotonicTime,
    ) {
        limiter.onReported(limit.perSecond, now - limit.ageMillis.coerceAtLeast(0).milliseconds, now)
    }

    /** Returns the runs at the server, including those of VMs without coordinator if its report at [now] is recent. */
    fun occupancy(now: MonotonicTime): Int {
        val known = running + orphaned
        val report = reportedLoad?.takeIf { now - reportedAt <= REPORT_LIFETIME } ?: return known
        return maxOf(known, report.running + report.waiting)
    }

    /** Records the tokens of a run whose size was not known when it started. */
    fun onTokens(
        call: CallId,
        tokens: Int,
    ) {
        val run = placedRuns[call]?.takeIf { it.tokens == 0 } ?: return
        run.tokens = tokens
        tokensInUse += tokens
    }

    /** Returns what the server had to do for [call] when it started; null if the run is not known. */
    fun placedRun(call: CallId): PlacedRun? = placedRuns[call]

    fun remove(call: CallId) {
        placedRuns.remove(call)?.let { tokensInUse -= it.tokens }
        silentRuns -= call
        startedRuns -= call
        stopping -= call
        onlineRuns -= call
        itemRuns -= call
        if (probe == call) probe = null
    }

    /** Keeps the slot of an unresponsive VM's run until [until], as its connection stays open at the server. */
    fun orphan(
        call: CallId,
        until: MonotonicTime,
    ) {
        val tokens = placedRuns[call]?.tokens ?: 0
        remove(call)
        orphans[call] = Orphan(until, tokens)
        tokensInUse += tokens
    }

    /** Frees the slots of all orphaned runs of [vm]. */
    fun dropOrphans(vm: VmId) {
        dropOrphans { call, _ -> call.vm == vm }
    }

    /** Frees the slots of orphaned runs whose expected end is at or before [now]. */
    fun expireOrphans(now: MonotonicTime) {
        dropOrphans { _, orphan -> now >= orphan.until }
    }

    private inline fun dropOrphans(isDropped: (CallId, Orphan) -> Boolean) {
        if (orphans.isEmpty()) return
        val all = orphans.iterator()
        while (all.hasNext()) {
            val (call, orphan) = all.next()
            if (!isDropped(call, orphan)) continue
            tokensInUse -= orphan.tokens
            all.remove()
        }
    }

    /** Returns whether a request may start now if a slot is free; [coldRate] limits the requests per second if cold. */
    fun acceptsWork(
        coldRate: Double,
        now: MonotonicTime,
    ): Boolean {
        if (now < pausedUntil || isSilent()) return false
        if (isProbing && probe != null) return false
        if (coldRate <= 0.0 || !server.isCold(now)) return true
        while (coldStarts.isNotEmpty() && now - coldStarts.first() >= COLD_RATE_WINDOW) coldStarts.removeFirst()
        return coldStarts.size < coldRate.toInt().coerceAtLeast(1)
    }

    fun onStarted(
        call: CallId,
        isItem: Boolean,
        now: MonotonicTime,
        demand: PlacementDemand = PlacementDemand.UNKNOWN,
    ) {
        if (isItem) itemRuns += call else onlineRuns += call
        if (server.isCold(now)) coldStarts += now
        limiter.onStarted(now)
        if (isProbing) probe = call
        val tokensRead = maxOf(0, demand.promptTokens - promptCache.heldTokens(demand.prompt.shared, now))
        placedRuns[call] = PlacedRun(running + orphaned, tokensRead, demand.tokens)
        tokensInUse += demand.tokens
        promptCache.onRun(demand.prompt.shared, now)
    }

    fun record(
        outcome: RunOutcome,
        firstEvent: Duration?,
        now: MonotonicTime,
        wasSilent: Boolean,
        detail: RunDetail = RunDetail.NONE,
    ) {
        detail.load?.let { onReportedLoad(it, now - detail.loadAgeMillis.coerceAtLeast(0).milliseconds) }
        if (outcome != RunOutcome.NOT_RUN && outcome != RunOutcome.STOPPED) refusals = 0
        when (outcome) {
            RunOutcome.ANSWERED -> {
                lastEventAt = now
                failures = 0
                isProbing = false
            }

            RunOutcome.NOT_RUN -> {
                // Runs that were sent before the pause began tell nothing about a later one.
                if (now >= pausedUntil) refusals++
                pausedUntil = now + REFUSAL_PAUSE * (1 shl minOf(refusals - 1, MAX_REFUSAL_DOUBLINGS).coerceAtLeast(0))
            }

            RunOutcome.LOST -> {
                recordFailures(if (wasSilent) FAILURE_THRESHOLD else 1, now)
            }

            RunOutcome.UNREACHABLE -> {
                recordFailures(FAILURE_THRESHOLD, now)
            }

            RunOutcome.STOPPED -> {
                if (wasSilent) recordFailures(FAILURE_THRESHOLD, now)
            }
        }
        if (firstEvent != null) {
            lastEventAt = now
            val millis = firstEvent.toDouble(DurationUnit.MILLISECONDS)
            firstEventMillis =
                if (firstEventMillis == 0.0) millis else firstEventMillis + SMOOTHING * (millis - firstEventMillis)
        }
    }

    /** Pauses the server after [FAILURE_THRESHOLD] failures in a row, then probes it with one run at a time. */
    private fun recordFailures(
        count: Int,
        now: MonotonicTime,
    ) {
        failures += count
        if (failures < FAILURE_THRESHOLD) return
        isProbing = true
        pausedUntil = now + minOf(FAILURE_PAUSE * (1 shl minOf(failures, MAX_DOUBLINGS)), MAX_FAILURE_PAUSE)
    }

    private companion object {
        // The limit for a cold server applies to any window of one second.
        val COLD_RATE_WINDOW = 1.seconds

        // The longest gap between two events of a response that the load profiles of both sites allow.
        val MAX_EVENT_GAP = 400.milliseconds

        // A server that refuses is full with runs unknown to this coordinator; streams take about 0.7 s.
        val REFUSAL_PAUSE = 100.milliseconds
        const val MAX_REFUSAL_DOUBLINGS = 2

        // Half of the duration of a stream; later, most of the reported runs have ended.
        val REPORT_LIFETIME = 300.milliseconds

        // A healthy server occasionally loses a single response.
        const val FAILURE_THRESHOLD = 2
        const val MAX_DOUBLINGS = 4
        val FAILURE_PAUSE = 100.milliseconds
        val MAX_FAILURE_PAUSE = 1.seconds
        const val SMOOTHING = 0.2
    }
}
