package org.agatestream.server

import kotlinx.serialization.ExperimentalSerializationApi
import kotlinx.serialization.SerialName
import kotlinx.serialization.Serializable
import kotlinx.serialization.cbor.ByteString
import org.agatestream.core.BackendServerId
import org.agatestream.core.ErrorKind
import org.agatestream.core.FailureDomainId
import org.agatestream.core.ItemOutcome
import org.agatestream.core.ItemRef
import org.agatestream.core.RunOutcome
import org.agatestream.core.RunningCall
import org.agatestream.core.ServiceId
import org.agatestream.core.VmId
import org.agatestream.core.WorkspaceId

/** Asks the coordinator for a slot; spans are in milliseconds from the receipt. */
@Serializable
@SerialName("place")
internal class PlaceAsk(
    val number: Long,
    val service: ServiceId,
    val metered: WorkspaceId?,
    val priority: Int,
    val onTimeMillis: Long,
    val giveUpMillis: Long,
    val excluded: Set<BackendServerId>,
) : PeerAsk

/** The coordinator's decision on a [PlaceAsk]; sent as an ask of its own if the request had to wait. */
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

    /** The request waits; the decision follows as a [DecisionAsk]. */
    @Serializable
    @SerialName("queued")
    data object Queued : PlaceDecision
}

@Serializable
@SerialName("decided")
internal class PlaceAnswer(
    val decision: PlaceDecision,
) : PeerAnswer

/** Tells a VM the decision on its request that waited. */
@Serializable
@SerialName("decision")
internal class DecisionAsk(
    val number: Long,
    val decision: PlaceDecision,
) : PeerAsk

/** Tells the coordinator that a run, or the wait for one, has ended. */
@Serializable
@SerialName("release")
internal class ReleaseAsk(
    val number: Long,
    val outcome: RunOutcome,
    val firstEventMillis: Long?,
) : PeerAsk

/** Tells a VM to run an item. */
@Serializable
@SerialName("run-item")
internal class RunItemAsk(
    val number: Long,
    val item: ItemRef,
    val workspace: WorkspaceId?,
    val server: BackendServerId,
    /** What earlier runs brought; null if nothing is known. */
    val partial: PartialOutput?,
) : PeerAsk

/** The data of an item's first events. */
@Serializable
internal class PartialOutput(
    val lastEvent: Long,
    val data: List<String>,
)

/** Tells a VM to end the run of an item. */
@Serializable
@SerialName("stop-item")
internal class StopItemAsk(
    val number: Long,
    val reason: String,
) : PeerAsk

/** Tells the coordinator what became of an item's run. */
@Serializable
@SerialName("item")
internal class ItemAsk(
    val number: Long,
    val item: ItemRef,
    val outcome: ItemOutcome,
    /** What the runs so far brought, if the item is to go on elsewhere. */
    val partial: PartialOutput? = null,
) : PeerAsk

/** Acknowledges an ask that has no other answer. */
@Serializable
@SerialName("taken")
internal data object Taken : PeerAnswer

/** Says that the asked VM is not the coordinator. */
@Serializable
@SerialName("not-coordinator")
internal data object NotCoordinator : PeerAnswer

/** A VM's regular report to the coordinator. */
@Serializable
@SerialName("status")
internal class StatusAsk(
    val name: String,
    val caller: String,
    val peer: String,
    val domain: FailureDomainId,
    val isLeaving: Boolean,
    val hasStore: Boolean,
    val running: List<RunningCall>,
    val unlisted: List<ItemRef>,
    /** The versions of the operators' and the servers' rows that this VM knows. */
    val operatorVersion: Long,
    val serverVersion: Long,
    /** The version of the list of live VMs that it has from this coordinator. */
    val liveVersion: Long,
) : PeerAsk

/** The coordinator's answer to a [StatusAsk]. */
@Serializable
@SerialName("status-answer")
internal class StatusAnswer(
    /** The VMs that take callers; null if the asking VM has this version. */
    val live: List<LiveVm>?,
    val liveVersion: Long,
    /** True if another VM should take the coordinator's place. */
    val isResigning: Boolean,
    /** What the asking VM lacks, if it does not reach the store itself. */
    val news: PlatformNews?,
) : PeerAnswer

/** A VM that takes callers. */
@Serializable
internal data class LiveVm(
    val id: VmId,
    val name: String,
    val caller: String,
    val peer: String,
    val domain: FailureDomainId,
)

/** Rows of the platform as another VM knows them. */
@Serializable
internal class PlatformNews(
    val operatorVersion: Long,
    val operatorRows: List<NewsRow>,
    val serverVersion: Long,
    val serverRows: List<NewsRow>,
)

@OptIn(ExperimentalSerializationApi::class)
@Serializable
internal class NewsRow(
    val key: String,
    @ByteString val value: ByteArray,
)

/** Asks whether a VM has heard the coordinator [coordinator] of late. */
@Serializable
@SerialName("hears")
internal class HearsAsk(
    val coordinator: VmId,
) : PeerAsk

@Serializable
@SerialName("hears-answer")
internal class HearsAnswer(
    val hears: Boolean,
) : PeerAnswer

/** Asks for what a VM lacks while the store does not answer it; a version is 0 for what it does not know at all. */
@Serializable
@SerialName("news")
internal class NewsAsk(
    val operatorVersion: Long,
    val serverVersion: Long,
    val coordinatorVersion: Long,
) : PeerAsk

@Serializable
@SerialName("news-answer")
internal class NewsAnswer(
    /** What is newer than the asking VM knows. */
    val news: PlatformNews?,
    /** The VMs that take callers. */
    val live: List<LiveVm>,
    /** The coordinator, if the store named it later than the one that the asking VM knows. */
    val coordinator: NamedCoordinator?,
) : PeerAnswer

/** The coordinator that the store named with its row's version [version]. */
@Serializable
internal class NamedCoordinator(
    val record: CoordinatorRecord,
    val version: Long,
)
