package org.agatestream.server

import kotlinx.coroutines.CoroutineScope
import kotlinx.coroutines.launch
import org.agatestream.core.MonotonicTime
import org.agatestream.core.VmId

/** Handles the [CoordinationRequest]s of other VMs. */
internal class CoordinationHandler(
    private val store: FleetStore,
    private val gossip: PeerGossip,
    private val shareHandover: ShareHandover,
    private val clock: () -> MonotonicTime,
    private val scope: CoroutineScope,
) : PeerHandler {
    override suspend fun answer(
        from: VmId,
        request: PeerRequest,
    ): PeerResponse? =
        when (request) {
            is CoordinationRequest.Heartbeat -> handleHeartbeat(from, request)
            is CoordinationRequest.Pull -> handlePull(request)
            is CoordinationRequest.Propagate -> handlePropagation(from, request)
            CoordinationRequest.FetchVms -> CoordinationResponse.FetchedVms(store.state.membership.listed)
            is CoordinationRequest.Probe -> CoordinationResponse.Probed(gossip.sendHeartbeat(request.vm) != null)
            is CoordinationRequest.HandOver -> handleHandover(from, request)
            else -> null
        }

    private fun handleHeartbeat(
        from: VmId,
        request: CoordinationRequest.Heartbeat,
    ): PeerResponse {
        val now = clock()
        val state = store.update { it.onEffective(request.status.effective, now) }
        if (!state.head.covers(request.status.head)) scope.launch { gossip.pullIfBehind(from, request.status.head) }
        return CoordinationResponse.Status(state.toStatus(now))
    }

    private fun handlePull(request: CoordinationRequest.Pull): PeerResponse {
        val state = store.state
        return CoordinationResponse.Pulled(state.config.toDelta(request.since), state.plan)
    }

    private suspend fun handlePropagation(
        from: VmId,
        request: CoordinationRequest.Propagate,
    ): PeerResponse {
        store.apply(request.delta, request.plan)
        if (store.state.config.revision < request.delta.upTo || store.state.plan.epoch < request.plan.epoch) {
            gossip.pullIfBehind(from, org.agatestream.core.FleetHead(request.delta.upTo, request.plan.epoch))
        }
        return CoordinationResponse.Applied(store.state.head)
    }

    private suspend fun handleHandover(
        from: VmId,
        request: CoordinationRequest.HandOver,
    ): PeerResponse {
        val state = store.state
        gossip.pullIfBehind(from, state.head.copy(epoch = maxOf(request.epoch, state.plan.epoch)))
        return CoordinationResponse.HandedOver(shareHandover.onHandover(from, request))
    }
}
