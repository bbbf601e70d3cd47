package org.agatestream.core.rollout

import org.agatestream.core.MonotonicTime
import org.agatestream.core.ServerEntry
import org.agatestream.core.ServiceId

/**
 * Which version of each service is in use, as far as a VM knows without a coordinator.
 *
 * Without an order, the version that most servers have when the service is first seen is in use for as long as a server
 * has it; a version that appears beside it gets nothing until an order names it, where operators order versions. Servers without a version are not
 * restricted unless an order is open. With an order, the version in use is that of most servers other than the target,
 * until the status says that the roll-out completed. Not thread-safe.
 */
public class VersionBook(
    /** True if a version that appears beside the one in use gets nothing until an order names it. */
    private val withholdsUnordered: Boolean = true,
) : VersionGate {
    private val orders = HashMap<ServiceId, RolloutOrder>()
    private val statuses = HashMap<ServiceId, RolloutStatus>()
    private val inUse = HashMap<ServiceId, VersionGroup>()
    private var groups: Map<ServiceId, Map<VersionGroup, List<ServerEntry>>> = emptyMap()
    private val restricted = HashSet<ServiceId>()

    /** The servers of a service that have the same version, or none. */
    private data class VersionGroup(
        val version: ServerVersion?,
    )

    /** The orders that the operators have given. */
    public val allOrders: Collection<RolloutOrder> get() = orders.values

    /** The known states of the roll-outs whose orders exist. */
    public val knownStatuses: Map<ServiceId, RolloutStatus> get() = statuses.filterKeys { it in orders }

    /** The orders that are not known to be completed or rolled back. */
    public val openOrders: List<RolloutOrder> get() = orders.values.filter { statuses[it.service]?.ends(it) != true }

    /** True if there is an order that is not known to be completed or rolled back. */
    public val hasOpenOrders: Boolean get() = orders.isNotEmpty() && openOrders.isNotEmpty()

    /** Applies the operators' orders; there is at most one for a service. */
    public fun onOrders(current: Collection<RolloutOrder>) {
        val services = orders.keys + current.map { it.service }
        val targets = current.associate { it.service to it.target }
        // The state of an earlier order says nothing about a later one.
        for ((service, order) in orders) if (targets[service] != order.target) statuses -= service
        orders.clear()
        current.forEach { orders[it.service] = it }
        services.forEach { update(it) }
    }

    /** Applies what the store or a coordinator says about the latest roll-out of [service]. */
    public fun onStatus(
        service: ServiceId,
        status: RolloutStatus,
    ) {
        val known = statuses[service]
        if (known == status) return
        // A message that was delayed does not reopen what is over.
        val isLate = status.outcome == RolloutOutcome.RUNNING && known?.target == status.target
        if (isLate) return
        statuses[service] = status
        update(service)
    }

    /** Applies the servers that are ready, whether or not their failure domain is in service. */
    public fun onServers(ready: Collection<ServerEntry>) {
        val services = groups.keys + ready.map { it.service }
        groups = ready.groupBy { it.service }.mapValues { (_, entries) -> entries.groupBy { groupOf(it) } }
        services.forEach { update(it) }
    }

    /** Sets the version in use as the record of the roll-out has it. */
    public fun onRecordedBase(
        service: ServiceId,
        version: ServerVersion?,
    ) {
        inUse[service] = VersionGroup(version)
        update(service)
    }

    /** Returns the version of [service] that is in use; null if its servers have none or are not known. */
    public fun versionInUse(service: ServiceId): ServerVersion? = inUse[service]?.version

    /** Returns whether [server] may get a run without the consent of a coordinator. */
    public fun admits(server: ServerEntry): Boolean {
        if (restricted.isEmpty() || server.service !in restricted) return true
        if (server.version == null && server.service !in orders) return true
        return groupOf(server) == inUse[server.service]
    }

    /** Returns whether this VM has heard that the version of [server] was rolled back. */
    public fun isRolledBack(server: ServerEntry): Boolean {
        val status = statuses[server.service] ?: return false
        return status.outcome == RolloutOutcome.ROLLED_BACK && status.target.value == server.version
    }

    override fun rank(
        server: ServerEntry,
        now: MonotonicTime,
    ): Int? = if (admits(server)) 0 else null

    private fun update(service: ServiceId) {
        val present = groups[service].orEmpty()
        findInUse(service, present)?.let { inUse[service] = it }
        val hasChoice = withholdsUnordered && present.size > 1 && inUse[service]?.version != null
        if (hasChoice || service in orders) restricted += service else restricted -= service
    }

    private fun findInUse(
        service: ServiceId,
        present: Map<VersionGroup, List<ServerEntry>>,
    ): VersionGroup? {
        val order = orders[service]
        val status = statuses[service]
        val completed = status?.takeIf { it.outcome == RolloutOutcome.COMPLETED }?.let { VersionGroup(it.target) }
        val isOver = order == null || status?.ends(order) == true
        if (completed != null && (isOver || completed.version != order?.target)) {
            if (completed in present || (order != null && isOver)) return completed
        }
        val known = inUse[service]
        val candidates = present.filterKeys { it.version == null || !isWithheld(it.version, order, status) }
        if (known != null && known in candidates) return known
        // Old servers stop when a roll-out completes; its status may not have been read yet.
        val hasChanged = candidates.isEmpty() && (order == null || status == null)
        val choice = if (hasChanged) present else candidates
        return choice.entries.minWithOrNull(MOST_SERVERS)?.key
    }

    private fun isWithheld(
        version: ServerVersion,
        order: RolloutOrder?,
        status: RolloutStatus?,
    ): Boolean = version == order?.target || (status?.outcome == RolloutOutcome.ROLLED_BACK && version == status.target)

    private fun groupOf(entry: ServerEntry): VersionGroup = VersionGroup(entry.version?.let { ServerVersion(it) })

    private companion object {
        /** Most servers first; among equals, those that started first. */
        val MOST_SERVERS: Comparator<Map.Entry<VersionGroup, List<ServerEntry>>> =
            compareBy(
                { -it.value.size },
                { entry -> entry.value.minOf { it.startedAtMillis } },
                {
                    it.key.version
                        ?.value
                        .orEmpty()
                },
            )
    }
}
