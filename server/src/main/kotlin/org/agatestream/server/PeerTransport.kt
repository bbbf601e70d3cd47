package org.agatestream.server

import org.agatestream.core.ListedVm
import org.agatestream.core.VmId
import kotlin.time.Duration

/** A [PeerNetwork] whose handlers and peer addresses can be managed. */
public interface PeerTransport : PeerNetwork {
    /** Adds a handler; the first non-null answer counts, in the order in which handlers were added. */
    public fun addHandler(handler: PeerHandler)

    /** Replaces the addresses of other VMs. */
    public fun updateAddresses(vms: List<ListedVm>)

    /** Sends [request] to the VM that listens at [address]; returns null if that is not [expected] or does not answer. */
    public suspend fun callAddress(
        address: String,
        request: PeerRequest,
        timeout: Duration,
        expected: VmId? = null,
    ): PeerResponse?

    /** Returns whether another process was found at the address of [vm], which has therefore ended. */
    public fun isReplaced(vm: VmId): Boolean = false
}
