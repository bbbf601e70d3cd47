package org.agatestream.server

import org.agatestream.core.ListedVm
import org.agatestream.core.VmId
import kotlin.time.Duration

/** A [PeerNetwork] together with what the coordination of VMs needs to keep it running. */
public interface PeerTransport : PeerNetwork {
    /** Adds a handler; an ask gets the first answer that is not null, in the order of adding. */
    public fun addHandler(handler: PeerHandler)

    /** Replaces the addresses of other VMs. */
    public fun updateAddresses(vms: List<ListedVm>)

    /** Sends [ask] to whichever VM listens at [address]; fails if it is not [expected], where that is given. */
    public suspend fun askAddress(
        address: String,
        ask: PeerAsk,
        timeout: Duration,
        expected: VmId? = null,
    ): PeerAnswer?
}
