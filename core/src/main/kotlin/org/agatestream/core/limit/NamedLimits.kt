package org.agatestream.core.limit

import org.agatestream.core.BackendServerId
import org.agatestream.core.MonotonicTime
import org.agatestream.core.ServerIncarnation

/**
 * The limits that backend servers named to this VM, and which of them the coordinator was told.
 *
 * A coordinator learns of limits from the runs that it placed. A new one has placed none, and a first limit would wait for
 * the end of its run, so that reports carry what the coordinator may not know.
 */
public class NamedLimits {
    private class Entry(
        val server: ServerIncarnation,
        val perSecond: Double,
        val at: MonotonicTime,
        var isReported: Boolean,
    )

    private val entries = HashMap<BackendServerId, Entry>()

    /** Records what a response of [server] said that this VM received at [now]. */
    public fun onResponse(
        server: ServerIncarnation,
        perSecond: Double?,
        now: MonotonicTime,
    ) {
        if (perSecond == null) {
            entries -= server.server
            return
        }
        val known = entries[server.server]
        val isReported = known?.server == server && known.perSecond == perSecond && known.isReported
        entries[server.server] = Entry(server, perSecond, now, isReported)
    }

    /** Returns what the coordinator may not know, with the ages at [now]. */
    public fun unreported(now: MonotonicTime): List<ObservedLimit> {
        if (entries.isEmpty()) return emptyList()
        entries.values.removeAll { now - it.at >= RequestLimiter.RETENTION }
        return entries.values
            .filter { !it.isReported }
            .map { ObservedLimit(it.server, ReportedLimit(it.perSecond, (now - it.at).inWholeMilliseconds)) }
    }

    /** Records that the coordinator has received [limits]. */
    public fun onReported(limits: List<ObservedLimit>) {
        for (observed in limits) {
            val entry = entries[observed.server.server] ?: continue
            if (entry.perSecond == observed.limit.perSecond) entry.isReported = true
        }
    }

    /** Makes the next report complete, as a new coordinator knows none. */
    public fun onCoordinatorChanged() {
        entries.values.forEach { it.isReported = false }
    }
}
