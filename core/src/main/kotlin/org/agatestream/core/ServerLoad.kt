package org.agatestream.core

import kotlin.time.Duration
import kotlin.time.Duration.Companion.milliseconds
import kotlin.time.Duration.Companion.seconds
import kotlin.time.DurationUnit

/** A coordinator's account of one backend server: what runs there, and whether it answers. */
internal class ServerLoad(
    var server: UsableServer,
) {
    val id: BackendServerId get() = server.entry.id
    val online: MutableSet<CallId> = LinkedHashSet()
    val items: MutableSet<CallId> = LinkedHashSet()
    private val stopping = HashSet<CallId>()

    // Runs of VMs that fell silent, with when they will probably have ended: the server goes on with them.
    private val orphans = HashMap<CallId, MonotonicTime>()
    private val coldStarts = ArrayDeque<MonotonicTime>()
    private var pausedUntil = MonotonicTime.ZERO
    private var failures = 0
    private var onTrial = false
    private var trial: CallId? = null

    // Runs that wait for their first event for too long, with when they were sent.
    private val silent = HashMap<CallId, MonotonicTime>()
    private val begun = HashSet<CallId>()
    private var lastEventAt = MonotonicTime.ZERO

    /** The smoothed time from the start of a run to its first event, in milliseconds; 0 if not known. */
    var firstEventMillis: Double = 0.0
        private set

    val running: Int get() = online.size + items.size

    /** The number of slots that runs of silent VMs hold. */
    val orphaned: Int get() = orphans.size

    /** Slots that no run holds; the slot of an item that is being stopped counts as free. */
    val free: Int get() = server.entry.slots - running - orphaned + stopping.size

    val doubt: ServerDoubt?
        get() =
            when {
                isSilent() -> ServerDoubt.SILENT
                onTrial -> ServerDoubt.FAILING
                else -> null
            }

    fun stoppableItems(): List<CallId> = items.filter { it !in stopping }

    fun stop(call: CallId) {
        stopping += call
    }

    /** Applies what the VM of a run here reports of its events. */
    fun noteEvents(
        run: RunningCall,
        call: CallId,
        now: MonotonicTime,
    ) {
        val silence = run.silentMillis?.milliseconds
        if (run.hasBegun && begun.add(call)) lastEventAt = now
        if (silence != null && silence >= SILENCE) silent[call] = now - silence else silent -= call
    }

    /** Returns whether a run has had no event for long, and no other one has had any since it was sent. */
    fun isSilent(): Boolean = silent.values.any { it > lastEventAt }

    /** Returns whether [call] is such a run. */
    fun isSilent(call: CallId): Boolean = silent[call]?.let { it > lastEventAt } == true

    fun remove(call: CallId) {
        silent -= call
        begun -= call
        stopping -= call
        online -= call
        items -= call
        if (trial == call) trial = null
    }

    /** Keeps the slot of a run whose VM fell silent until [until], as its connection stays open at the server. */
    fun orphan(
        call: CallId,
        until: MonotonicTime,
    ) {
        remove(call)
        orphans[call] = until
    }

    /** Frees the slots of all runs that [vm] left behind. */
    fun dropOrphans(vm: VmId) {
        orphans.keys.removeAll { it.vm == vm }
    }

    /** Frees the slots of left runs that have probably ended by [now]. */
    fun expireOrphans(now: MonotonicTime) {
        orphans.values.removeAll { now >= it }
    }

    /** Returns whether a request may start here now; [coldRate] is what a cold server bears in a second. */
    fun mayStart(
        coldRate: Double,
        now: MonotonicTime,
    ): Boolean {
        if (free <= 0 || now < pausedUntil || isSilent()) return false
        if (onTrial && trial != null) return false
        if (coldRate <= 0.0 || !server.isCold(now)) return true
        while (coldStarts.isNotEmpty() && now - coldStarts.first() >= COLD_WINDOW) coldStarts.removeFirst()
        return coldStarts.size < coldRate.toInt().coerceAtLeast(1)
    }

    fun started(
        call: CallId,
        isItem: Boolean,
        now: MonotonicTime,
    ) {
        if (isItem) items += call else online += call
        if (server.isCold(now)) coldStarts += now
        if (onTrial) trial = call
    }

    fun record(
        outcome: RunOutcome,
        firstEvent: Duration?,
        now: MonotonicTime,
        wasSilent: Boolean,
    ) {
        when (outcome) {
            RunOutcome.ANSWERED -> {
                lastEventAt = now
                failures = 0
                onTrial = false
            }

            RunOutcome.NOT_RUN -> {
                pausedUntil = now + FULL_PAUSE
            }

            RunOutcome.LOST -> {
                distrust(if (wasSilent) FAILURES_TO_DISTRUST else 1, now)
            }

            RunOutcome.UNREACHABLE -> {
                distrust(FAILURES_TO_DISTRUST, now)
            }

            RunOutcome.STOPPED -> {
                if (wasSilent) distrust(FAILURES_TO_DISTRUST, now)
            }
        }
        if (firstEvent != null) {
            lastEventAt = now
            val millis = firstEvent.toDouble(DurationUnit.MILLISECONDS)
            firstEventMillis =
                if (firstEventMillis == 0.0) millis else firstEventMillis + SMOOTHING * (millis - firstEventMillis)
        }
    }

    /** Pauses the server after [FAILURES_TO_DISTRUST] in a row, and tries it with one run at a time until one succeeds. */
    private fun distrust(
        weight: Int,
        now: MonotonicTime,
    ) {
        failures += weight
        if (failures < FAILURES_TO_DISTRUST) return
        onTrial = true
        pausedUntil = now + minOf(FAILURE_PAUSE * (1 shl minOf(failures, MAX_DOUBLINGS)), LONGEST_PAUSE)
    }

    private companion object {
        // The rules count requests to a cold server in any one second.
        val COLD_WINDOW = 1.seconds

        // The longest pause between two events of an answer that both sites' sheets allow.
        val SILENCE = 400.milliseconds

        // A server that refused is full by runs that this coordinator does not know of; streams take some 0.7 s.
        val FULL_PAUSE = 100.milliseconds

        // One answer is lost now and then by a sound server.
        const val FAILURES_TO_DISTRUST = 2
        const val MAX_DOUBLINGS = 4
        val FAILURE_PAUSE = 100.milliseconds
        val LONGEST_PAUSE = 1.seconds
        const val SMOOTHING = 0.2
    }
}
