package org.agatestream.core

import kotlin.time.Duration
import kotlin.time.Duration.Companion.seconds

/**
 * This VM's view of the other VMs: the platform's list, and which of them respond.
 *
 * An unresponsive VM is suspected, but keeps what it owns. Only the list shows that a VM is gone.
 */
public data class Membership(
    val self: VmId,
    val listed: List<ListedVm> = emptyList(),
    /** VMs removed from the list after this VM, or a VM that planned them, saw them in it. */
    val gone: Set<VmId> = emptySet(),
    /** For each VM, when the last heartbeat that it responded to was sent. */
    val answered: Map<VmId, MonotonicTime> = emptyMap(),
    /** For each unresponsive VM, when the first heartbeat without a response was sent. */
    val unreachableSince: Map<VmId, MonotonicTime> = emptyMap(),
) {
    /** The listed VMs other than this one, in a fixed order. */
    public val peers: List<VmId> get() = listed.map { it.id }.filter { it != self }.sortedBy { it.value }

    /**
     * Applies a read of the platform's list.
     *
     * [planned] are the VMs of the plan that was known before the read was sent. The VM that made the plan saw them in
     * the list, which never reverts, so those absent now are gone. A list without this VM proves nothing.
     */
    public fun onList(
        vms: List<ListedVm>,
        planned: Set<VmId>,
    ): Membership {
        val ids = vms.mapTo(HashSet()) { it.id }
        val known = if (self in ids) listed.map { it.id } + planned else emptyList()
        val absent = known.filter { it !in ids }
        return copy(
            listed = vms.sortedBy { it.id.value },
            gone = (gone + absent - ids).toList().takeLast(MAX_GONE).toSet(),
            answered = answered.filterKeys { it in ids },
            unreachableSince = unreachableSince.filterKeys { it in ids },
        )
    }

    /** Records that [vm] responded to a heartbeat sent at [sentAt]. */
    public fun onResponse(
        vm: VmId,
        sentAt: MonotonicTime,
    ): Membership = copy(answered = answered + (vm to sentAt), unreachableSince = unreachableSince - vm)

    /** Records that [vm] did not respond to a heartbeat sent at [sentAt]. */
    public fun onNoResponse(
        vm: VmId,
        sentAt: MonotonicTime,
    ): Membership {
        val last = answered[vm]
        if (last != null && last > sentAt) return this
        return copy(unreachableSince = unreachableSince + (vm to (unreachableSince[vm] ?: sentAt)))
    }

    /** Returns the VMs that have been unresponsive for at least [timeout]. */
    public fun suspects(
        now: MonotonicTime,
        timeout: Duration = SUSPICION_TIMEOUT,
    ): Set<VmId> = unreachableSince.filterValues { now - it >= timeout }.keys

    /**
     * Returns the VMs that this one sends heartbeats to.
     *
     * They are at distances 1, 2, 4, 8… in both directions on the ring of ids, so that their number and the
     * number of hops that information needs to reach all VMs grow with the logarithm of the fleet size.
     */
    public fun neighbors(): List<VmId> {
        val ring = (peers + self).sortedBy { it.value }
        val index = ring.indexOf(self)
        val distances = generateSequence(1) { it * 2 }.takeWhile { it < ring.size }
        return distances
            .flatMap { sequenceOf(index + it, index - it) }
            .map { ring[it.mod(ring.size)] }
            .filter { it != self }
            .distinct()
            .toList()
    }

    public companion object {
        /** How long a VM must be unresponsive to be suspected. */
        public val SUSPICION_TIMEOUT: Duration = 3.seconds
        private const val MAX_GONE = 4096
    }
}
