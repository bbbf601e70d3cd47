package org.agatestream.server

import org.agatestream.core.VmId

/** Answers the requests of other VMs in one area of the server. */
public fun interface PeerHandler {
    /** Returns the answer to [request], or null if [request] belongs to another area or has no answer. */
    public suspend fun answer(
        from: VmId,
        request: PeerRequest,
    ): PeerResponse?
}
