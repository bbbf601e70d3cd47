package org.agatestream.core

import kotlin.math.roundToInt
import kotlin.time.Duration
import kotlin.time.Duration.Companion.milliseconds

/** The numbers of slots of the services, counted at most once in a short time. */
internal class SlotCounts(
    private val servers: ServerPool,
) {
    private class Count(
        val slots: Int,
        val countedAt: MonotonicTime,
    )

    private val totals = HashMap<ServiceId, Count>()
    private val usable = HashMap<ServiceId, Count>()

    /** Forgets the counts after a change of the servers. */
    fun onServers() {
        totals.clear()
        usable.clear()
    }

    /** Returns the slots, free or occupied, of the servers of [service] outside [excluded] whose version may get work. */
    fun total(
        service: ServiceId,
        excluded: Set<BackendServerId>,
        now: MonotonicTime,
    ): Int {
        if (excluded.isNotEmpty()) return servers.slots(service, now, excluded)
        val known = totals[service]
        if (known != null && (now - known.countedAt).absoluteValue < VALIDITY) return known.slots
        return servers.slots(service, now).also { totals[service] = Count(it, now) }
    }

    /**
     * Returns the number of slots, free or occupied, of the servers of [service] that may get work at [now].
     *
     * If no server may, as all are paused or silent, all slots count: most such states end within a second. [runTime] is
     * the usual time of a run.
     */
    fun usable(
        service: ServiceId,
        now: MonotonicTime,
        runTime: Duration,
    ): Int {
        val known = usable[service]
        if (known != null && (now - known.countedAt).absoluteValue < VALIDITY) return known.slots
        val slots = servers.usableSlots(service, emptySet(), now, runTime).roundToInt()
        val counted = if (slots > 0) slots else total(service, emptySet(), now)
        usable[service] = Count(counted, now)
        return counted
    }

    private companion object {
        // A tenth of the shortest pause of a server.
        val VALIDITY = 10.milliseconds
    }
}
