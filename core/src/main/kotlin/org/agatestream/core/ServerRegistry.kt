package org.agatestream.core

import org.agatestream.core.drain.DrainSource
import org.agatestream.core.drain.DrainingServer
import org.agatestream.core.drain.LeavingFact
import org.agatestream.core.drain.LeavingServers
import kotlin.time.Duration
import kotlin.time.Duration.Companion.milliseconds

/** The entry of a backend server in the platform's list. */
public data class ServerEntry(
    val id: BackendServerId,
    val service: ServiceId,
    /** Host and port. */
    val address: String,
    val failureDomain: FailureDomainId,
    /** The number of requests that it runs concurrently. */
    val slots: Int,
    val isDraining: Boolean,
    /** The remaining time for which it is cold, as of when the entry was read. */
    val coldTimeLeft: Duration,
    /** The start time in Unix milliseconds; no state survives a restart. */
    val startedAtMillis: Long,
    /** The version of its software; null if the entry does not say. */
    val version: String? = null,
)

/** The incarnation that the entry describes. */
public val ServerEntry.incarnation: ServerIncarnation get() = ServerIncarnation(id, startedAtMillis)

/** A backend server that may be given work. */
public data class UsableServer(
    val entry: ServerEntry,
    val coldUntil: MonotonicTime,
) {
    /** Returns whether the rate limit of a cold server applies. */
    public fun isCold(now: MonotonicTime): Boolean = now < coldUntil
}

/**
 * The backend servers known to this VM, and the failure domains that operators took out of service.
 *
 * An entry that disappears within [REREGISTRATION_GRACE] of an outage of the store may have expired only because its
 * server could not renew it, so the server stays usable until the end of that period.
 *
 * A server drains if its row or a response of its incarnation says so.
 */
public data class ServerRegistry(
    private val entries: Map<BackendServerId, UsableServer> = emptyMap(),
    private val expiring: Map<BackendServerId, MonotonicTime> = emptyMap(),
    val outOfService: Set<FailureDomainId> = emptySet(),
    private val storeRecoveredAt: MonotonicTime? = null,
    private val leaving: LeavingServers = LeavingServers(),
) {
    /** Identifies the servers in [leavingFacts], independently of the VM; 0 if there are none. */
    val leavingFingerprint: Int get() = leaving.fingerprint

    /** Applies a new or changed entry. */
    public fun onEntry(
        entry: ServerEntry,
        now: MonotonicTime,
    ): ServerRegistry =
        copy(
            entries = entries + (entry.id to UsableServer(entry, now + entry.coldTimeLeft)),
            expiring = expiring - entry.id,
            leaving = leaving.onRow(entry.id, entry.startedAtMillis, now),
        )

    /** Applies the removal of an entry. */
    public fun onRemoved(
        id: BackendServerId,
        now: MonotonicTime,
    ): ServerRegistry {
        val graceEnd = storeRecoveredAt?.plus(REREGISTRATION_GRACE)
        if (graceEnd == null || now >= graceEnd || entries[id]?.let { isDraining(it) } != false) {
            return copy(entries = entries - id, expiring = expiring - id, leaving = leaving.onRow(id, null, now))
        }
        return copy(expiring = expiring + (id to graceEnd))
    }

    /** Applies a snapshot of all entries. */
    public fun onSnapshot(
        all: List<ServerEntry>,
        now: MonotonicTime,
    ): ServerRegistry {
        val present = all.mapTo(HashSet()) { it.id }
        val applied = all.fold(this) { registry, entry -> registry.onSnapshotEntry(entry, now) }
        return entries.keys
            .filter { it !in present }
            .fold(applied) { registry, id -> registry.onRemoved(id, now) }
    }

    /** Applies the set of failure domains that are out of service. */
    public fun onOutOfService(domains: Set<FailureDomainId>): ServerRegistry = copy(outOfService = domains)

    /** Records that the store responds again after an outage. */
    public fun onStoreRegained(now: MonotonicTime): ServerRegistry = copy(storeRecoveredAt = now)

    /** Removes the servers whose expired entries did not return in time. */
    public fun expire(now: MonotonicTime): ServerRegistry {
        val expired = expiring.filterValues { now >= it }.keys
        val announced = expired.fold(leaving) { all, id -> all.onRow(id, null, now) }.expire(now)
        if (expired.isEmpty() && announced === leaving) return this
        return copy(entries = entries - expired, expiring = expiring - expired, leaving = announced)
    }

    /** Records that [server] told this VM that it is leaving. */
    public fun onLeaving(
        server: ServerIncarnation,
        now: MonotonicTime,
    ): ServerRegistry = withLeaving(leaving.onAnnounced(server, rowStart(server.server), DrainSource.HEADER, now, now))

    /** Adds what another VM knows about leaving servers. */
    public fun mergeLeaving(
        facts: List<LeavingFact>,
        now: MonotonicTime,
    ): ServerRegistry = withLeaving(leaving.merge(facts, ::rowStart, now))

    /** Returns what other VMs must know about leaving servers beyond their rows. */
    public fun leavingFacts(now: MonotonicTime): List<LeavingFact> = leaving.facts(now)

    /** Returns whether [server] is or was leaving, also for a while after its row has gone. */
    public fun isLeaving(server: ServerIncarnation): Boolean =
        leaving.find(server) != null ||
            entries[server.server]?.entry?.let { it.incarnation == server && it.isDraining } == true

    /** Returns the servers that have a row and get no new work as they are leaving. */
    public fun draining(now: MonotonicTime): List<DrainingServer> =
        entries.values.filter { isDraining(it) }.map { server ->
            val announcement = leaving.find(server.entry.incarnation)
            DrainingServer(
                server = server.entry.incarnation,
                source = announcement?.source ?: DrainSource.ROW,
                age = announcement?.let { now - it.announcedAt } ?: Duration.ZERO,
            )
        }

    /** Returns the server with [id] whether or not it may get new work. */
    public fun find(id: BackendServerId): ServerEntry? = entries[id]?.entry

    /** Returns the entries of all servers, with those that are draining or out of service. */
    public fun all(): List<ServerEntry> = entries.values.map { it.entry }

    /** Returns the servers that may get new work. */
    public fun usable(): Collection<UsableServer> = entries.values.filter { isUsable(it) }

    /** Returns the server with [id] if it may get new work. */
    public fun usable(id: BackendServerId): UsableServer? = entries[id]?.takeIf { isUsable(it) }

    private fun isUsable(server: UsableServer): Boolean =
        !isDraining(server) && server.entry.failureDomain !in outOfService

    private fun isDraining(server: UsableServer): Boolean =
        server.entry.isDraining || leaving.find(server.entry.incarnation) != null

    private fun rowStart(id: BackendServerId): Long? = entries[id]?.entry?.startedAtMillis

    private fun withLeaving(next: LeavingServers): ServerRegistry = if (next === leaving) this else copy(leaving = next)

    private fun onSnapshotEntry(
        entry: ServerEntry,
        now: MonotonicTime,
    ): ServerRegistry = if (entries[entry.id]?.entry == entry && entry.id !in expiring) this else onEntry(entry, now)

    private companion object {
        // Entries that expired during an outage are back about two seconds after its end.
        val REREGISTRATION_GRACE = 2200.milliseconds
    }
}
