package org.agatestream.core

/**
 * Tells VMs that are gone for good from those that the platform's list does not show yet.
 *
 * The list lags: a new VM may be missing from it, but one that was on it and no longer is never comes back.
 */
public data class GoneVms(
    private val listed: Set<VmId> = emptySet(),
    private val gone: Set<VmId> = emptySet(),
) {
    /** Takes over the platform's list as last read; an empty one says nothing. */
    public fun afterList(vms: Collection<VmId>): GoneVms {
        if (vms.isEmpty()) return this
        val now = vms.toSet()
        val more = (gone + (listed - now)).toList().takeLast(MAX_GONE)
        return GoneVms(now, more.toSet())
    }

    /** Returns whether [vm] is gone for good. */
    public operator fun contains(vm: VmId): Boolean = vm in gone

    private companion object {
        const val MAX_GONE = 2_000
    }
}
