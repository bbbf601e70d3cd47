package org.agatestream.core

import org.agatestream.core.placement.ReportedLoad
import kotlin.time.Duration
import kotlin.time.Duration.Companion.milliseconds
import kotlin.time.Duration.Companion.seconds
import kotlin.time.DurationUnit

/** A coordinator's state of one backend server: its runs and its health. */
internal class ServerLoad(
    var server: UsableServer,
) {
    val id: BackendServerId get() = server.entry.id
    val onlineRuns: MutableSet<CallId> = LinkedHashSet()
    val itemRuns: MutableSet<CallId> = LinkedHashSet()
    private val stopping = HashSet<CallId>()

    // Runs of unresponsive VMs, which the server continues, with their expected end.
    private val orphans = HashMap<CallId, MonotonicTime>()
    private val coldStarts = ArrayDeque<MonotonicTime>()
    private var pausedUntil = MonotonicTime.ZERO
    private var failures = 0
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

    /** Returns whether [call] is an item's run that was not told to stop. */
    fun isStoppable(call: CallId): Boolean = call in itemRuns && call !in stopping

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

    fun remove(call: CallId) {
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
        remove(call)
        orphans[call] = until
    }

    /** Frees the slots of all orphaned runs of [vm]. */
    fun dropOrphans(vm: VmId) {
        orphans.keys.removeAll { it.vm == vm }
    }

    /** Frees the slots of orphaned runs whose expected end is at or before [now]. */
    fun expireOrphans(now: MonotonicTime) {
        orphans.values.removeAll { now >= it }
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
    ) {
        if (isItem) itemRuns += call else onlineRuns += call
        if (server.isCold(now)) coldStarts += now
        if (isProbing) probe = call
    }

    fun record(
        outcome: RunOutcome,
        firstEvent: Duration?,
        now: MonotonicTime,
        wasSilent: Boolean,
        detail: RunDetail = RunDetail.NONE,
    ) {
        detail.load?.let { reportedLoad = it }
        when (outcome) {
            RunOutcome.ANSWERED -> {
                lastEventAt = now
                failures = 0
                isProbing = false
            }

            RunOutcome.NOT_RUN -> {
                pausedUntil = now + REFUSAL_PAUSE
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

        // A healthy server occasionally loses a single response.
        const val FAILURE_THRESHOLD = 2
        const val MAX_DOUBLINGS = 4
        val FAILURE_PAUSE = 100.milliseconds
        val MAX_FAILURE_PAUSE = 1.seconds
        const val SMOOTHING = 0.2
    }
}
