package org.agatestream.server

import org.agatestream.core.BackendServerId
import org.agatestream.core.BackendServerSetting
import org.agatestream.core.MonotonicTime
import org.agatestream.core.Outcome
import org.agatestream.core.RequestClass
import org.agatestream.core.WorkspaceId
import kotlin.time.Duration

/** What a request needs of a backend server. */
public data class SlotRequest(
    /** Servers that can run the request; those out of service are left out by [BackendSlots]. */
    val candidates: Set<BackendServerId>,
    val requestClass: RequestClass,
    val workspace: WorkspaceId?,
    /** A hash of the start of the prompt, for servers that cache prefixes; null where there is none. */
    val prefixHash: Long? = null,
    /** Servers that failed this request before. */
    val excluded: Set<BackendServerId> = emptySet(),
    val deadline: MonotonicTime,
)

/** How the use of a slot ended. */
public sealed interface SlotResult {
    /** The server answered; [incarnation] is the identity that it gave, if any. */
    public data class Answered(
        val firstByteAfter: Duration,
        val incarnation: String?,
    ) : SlotResult

    /** The server refused, failed or timed out. */
    public data object Failed : SlotResult

    /** The connection broke while the request ran, as it does when the server restarts. */
    public data object Broken : SlotResult

    /** The request was cancelled by its caller or gave way to online requests. */
    public data object Cancelled : SlotResult

    /** The request never reached the server. */
    public data object NotSent : SlotResult
}

/** The right to run one request on one backend server. */
public interface SlotLease {
    public val server: BackendServerId
    public val setting: BackendServerSetting

    /** Completes when a batch item must give way: cancel it and release with [SlotResult.Cancelled]. */
    public val revoked: kotlinx.coroutines.Job

    /** Gives the slot back; later calls have no effect. */
    public fun release(result: SlotResult)
}

/** Chooses backend servers and holds each to the number of requests that it bears, over all VMs together. */
public interface BackendSlots {
    /** Waits for a slot until the deadline; fails with `NO_CAPACITY`. */
    public suspend fun acquire(request: SlotRequest): Outcome<SlotLease>
}
