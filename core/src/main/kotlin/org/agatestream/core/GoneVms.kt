package org.agatestream.core

/**
 * Distinguishes VMs that are permanently gone from VMs that the platform's list does not show yet.
 *
 * The list lags: a new VM may be missing from it, but a VM that was removed from it never returns.
 */
public data class GoneVms(
    private val listed: Set<VmId> = emptySet(),
    private val gone: Set<VmId> = emptySet(),
) {
    /** Returns the state after a read of the platform's list; an empty list is ignored. */
    public fun onList(vms: Collection<VmId>): GoneVms {
        if (vms.isEmpty()) return this
        val current = vms.toSet()
        val allGone = (gone + (listed - current)).toList().takeLast(MAX_GONE)
        return GoneVms(current, allGone.toSet())
    }

    /** Returns whether [vm] is permanently gone. */
    public operator fun contains(vm: VmId): Boolean = vm in gone

    private companion object {
        const val MAX_GONE = 2_000
    }
}
