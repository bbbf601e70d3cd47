package org.agatestream.server

import org.agatestream.core.VmId
import kotlin.time.Duration

/** Carries asks to other VMs and their answers back. */
public interface PeerNetwork {
    /** The VM this process is. */
    public val self: VmId

    /** Sends [ask] to [peer]; returns null if no answer came within [timeout]. An ask to [self] is answered locally. */
    public suspend fun ask(
        peer: VmId,
        ask: PeerAsk,
        timeout: Duration,
    ): PeerAnswer?
}
