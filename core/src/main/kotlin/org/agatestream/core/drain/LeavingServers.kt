package org.agatestream.core.drain

import org.agatestream.core.BackendServerId
import org.agatestream.core.MonotonicTime
import org.agatestream.core.ServerIncarnation
import kotlin.time.Duration.Companion.milliseconds
import kotlin.time.Duration.Companion.seconds

/**
 * The backend servers that announced in a response that they are leaving, by incarnation.
 *
 * An announcement lasts as long as the server's row. It is kept for [ROWLESS_RETENTION] without one: an outage of the
 * store can make the row of a live server disappear for about two seconds, and another VM's announcement may arrive
 * before the row does. The start time 0 stands for an unknown one; such an announcement ends with the row at once, as
 * the row of a new start could not be told from the old one.
 */
public data class LeavingServers(
    private val announcements: Map<BackendServerId, Announcement> = emptyMap(),
) {
    /** The announcement of one server. */
    public data class Announcement(
        val startedAtMillis: Long,
        val source: DrainSource,
        val announcedAt: MonotonicTime,
        /** Since when the server has no row with this start; null while it has one. */
        val rowlessSince: MonotonicTime?,
    )

    /** Returns the announcement of [server], also after its row has gone. */
    public fun find(server: ServerIncarnation): Announcement? =
        announcements[server.server]?.takeIf { it.startedAtMillis == server.startedAtMillis }

    /**
     * Records that [server] announced its leaving at [announcedAt].
     *
     * [rowStart] is the start time in the server's row; null without a row. An announcement of an earlier start than the
     * one that is known is late and ignored.
     */
    public fun onAnnounced(
        server: ServerIncarnation,
        rowStart: Long?,
        source: DrainSource,
        announcedAt: MonotonicTime,
        now: MonotonicTime,
    ): LeavingServers {
        val known = announcements[server.server]
        val latestStart = maxOf(rowStart ?: Long.MIN_VALUE, known?.startedAtMillis ?: Long.MIN_VALUE)
        if (server.startedAtMillis < latestStart || known?.startedAtMillis == server.startedAtMillis) return this
        val rowlessSince = now.takeIf { rowStart != server.startedAtMillis }
        val added = Announcement(server.startedAtMillis, source, announcedAt, rowlessSince)
        return LeavingServers((announcements + (server.server to added)).bounded())
    }

    /** Applies the row of the server [id], which has the start time [rowStart]; null if the row is gone. */
    public fun onRow(
        id: BackendServerId,
        rowStart: Long?,
        now: MonotonicTime,
    ): LeavingServers {
        val known = announcements[id] ?: return this
        val hasRow = known.startedAtMillis == rowStart
        return when {
            hasRow == (known.rowlessSince == null) -> this
            hasRow -> LeavingServers(announcements + (id to known.copy(rowlessSince = null)))
            known.startedAtMillis == UNKNOWN_START -> LeavingServers(announcements - id)
            else -> LeavingServers(announcements + (id to known.copy(rowlessSince = now)))
        }
    }

    /** Forgets the announcements whose rows have been gone for [ROWLESS_RETENTION]. */
    public fun expire(now: MonotonicTime): LeavingServers {
        val kept = announcements.filterValues { it.rowlessSince == null || now - it.rowlessSince < ROWLESS_RETENTION }
        return if (kept.size == announcements.size) this else LeavingServers(kept)
    }

    /** Returns what other VMs must know: the announcements of servers that have a row. */
    public fun facts(now: MonotonicTime): List<LeavingFact> =
        announcements
            .filterValues { it.rowlessSince == null }
            .map { (id, it) ->
                LeavingFact(ServerIncarnation(id, it.startedAtMillis), (now - it.announcedAt).inWholeMilliseconds)
            }

    /** Identifies the servers in [facts], independently of the VM; 0 if there are none. */
    public val fingerprint: Int
        get() =
            announcements.entries.sumOf { (id, it) ->
                if (it.rowlessSince == null) ServerIncarnation(id, it.startedAtMillis).hashCode() else 0
            }

    /** Adds the [facts] of another VM; [rowStartOf] returns the start time in a server's row. */
    public fun merge(
        facts: List<LeavingFact>,
        rowStartOf: (BackendServerId) -> Long?,
        now: MonotonicTime,
    ): LeavingServers =
        facts.fold(this) { all, fact ->
            val announcedAt = now - fact.ageMillis.coerceAtLeast(0).milliseconds
            all.onAnnounced(fact.server, rowStartOf(fact.server.server), DrainSource.PEER, announcedAt, now)
        }

    private fun Map<BackendServerId, Announcement>.bounded(): Map<BackendServerId, Announcement> {
        if (size <= MAX_ANNOUNCEMENTS) return this
        val rowless = entries.filter { it.value.rowlessSince != null }
        return this - rowless.ifEmpty { entries }.minBy { it.value.announcedAt }.key
    }

    private companion object {
        const val UNKNOWN_START = 0L

        // Fleets have up to 300 servers.
        const val MAX_ANNOUNCEMENTS = 1024

        // Five times as long as rows stay away after an outage of the store.
        val ROWLESS_RETENTION = 10.seconds
    }
}
