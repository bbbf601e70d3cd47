package org.agatestream.server

import org.agatestream.core.VmId
import kotlin.time.Duration

/** Sends requests to other VMs and returns their answers. */
public interface PeerNetwork {
    /** The id of this VM. */
    public val self: VmId

    /** Sends [request] to [peer]; returns null if no answer arrives within [timeout]. A request to [self] stays local. */
    public suspend fun call(
        peer: VmId,
        request: PeerRequest,
        timeout: Duration,
    ): PeerResponse?
}
