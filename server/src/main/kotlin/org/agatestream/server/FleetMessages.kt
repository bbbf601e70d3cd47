package org.agatestream.server

import kotlinx.serialization.ExperimentalSerializationApi
import kotlinx.serialization.SerialName
import kotlinx.serialization.Serializable
import kotlinx.serialization.cbor.ByteString
import org.agatestream.core.BackendServerId
import org.agatestream.core.CoordinatorTerm
import org.agatestream.core.ErrorKind
import org.agatestream.core.FailureDomainId
import org.agatestream.core.ItemOutcome
import org.agatestream.core.ItemRef
import org.agatestream.core.JobRef
import org.agatestream.core.PartFacts
import org.agatestream.core.PromptPart
import org.agatestream.core.RunDetail
import org.agatestream.core.RunOutcome
import org.agatestream.core.RunningCall
import org.agatestream.core.ServiceId
import org.agatestream.core.VmId
import org.agatestream.core.WorkspaceId
import org.agatestream.core.limit.ObservedLimit
import org.agatestream.core.placement.ObservedLoad
import org.agatestream.core.placement.PromptShape
import org.agatestream.core.rollout.RolloutOutcome
import org.agatestream.core.rollout.ServerVersion

/** Requests a slot from the coordinator; durations count from the receipt of the message. */
@Serializable
@SerialName("place")
internal class PlaceSlotRequest(
    val number: Long,
    val service: ServiceId,
    @SerialName("metered")
    val meteredWorkspace: WorkspaceId?,
    val priority: Int,
    /** The time left to start a run that meets the latency target, in milliseconds. */
    val onTimeMillis: Long,
    /** The time left until a request without a slot is refused, in milliseconds. */
    val giveUpMillis: Long,
    val excluded: Set<BackendServerId>,
    /** The prompt parts that other requests may share, in order. */
    val parts: List<PromptPart> = emptyList(),
    /** What the sender knows about servers that ended on these parts. */
    val facts: List<PartFacts> = emptyList(),
    /** The workspace that asks, also if its rate was charged already. */
    val workspace: WorkspaceId? = null,
    /** The failure domain of the VM that asks. */
    val origin: FailureDomainId? = null,
    val prompt: PromptShape = PromptShape.UNKNOWN,
    /** The name of the route; null from builds that do not send it. */
    val route: String? = null,
) : PeerRequest

/** The coordinator's decision on a [PlaceSlotRequest]; sent later as a [DecisionNotice] if the request was queued. */
@Serializable
internal sealed interface PlaceDecision {
    @Serializable
    @SerialName("placed")
    data class Placed(
        val server: BackendServerId,
    ) : PlaceDecision

    @Serializable
    @SerialName("refused")
    data class Refused(
        val kind: ErrorKind,
        val retryAfterMillis: Long,
    ) : PlaceDecision

    /** The request is queued; the decision follows as a [DecisionNotice]. */
    @Serializable
    @SerialName("queued")
    data object Queued : PlaceDecision
}

@Serializable
@SerialName("decided")
internal class PlaceSlotResponse(
    val decision: PlaceDecision,
) : PeerResponse

/** Sends a VM the decision on its queued request. */
@Serializable
@SerialName("decision")
internal class DecisionNotice(
    val number: Long,
    val decision: PlaceDecision,
) : PeerRequest

/** Tells the coordinator that a run ended, or that its queued request was abandoned. */
@Serializable
@SerialName("release")
internal class ReleaseSlotRequest(
    val number: Long,
    val outcome: RunOutcome,
    val firstEventMillis: Long?,
    /** What the sender knows about servers that ended on the parts of the run. */
    val facts: List<PartFacts> = emptyList(),
    val detail: RunDetail = RunDetail.NONE,
) : PeerRequest

/** Tells a VM to run an item. */
@Serializable
@SerialName("run-item")
internal class RunItemRequest(
    val number: Long,
    val item: ItemRef,
    val workspace: WorkspaceId?,
    val server: BackendServerId,
    /** The output of earlier runs, from which this one resumes; null if there is none. */
    val partial: PartialOutput?,
    /** The term of the coordinator; null from builds that do not send it. */
    val term: CoordinatorTerm? = null,
    /** The version of the manifest by which the server was chosen; 0 from builds that do not send it. */
    val manifestVersion: Long = 0,
) : PeerRequest {
    /** The item to run; builds that do not name the workspace in [item] do so in [workspace] only. */
    val ref: ItemRef get() = ItemRef(JobRef(workspace, item.job.id), item.item)
}

/** The output of an interrupted item: the data of its events up to the one numbered [lastEvent]. */
@Serializable
internal class PartialOutput(
    val lastEvent: Long,
    val data: List<String>,
    /** How often the item has run from its start again, as none of its earlier events told where the output ends. */
    val restarts: Int = 0,
) {
    /** Returns whether this output replaces [other]: it is from a later restart, or has more events. */
    fun replaces(other: PartialOutput?): Boolean =
        other == null || compareValuesBy(this, other, { it.restarts }, { it.lastEvent }) > 0
}

/** Tells a VM to cancel the run of an item. */
@Serializable
@SerialName("stop-item")
internal class StopItemRequest(
    val number: Long,
    val reason: String,
    /** The term of the coordinator; null from builds that do not send it. */
    val term: CoordinatorTerm? = null,
) : PeerRequest

/** Reports the outcome of an item's run to the coordinator. */
@Serializable
@SerialName("item")
internal class ItemReport(
    val number: Long,
    val item: ItemRef,
    val outcome: ItemOutcome,
    /** The output so far, if another VM should resume the item. */
    val partial: PartialOutput? = null,
) : PeerRequest

/** Acknowledges a message that has no other answer. */
@Serializable
@SerialName("taken")
internal data object Acknowledged : PeerResponse

/** Refuses an order, as its sender has been replaced as coordinator. */
@Serializable
@SerialName("superseded")
internal data object Superseded : PeerResponse

/** Reports that the receiver is not the coordinator. */
@Serializable
@SerialName("not-coordinator")
internal data object NotCoordinator : PeerResponse

/** A VM's periodic report to the coordinator. */
@Serializable
@SerialName("status")
internal class StatusReport(
    val name: String,
    val caller: String,
    val peer: String,
    val domain: FailureDomainId,
    val isLeaving: Boolean,
    @SerialName("hasStore")
    val isStoreReachable: Boolean,
    val running: List<RunningCall>,
    val unlisted: List<ItemRef>,
    /** The versions of the operator rows and the server rows that this VM has. */
    val operatorVersion: Long,
    val serverVersion: Long,
    /** The version of the list of live VMs that this VM has from this coordinator; 0 if it has none. */
    val liveVersion: Long,
    val parts: PartReport = PartReport.NONE,
    val leaving: LeavingReport = LeavingReport.NONE,
    /** The loads that servers reported to this VM since its last report. */
    val loads: List<ObservedLoad> = emptyList(),
    /** The limits that servers named to this VM, unless this coordinator was told. */
    val limits: List<ObservedLimit> = emptyList(),
) : PeerRequest

/** The coordinator's response to a [StatusReport]. */
@Serializable
@SerialName("status-answer")
internal class StatusResponse(
    /** The VMs that serve callers; null if the reporting VM already has this version. */
    val live: List<LiveVm>?,
    val liveVersion: Long,
    /** True if another VM should take over as coordinator. */
    val isResigning: Boolean,
    /** Newer rows for a reporting VM that does not reach the store; null if it is up to date. */
    @SerialName("news")
    val snapshot: PlatformSnapshot?,
    val parts: PartReport = PartReport.NONE,
    val leaving: LeavingReport = LeavingReport.NONE,
    /** The roll-outs whose orders exist. */
    val rollouts: List<RolloutNotice> = emptyList(),
) : PeerResponse

/** How the latest roll-out of [service] stands. */
@Serializable
internal data class RolloutNotice(
    val service: ServiceId,
    val target: ServerVersion,
    val outcome: RolloutOutcome,
)

/** A VM that serves callers. */
@Serializable
internal data class LiveVm(
    val id: VmId,
    val name: String,
    /** Host and port for callers. */
    val caller: String,
    /** Host and port for other VMs. */
    val peer: String,
    val domain: FailureDomainId,
)

@OptIn(ExperimentalSerializationApi::class)
@Serializable
internal class SnapshotRow(
    val key: String,
    @ByteString val value: ByteArray,
)

/** Asks a VM whether it reaches the coordinator [coordinator]. */
@Serializable
@SerialName("hears")
internal class CoordinatorProbe(
    val coordinator: VmId,
) : PeerRequest

@Serializable
@SerialName("hears-answer")
internal class CoordinatorProbeResult(
    /** True if the asked VM reaches the coordinator, and the coordinator is not resigning. */
    @SerialName("hears")
    val isReachable: Boolean,
) : PeerResponse

/** Requests rows newer than the given versions while the store is unreachable; a version is 0 if nothing is known. */
@Serializable
@SerialName("news")
internal class SnapshotRequest(
    val operatorVersion: Long,
    val serverVersion: Long,
    val coordinatorVersion: Long,
    val leaving: LeavingReport = LeavingReport.NONE,
) : PeerRequest

@Serializable
@SerialName("news-answer")
internal class SnapshotResponse(
    /** All rows, or null if none is newer than the requested versions. */
    @SerialName("news")
    val snapshot: PlatformSnapshot?,
    /** The VMs that serve callers. */
    val live: List<LiveVm>,
    /** The coordinator, if its row is newer than the requested version. */
    val coordinator: NamedCoordinator?,
    val leaving: LeavingReport = LeavingReport.NONE,
) : PeerResponse

/** A coordinator record and the version of its row in the store. */
@Serializable
internal class NamedCoordinator(
    val record: CoordinatorRecord,
    val version: Long,
)
