package org.agatestream.server

import org.agatestream.core.BackendServerId
import org.agatestream.core.BackendServerSetting
import org.agatestream.core.MonotonicTime
import org.agatestream.core.Outcome
import org.agatestream.core.RequestClass
import org.agatestream.core.WorkspaceId
import kotlin.time.Duration

/** The requirements of a request for a backend server. */
public data class SlotRequest(
    /** Servers that can run the request; [BackendSlots] skips those that are out of service. */
    val candidates: Set<BackendServerId>,
    val requestClass: RequestClass,
    val workspace: WorkspaceId?,
    /** A hash of the prompt's prefix, for servers that cache prefixes; null if there is no prompt. */
    val prefixHash: Long? = null,
    /** Servers that have already failed this request; used only if no other is available. */
    val excluded: Set<BackendServerId> = emptySet(),
    val deadline: MonotonicTime,
)

/** The outcome of using a slot. */
public sealed interface SlotResult {
    /** The server responded; [incarnation] is the process identity that it sent, if any. */
    public data class Answered(
        val firstByteAfter: Duration,
        val incarnation: String?,
    ) : SlotResult

    /** The server refused, failed or timed out. */
    public data object Failed : SlotResult

    /** The connection broke while the request ran, as it does when the server restarts. */
    public data object Broken : SlotResult

    /** The request was cancelled by its caller or preempted by online requests. */
    public data object Cancelled : SlotResult

    /** The request never reached the server. */
    public data object NotSent : SlotResult
}

/** The right to run one request on one backend server. */
public interface SlotLease {
    public val server: BackendServerId
    public val setting: BackendServerSetting

    /** Completes when a batch item is preempted: cancel it and release with [SlotResult.Cancelled]. */
    public val revoked: kotlinx.coroutines.Job

    /** Releases the slot; later calls have no effect. */
    public fun release(result: SlotResult)
}

/** Chooses backend servers and limits the concurrent requests of each across all VMs. */
public interface BackendSlots {
    /** Waits for a slot until the deadline; fails with `NO_CAPACITY`. */
    public suspend fun acquire(request: SlotRequest): Outcome<SlotLease>
}
