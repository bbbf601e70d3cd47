package org.agatestream.core

import kotlinx.serialization.Serializable
import kotlin.time.Duration

/** Identifies one run at a backend server: the VM that carries it and a number that this VM uses once. */
@Serializable
public data class CallId(
    val vm: VmId,
    val number: Long,
) {
    override fun toString(): String = "$vm/$number"
}

/** Identifies an item over all jobs. */
@Serializable
public data class ItemRef(
    val job: JobId,
    val item: ItemId,
) {
    override fun toString(): String = "$job/$item"
}

/** A request that needs a slot of a backend server. */
public data class PlaceRequest(
    val call: CallId,
    val service: ServiceId,
    /** The workspace whose rate the request counts against; null if it was counted before or has none. */
    val metered: WorkspaceId?,
    /** 0 is the highest. */
    val priority: Int,
    /** When a run must start for its answer to meet the latency target. */
    val onTimeBy: MonotonicTime,
    /** When the request is refused if it has no slot by then. */
    val giveUpAt: MonotonicTime,
    /** Servers that it must not go to. */
    val excluded: Set<BackendServerId>,
)

/** What became of a run, as far as it tells something about its server. */
@Serializable
public enum class RunOutcome {
    /** The server answered, in success or failure. */
    ANSWERED,

    /** The server refused the request as full or as not meant for it, and did not run it. */
    NOT_RUN,

    /** The connection broke, or the server was silent. */
    LOST,

    /** No connection could be made. */
    UNREACHABLE,

    /** The VM ended the run, or never began it. */
    STOPPED,
}

/** What became of an item's run. */
@Serializable
public enum class ItemOutcome {
    /** The run is complete and its result is not in the store yet. */
    FINISHED,

    /** The result is in the store. */
    LISTED,

    /** The server answered with a failure that counts as an attempt. */
    FAILED,

    /** The run was ended or broke off, and may go on elsewhere. */
    INTERRUPTED,
}

/** A run that a VM carries, as it reports it to a coordinator. */
@Serializable
public data class RunningCall(
    val number: Long,
    val server: BackendServerId,
    /** The item that runs; null for online requests. */
    val item: ItemRef? = null,
    /** True once its first event has come. */
    val hasBegun: Boolean = false,
    /** How long it has waited for its first event; null if it has come or none is due before the end. */
    val silentMillis: Long? = null,
)

/** Why a coordinator gives a server less than its slots, or nothing. */
public enum class ServerDoubt {
    /** A run there waits for its first event for too long, and no other run has had one since. */
    SILENT,

    /** Runs there failed, so that it gets one at a time. */
    FAILING,
}

/** An instruction of the [Dispatcher]. */
public sealed interface DispatchAction {
    /** The request may run at [server]. */
    public data class Place(
        val call: CallId,
        val server: BackendServerId,
    ) : DispatchAction

    /** The request can't run. */
    public data class Refuse(
        val call: CallId,
        val kind: ErrorKind,
        val retryAfter: Duration,
    ) : DispatchAction

    /** The VM of [call] is to run an item at [server]. */
    public data class StartItem(
        val call: CallId,
        val item: ItemRef,
        val server: BackendServerId,
    ) : DispatchAction

    /** The VM of [call] is to end the run of an item. */
    public data class StopItem(
        val call: CallId,
        val reason: String,
    ) : DispatchAction

    /** An item failed too often or its time is over; it is to be listed as given up. */
    public data class GiveUpItem(
        val item: ItemRef,
        val reason: String,
    ) : DispatchAction
}
