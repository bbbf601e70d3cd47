package org.agatestream.server

import kotlinx.coroutines.CoroutineScope
import kotlinx.coroutines.delay
import kotlinx.coroutines.isActive
import org.agatestream.core.HEAD_KEY
import org.agatestream.core.MonotonicTime
import org.agatestream.core.PLAN_KEY
import org.agatestream.core.Plan
import org.agatestream.core.PlanChange
import org.agatestream.core.PlanEpoch
import org.agatestream.core.PlanInput
import org.agatestream.core.TableService
import org.agatestream.core.toFleetHead
import org.agatestream.core.toPlan
import org.agatestream.core.toTransaction
import kotlin.random.Random
import kotlin.time.Duration
import kotlin.time.Duration.Companion.milliseconds
import kotlin.time.Duration.Companion.seconds

private val PLAN_INTERVAL: Duration = 250.milliseconds
private val IN_FORCE_TIMEOUT: Duration = 2.seconds
private val MAX_FALLBACK_DELAY: Duration = 4.seconds

/** Proposes new plans and confirms when the newest is in force. */
internal class PlanProposer(
    private val table: TableService,
    private val store: FleetStore,
    private val sync: TableSync,
    private val propagator: ChangePropagator,
    private val gossip: PeerGossip,
    private val clock: () -> MonotonicTime,
    private val random: Random,
) {
    private var change = PlanChange()
    private var proposed: PlanEpoch? = null
    private var fallbackAt: Pair<PlanEpoch, MonotonicTime>? = null

    /** Evaluates and proposes plan changes periodically, until the scope ends. */
    suspend fun loop(scope: CoroutineScope) {
        while (scope.isActive) {
            delay(PLAN_INTERVAL.jittered(random))
            propose()
            confirm(scope)
        }
    }

    private suspend fun propose() {
        val now = clock()
        val state = store.state
        val input = PlanInput(state.self, state.ownership, state.membership, gossip.unreachable, state.isCurrent(now))
        change = change.onInput(input, now)
        val plan = change.toProposal(input, now, state.policy) ?: return
        val planRow = table.read(PLAN_KEY).rowOr { return }
        val headRow = table.read(HEAD_KEY).rowOr { return }
        if (planRow.toPlan().epoch == state.plan.epoch) {
            table.commit(plan.toTransaction(headRow, planRow))
            proposed = plan.epoch
            EventLog.info("plan_proposed", "epoch" to plan.epoch, "vms" to plan.vms.size)
        }
        sync.readHead()
    }

    /** Propagates an unconfirmed plan: its proposer immediately, other VMs after a random delay. */
    private suspend fun confirm(scope: CoroutineScope) {
        val state = store.state
        val isKnown = state.ownership.effectiveSince != null || state.plan.epoch.number == 0L
        if (isKnown || !state.isCurrent(clock()) || !shouldConfirm(state.plan)) return
        if (!propagator.propagate(clock() + IN_FORCE_TIMEOUT)) return
        store.update { it.onEffective(state.plan.epoch, clock()) }
        EventLog.info("plan_in_force", "epoch" to state.plan.epoch)
        gossip.announce(scope)
    }

    private fun shouldConfirm(plan: Plan): Boolean {
        if (plan.epoch == proposed) return true
        val now = clock()
        val known = fallbackAt?.takeIf { it.first == plan.epoch }
        if (known == null) fallbackAt = plan.epoch to now + MAX_FALLBACK_DELAY * random.nextDouble() + PLAN_INTERVAL * 2
        return known != null && now >= known.second
    }
}
