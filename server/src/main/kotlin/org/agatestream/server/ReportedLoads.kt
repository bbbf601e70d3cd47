package org.agatestream.server

import org.agatestream.core.BackendServerId
import org.agatestream.core.MonotonicTime
import org.agatestream.core.placement.ObservedLoad
import org.agatestream.core.placement.ReportedLoad

/** The loads that servers reported to this VM since it last passed them on; only those that say how long work takes. */
internal class ReportedLoads {
    private class Entry(
        val load: ReportedLoad,
        val at: MonotonicTime,
    )

    private val entries = HashMap<BackendServerId, Entry>()

    fun add(
        server: BackendServerId,
        load: ReportedLoad,
        now: MonotonicTime,
    ) {
        if (load.durationPercent != null) entries[server] = Entry(load, now)
    }

    /** Removes and returns all loads with their ages at [now]. */
    fun take(now: MonotonicTime): List<ObservedLoad> {
        if (entries.isEmpty()) return emptyList()
        val all =
            entries.map { (server, entry) ->
                ObservedLoad(server, entry.load, (now - entry.at).inWholeMilliseconds)
            }
        entries.clear()
        return all
    }
}
