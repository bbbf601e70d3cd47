package org.agatestream.core

import kotlinx.serialization.Serializable
import org.agatestream.core.placement.PromptShape
import kotlin.time.Duration

/** Identifies one run at a backend server: the VM that carries it out and a number that is unique on that VM. */
@Serializable
public data class CallId(
    val vm: VmId,
    val number: Long,
) {
    override fun toString(): String = "$vm/$number"
}

/** A request that needs a slot of a backend server. */
public data class PlaceRequest(
    val call: CallId,
    val service: ServiceId,
    /** The workspace whose rate limit the request is charged to; null if it was already charged or has no workspace. */
    val meteredWorkspace: WorkspaceId?,
    /** 0 is the highest. */
    val priority: Int,
    /** The latest start at which the response still meets the latency target. */
    val latestStart: MonotonicTime,
    /** The time at which the request is refused if it is still waiting for a slot. */
    val queueDeadline: MonotonicTime,
    /** Servers that must not be chosen. */
    val excluded: Set<BackendServerId>,
    /** The prompt parts that other requests may share, in order. */
    val parts: List<PromptPart> = emptyList(),
    /** The workspace that asks, also if its rate was charged already; null if the request has none. */
    val workspace: WorkspaceId? = meteredWorkspace,
    /** The failure domain of the VM that asks; null if it is not known. */
    val origin: FailureDomainId? = null,
    val prompt: PromptShape = PromptShape.UNKNOWN,
    /** The name of the route; null if the VM that asks did not say. */
    val route: String? = null,
)

/** The outcome of a run, as evidence of the health of its server. */
@Serializable
public enum class RunOutcome {
    /** The server responded, with success or failure. */
    ANSWERED,

    /** The server refused the request without running it, because it was full or was not the addressed instance. */
    NOT_RUN,

    /** The connection broke, or the server stopped responding. */
    LOST,

    /** The connection could not be established. */
    UNREACHABLE,

    /** The VM cancelled the run, or never started it. */
    STOPPED,
}

/** The outcome of a run of a batch item. */
@Serializable
public enum class ItemOutcome {
    /** The run completed; its result is not in the store yet. */
    FINISHED,

    /** The result is in the store. */
    LISTED,

    /** The server responded with a failure that counts as an attempt. */
    FAILED,

    /** The run was cancelled or interrupted, and can be resumed on another server. */
    INTERRUPTED,

    /** The item was not run, as its prompt would end the server; it may run once the part is forgotten. */
    WITHHELD,
}

/** A run in flight on a VM, as the VM reports it to the coordinator. */
@Serializable
public data class RunningCall(
    val number: Long,
    val server: BackendServerId,
    /** The item that runs; null for online requests. */
    val item: ItemRef? = null,
    /** True once the first event was received. */
    val hasBegun: Boolean = false,
    /** How long the run has waited for its first event; null if it was received or the response is not streamed. */
    val silentMillis: Long? = null,
    /** The prompt parts that other requests may share, in order. */
    val parts: List<PromptPart> = emptyList(),
    /** The tokens that the run is expected to occupy at its server; 0 if not known. */
    val tokens: Int = 0,
    /** The time from sending the run to its first event; null before that, or while no roll-out needs it. */
    val firstEventMillis: Long? = null,
)

/** Why a coordinator restricts the work that it assigns to a server. */
public enum class ServerSuspicion {
    /** A run has waited too long for its first event, and no other run has received one since it was sent. */
    SILENT,

    /** Runs failed, so the server is probed with one run at a time. */
    FAILING,
}

/** An instruction issued by the [Dispatcher]. */
public sealed interface DispatchAction {
    /** The request may run at [server]. */
    public data class Place(
        val call: CallId,
        val server: BackendServerId,
    ) : DispatchAction

    /** The request is refused and does not run. */
    public data class Refuse(
        val call: CallId,
        val kind: ErrorKind,
        val retryAfter: Duration,
    ) : DispatchAction

    /** The VM of [call] must run an item at [server]. */
    public data class StartItem(
        val call: CallId,
        val item: ItemRef,
        val server: BackendServerId,
    ) : DispatchAction

    /** The VM of [call] must cancel the run of an item. */
    public data class StopItem(
        val call: CallId,
        val reason: String,
    ) : DispatchAction

    /** The item reached its attempt limit or expired; it must be recorded as given up. */
    public data class GiveUpItem(
        val item: ItemRef,
        val reason: String,
    ) : DispatchAction
}
