package org.agatestream.server

import org.agatestream.core.VmId

/** Answers the asks of other VMs that belong to one area of the server. */
public fun interface PeerHandler {
    /** Returns the answer to [ask], or null if the ask belongs to another area or has no answer. */
    public suspend fun answer(
        from: VmId,
        ask: PeerAsk,
    ): PeerAnswer?
}
