package org.agatestream.core

/**
 * Returns the [count] of these servers that [vm] uses, by rendezvous hashing.
 *
 * Bounds the number of servers that a VM tracks and queries, whatever the size of the fleet, and gives each server
 * about the same number of VMs.
 */
public fun Set<BackendServerId>.selectServersFor(
    vm: VmId,
    count: Int,
): Set<BackendServerId> {
    if (size <= count) return this
    return sortedByDescending { rendezvousRank(vm.value, it.value) }.take(count).toSet()
}

/** Returns the [count] servers preferred for prompts with this prefix; the result is the same on every VM. */
public fun Set<BackendServerId>.preferredServersOf(
    prefixHash: Long,
    count: Int,
): Set<BackendServerId> {
    val key = prefixHash.toString()
    return sortedByDescending { rendezvousRank(key, it.value) }.take(count).toSet()
}
