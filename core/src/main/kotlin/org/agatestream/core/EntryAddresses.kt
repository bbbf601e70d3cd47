package org.agatestream.core

import kotlinx.serialization.Serializable

/** The addresses that callers may connect to, with the time to live of the list. */
@Serializable
public data class EntryAddresses(
    val addresses: List<EntryAddress>,
    val ttlSeconds: Int,
)

/** Host and port of one entry VM, with the failure domain it is in. */
@Serializable
public data class EntryAddress(
    val address: String,
    val failureDomain: FailureDomainId,
)

/** Returns the entry VMs that accept new callers: those not [leaving] whose failure domains are in service. */
public fun FleetView.findEntryAddresses(
    vms: List<ListedVm>,
    leaving: Set<VmId>,
    ttlSeconds: Int,
): EntryAddresses {
    val open = vms.filter { !it.leaving && it.id !in leaving && isInService(it.failureDomain) }
    return EntryAddresses(open.map { EntryAddress(it.callerAddress, it.failureDomain) }, ttlSeconds)
}
