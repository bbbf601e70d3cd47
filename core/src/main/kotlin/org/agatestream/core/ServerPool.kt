package org.agatestream.core

import org.agatestream.core.rollout.VersionGate
import kotlin.random.Random

/** The backend servers that may get work, with the state of each. */
internal class ServerPool(
    private val random: Random,
    private val gate: VersionGate = VersionGate.Open,
) {
    private val loads = LinkedHashMap<BackendServerId, ServerLoad>()
    private var manifest: Manifest? = null
    private var share = 1.0

    val all: Collection<ServerLoad> get() = loads.values

    fun onManifest(manifest: Manifest) {
        this.manifest = manifest
    }

    /** Limits this pool to [share] of the rate of cold servers. */
    fun onShare(share: Double) {
        this.share = share
    }

    /** Applies the list of servers that may get work. */
    fun onUsable(usable: Collection<UsableServer>) {
        for (server in usable) {
            val load = loads[server.entry.id]
            if (load == null) loads[server.entry.id] = ServerLoad(server) else load.server = server
        }
        loads.keys.retainAll(usable.mapTo(HashSet()) { it.entry.id })
    }

    fun find(id: BackendServerId): ServerLoad? = loads[id]

    fun forService(service: ServiceId): List<ServerLoad> = loads.values.filter { it.server.entry.service == service }

    /**
     * Returns the total number of slots of the servers of [service] outside [excluded], free or occupied.
     *
     * Servers whose version may get no work at [now] do not count.
     */
    fun slots(
        service: ServiceId,
        now: MonotonicTime,
        excluded: Set<BackendServerId> = emptySet(),
    ): Int = forService(service).filter { it.id !in excluded && mayUse(it, now) }.sumOf { it.server.entry.slots }

    /** Returns whether the version of the server may get work. */
    fun mayUse(
        load: ServerLoad,
        now: MonotonicTime,
    ): Boolean = gate.rank(load.server.entry, now) != null

    /** Returns those of [available] whose version goes before that of the others. */
    private fun preferred(
        available: List<ServerLoad>,
        now: MonotonicTime,
    ): List<ServerLoad> {
        val best = available.mapNotNull { gate.rank(it.server.entry, now) }.minOrNull()
        return available.filter { gate.rank(it.server.entry, now) == best }
    }

    /** Returns whether a request may start at [load] now. */
    private fun mayStart(
        load: ServerLoad,
        now: MonotonicTime,
    ): Boolean = load.free > 0 && acceptsWork(load, now)

    /** Returns whether a request may start at [load] now, apart from free slots. */
    fun acceptsWork(
        load: ServerLoad,
        now: MonotonicTime,
    ): Boolean = load.acceptsWork(coldRate(load), now) && mayUse(load, now)

    /**
     * Returns the server with the most free slots, a slow one only if there is no other; null if none is available.
     *
     * Servers in [atRisk] are chosen only if there is no other.
     */
    fun choose(
        service: ServiceId,
        excluded: Set<BackendServerId>,
        now: MonotonicTime,
        atRisk: Set<BackendServerId> = emptySet(),
    ): ServerLoad? {
        val available = preferred(forService(service).filter { it.id !in excluded && mayStart(it, now) }, now)
        if (available.isEmpty()) return null
        val median = available.map { it.firstEventMillis }.sorted()[available.size / 2]
        val threshold = maxOf(median * SLOW_FACTOR, MIN_SLOW_MILLIS)
        return available.shuffled(random).minWith(
            compareBy({ it.id in atRisk }, { it.firstEventMillis > threshold }, { -it.free }),
        )
    }

    /** Returns the server with the fewest runs; null if none is available. */
    fun chooseIdlest(
        service: ServiceId,
        excluded: Set<BackendServerId>,
        now: MonotonicTime,
    ): ServerLoad? =
        preferred(forService(service).filter { it.id !in excluded && mayStart(it, now) }, now)
            .shuffled(random)
            .minByOrNull { it.running }

    private fun coldRate(load: ServerLoad): Double {
        val rate = manifest?.services?.get(load.server.entry.service)?.coldRatePerSecond ?: 0.0
        return rate * share
    }

    private companion object {
        // Slow servers in the load profiles take at least four times as long; the speed of healthy ones differs by less
        // than half of that.
        const val SLOW_FACTOR = 2.5

        // The first event normally arrives after 60 to 90 ms.
        const val MIN_SLOW_MILLIS = 120.0
    }
}
