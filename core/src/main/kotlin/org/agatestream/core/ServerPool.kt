package org.agatestream.core

import kotlin.random.Random

/** The backend servers that may get work, with the account of each. */
internal class ServerPool(
    private val random: Random,
) {
    private val loads = LinkedHashMap<BackendServerId, ServerLoad>()
    private var manifest: Manifest? = null
    private var share = 1.0

    val all: Collection<ServerLoad> get() = loads.values

    fun onManifest(manifest: Manifest) {
        this.manifest = manifest
    }

    /** Gives out only [share] of what cold servers bear. */
    fun onShare(share: Double) {
        this.share = share
    }

    /** Applies the servers that may get work. */
    fun onUsable(usable: Collection<UsableServer>) {
        for (server in usable) {
            val load = loads[server.entry.id]
            if (load == null) loads[server.entry.id] = ServerLoad(server) else load.server = server
        }
        loads.keys.retainAll(usable.mapTo(HashSet()) { it.entry.id })
    }

    fun find(id: BackendServerId): ServerLoad? = loads[id]

    fun of(service: ServiceId): List<ServerLoad> = loads.values.filter { it.server.entry.service == service }

    /** Returns the slots of all servers of [service], taken or not. */
    fun slots(service: ServiceId): Int = of(service).sumOf { it.server.entry.slots }

    /** Returns whether a request may start at [load] now. */
    fun mayStart(
        load: ServerLoad,
        now: MonotonicTime,
    ): Boolean = load.mayStart(coldRate(load), now)

    /** Returns the server with the most free slots, one that answers slowly only if there is no other; or null. */
    fun choose(
        service: ServiceId,
        excluded: Set<BackendServerId>,
        now: MonotonicTime,
    ): ServerLoad? {
        val open = of(service).filter { it.id !in excluded && mayStart(it, now) }
        if (open.isEmpty()) return null
        val usual = open.map { it.firstEventMillis }.sorted()[open.size / 2]
        val slow = maxOf(usual * SLOW_FACTOR, SLOW_MILLIS)
        return open.shuffled(random).minWith(compareBy({ it.firstEventMillis > slow }, { -it.free }))
    }

    private fun coldRate(load: ServerLoad): Double {
        val rate = manifest?.services?.get(load.server.entry.service)?.coldRatePerSecond ?: 0.0
        return rate * share
    }

    private companion object {
        // The sheets' slow servers take four times as long and more; servers differ in speed by less than half of that.
        const val SLOW_FACTOR = 2.5

        // First events come after 60 to 90 ms.
        const val SLOW_MILLIS = 120.0
    }
}
