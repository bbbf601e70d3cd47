package org.agatestream.core

/**
 * Returns the [count] of these servers that [vm] uses, by rendezvous hashing.
 *
 * Bounds what a VM has to know and ask, however many servers there are; each server is used by a like number of VMs.
 */
public fun Set<BackendServerId>.subsetFor(
    vm: VmId,
    count: Int,
): Set<BackendServerId> {
    if (size <= count) return this
    return sortedByDescending { rendezvousRank(vm.value, it.value) }.take(count).toSet()
}

/** Returns the [count] servers that prompts with this prefix go to where load allows, the same on every VM. */
public fun Set<BackendServerId>.homesOf(
    prefixHash: Long,
    count: Int,
): Set<BackendServerId> {
    val key = prefixHash.toString()
    return sortedByDescending { rendezvousRank(key, it.value) }.take(count).toSet()
}
