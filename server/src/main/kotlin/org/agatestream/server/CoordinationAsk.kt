package org.agatestream.server

import kotlinx.serialization.ExperimentalSerializationApi
import kotlinx.serialization.SerialName
import kotlinx.serialization.Serializable
import kotlinx.serialization.cbor.ByteString
import org.agatestream.core.ConfigDelta
import org.agatestream.core.FleetHead
import org.agatestream.core.ListedVm
import org.agatestream.core.PeerStatus
import org.agatestream.core.Plan
import org.agatestream.core.PlanEpoch
import org.agatestream.core.Revision
import org.agatestream.core.ShareKey
import org.agatestream.core.VmId

/** An ask by which VMs keep what they know of the fleet up to date. */
@Serializable
public sealed interface CoordinationAsk : PeerAsk {
    /** Tells the sender's status and asks for the receiver's. */
    @Serializable
    @SerialName("beat")
    public data class Heartbeat(
        val status: PeerStatus,
    ) : CoordinationAsk

    /** Asks for the settings changed after [since] and for the plan. */
    @Serializable
    @SerialName("pull")
    public data class Pull(
        val since: Revision,
    ) : CoordinationAsk

    /** Sends settings and plan, and asks how far the receiver has come. */
    @Serializable
    @SerialName("spread")
    public data class Spread(
        val delta: ConfigDelta,
        val plan: Plan,
    ) : CoordinationAsk

    /** Asks for the platform's VM list as the receiver last read it. */
    @Serializable
    @SerialName("vms")
    public data object FetchVms : CoordinationAsk

    /** Asks whether the receiver can reach [vm]. */
    @Serializable
    @SerialName("probe")
    public data class Probe(
        val vm: VmId,
    ) : CoordinationAsk

    /** Says that the sender stopped acting as owner of [share] under the plan of [epoch]; [state] is what it leaves. */
    @OptIn(ExperimentalSerializationApi::class)
    @Serializable
    @SerialName("concede")
    public class Concede(
        public val share: ShareKey,
        public val epoch: PlanEpoch,
        @ByteString public val state: ByteArray,
    ) : CoordinationAsk
}

/** The answer to a [CoordinationAsk]. */
@Serializable
public sealed interface CoordinationAnswer : PeerAnswer {
    /** The answer to a heartbeat. */
    @Serializable
    @SerialName("status")
    public data class Status(
        val status: PeerStatus,
    ) : CoordinationAnswer

    /** The answer to a pull. */
    @Serializable
    @SerialName("pulled")
    public data class Pulled(
        val delta: ConfigDelta,
        val plan: Plan,
    ) : CoordinationAnswer

    /** How far the receiver of a spread has come. */
    @Serializable
    @SerialName("applied")
    public data class Applied(
        val head: FleetHead,
    ) : CoordinationAnswer

    /** The VM list as last read. */
    @Serializable
    @SerialName("fetched")
    public data class FetchedVms(
        val vms: List<ListedVm>,
    ) : CoordinationAnswer

    /** Whether the probed VM answered. */
    @Serializable
    @SerialName("probed")
    public data class Probed(
        val isReachable: Boolean,
    ) : CoordinationAnswer

    /** Whether the concession was taken. */
    @Serializable
    @SerialName("conceded")
    public data class Conceded(
        val isTaken: Boolean,
    ) : CoordinationAnswer
}
