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

/** A request by which VMs replicate the state of the fleet. */
@Serializable
public sealed interface CoordinationRequest : PeerRequest {
    /** Reports the sender's status and requests the receiver's. */
    @Serializable
    @SerialName("beat")
    public data class Heartbeat(
        val status: PeerStatus,
    ) : CoordinationRequest

    /** Requests the settings changed after [since] and the plan. */
    @Serializable
    @SerialName("pull")
    public data class Pull(
        val since: Revision,
    ) : CoordinationRequest

    /** Sends settings and plan, and requests the head that the receiver has applied. */
    @Serializable
    @SerialName("spread")
    public data class Propagate(
        val delta: ConfigDelta,
        val plan: Plan,
    ) : CoordinationRequest

    /** Requests the platform's VM list as the receiver last read it. */
    @Serializable
    @SerialName("vms")
    public data object FetchVms : CoordinationRequest

    /** Asks whether the receiver can reach [vm]. */
    @Serializable
    @SerialName("probe")
    public data class Probe(
        val vm: VmId,
    ) : CoordinationRequest

    /** Hands over [share], with its [state], which the sender released under the plan of [epoch]. */
    @OptIn(ExperimentalSerializationApi::class)
    @Serializable
    @SerialName("concede")
    public class HandOver(
        public val share: ShareKey,
        public val epoch: PlanEpoch,
        @ByteString public val state: ByteArray,
    ) : CoordinationRequest
}

/** The response to a [CoordinationRequest]. */
@Serializable
public sealed interface CoordinationResponse : PeerResponse {
    /** The response to a heartbeat. */
    @Serializable
    @SerialName("status")
    public data class Status(
        val status: PeerStatus,
    ) : CoordinationResponse

    /** The response to a pull. */
    @Serializable
    @SerialName("pulled")
    public data class Pulled(
        val delta: ConfigDelta,
        val plan: Plan,
    ) : CoordinationResponse

    /** The head that the receiver has applied. */
    @Serializable
    @SerialName("applied")
    public data class Applied(
        val head: FleetHead,
    ) : CoordinationResponse

    /** The VM list as last read. */
    @Serializable
    @SerialName("fetched")
    public data class FetchedVms(
        val vms: List<ListedVm>,
    ) : CoordinationResponse

    /** Whether the probed VM responded. */
    @Serializable
    @SerialName("probed")
    public data class Probed(
        val isReachable: Boolean,
    ) : CoordinationResponse

    /** Whether the receiver took the share over. */
    @Serializable
    @SerialName("conceded")
    public data class HandedOver(
        val isTaken: Boolean,
    ) : CoordinationResponse
}
