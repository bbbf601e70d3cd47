package org.agatestream.server

import kotlinx.coroutines.CoroutineScope
import kotlinx.coroutines.launch
import org.agatestream.core.MonotonicTime
import org.agatestream.core.VmId

/** Answers the [CoordinationAsk]s of other VMs. */
internal class CoordinationHandler(
    private val store: FleetStore,
    private val gossip: PeerGossip,
    private val concession: ShareConcession,
    private val clock: () -> MonotonicTime,
    private val scope: CoroutineScope,
) : PeerHandler {
    override suspend fun answer(
        from: VmId,
        ask: PeerAsk,
    ): PeerAnswer? =
        when (ask) {
            is CoordinationAsk.Heartbeat -> answerHeartbeat(from, ask)
            is CoordinationAsk.Pull -> answerPull(ask)
            is CoordinationAsk.Spread -> answerSpread(from, ask)
            CoordinationAsk.FetchVms -> CoordinationAnswer.FetchedVms(store.state.membership.listed)
            is CoordinationAsk.Probe -> CoordinationAnswer.Probed(gossip.beat(ask.vm) != null)
            is CoordinationAsk.Concede -> answerConcede(from, ask)
            else -> null
        }

    private fun answerHeartbeat(
        from: VmId,
        ask: CoordinationAsk.Heartbeat,
    ): PeerAnswer {
        val now = clock()
        val state = store.update { it.onEffective(ask.status.effective, now) }
        if (!state.head.covers(ask.status.head)) scope.launch { gossip.pullIfBehind(from, ask.status.head) }
        return CoordinationAnswer.Status(state.toStatus(now))
    }

    private fun answerPull(ask: CoordinationAsk.Pull): PeerAnswer {
        val state = store.state
        return CoordinationAnswer.Pulled(state.config.toDelta(ask.since), state.plan)
    }

    private suspend fun answerSpread(
        from: VmId,
        ask: CoordinationAsk.Spread,
    ): PeerAnswer {
        store.apply(ask.delta, ask.plan)
        if (store.state.config.revision < ask.delta.upTo || store.state.plan.epoch < ask.plan.epoch) {
            gossip.pullIfBehind(from, org.agatestream.core.FleetHead(ask.delta.upTo, ask.plan.epoch))
        }
        return CoordinationAnswer.Applied(store.state.head)
    }

    private suspend fun answerConcede(
        from: VmId,
        ask: CoordinationAsk.Concede,
    ): PeerAnswer {
        val state = store.state
        gossip.pullIfBehind(from, state.head.copy(epoch = maxOf(ask.epoch, state.plan.epoch)))
        return CoordinationAnswer.Conceded(concession.onConcede(from, ask))
    }
}
