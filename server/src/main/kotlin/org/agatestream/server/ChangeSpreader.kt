package org.agatestream.server

import kotlinx.coroutines.CoroutineScope
import kotlinx.coroutines.channels.Channel
import kotlinx.coroutines.coroutineScope
import kotlinx.coroutines.delay
import kotlinx.coroutines.isActive
import kotlinx.coroutines.launch
import kotlinx.coroutines.sync.Semaphore
import kotlinx.coroutines.sync.withPermit
import kotlinx.coroutines.withTimeoutOrNull
import org.agatestream.core.AppliedTally
import org.agatestream.core.CoordinationState
import org.agatestream.core.MonotonicTime
import org.agatestream.core.Revision
import org.agatestream.core.VmId
import kotlin.time.Duration
import kotlin.time.Duration.Companion.milliseconds
import kotlin.time.Duration.Companion.seconds

private const val MAX_ASKS_AT_ONCE = 64
private val ASK_TIMEOUT: Duration = 1.seconds
private val REPEAT_DELAY: Duration = 200.milliseconds
private val ROUND: Duration = 1500.milliseconds

/** Sends settings and plan to the planned VMs and learns when a majority has applied them. */
internal class ChangeSpreader(
    private val network: PeerNetwork,
    private val store: FleetStore,
    private val clock: () -> MonotonicTime,
) {
    /** Returns true once a head of this VM at or after now is in force, or false if that was not learned by [deadline]. */
    suspend fun spread(deadline: MonotonicTime): Boolean {
        while (true) {
            val left = deadline - clock()
            if (!left.isPositive()) return false
            if (withTimeoutOrNull(minOf(left, ROUND)) { spreadHead() } == true) return true
        }
    }

    private suspend fun spreadHead(): Boolean {
        val state = store.state
        val ask = state.toSpread()
        val answers = Channel<Answer>(Channel.UNLIMITED)
        val permits = Semaphore(MAX_ASKS_AT_ONCE)
        return coroutineScope {
            val asking = state.toTargets().map { launch { askUntilApplied(it, ask, answers, permits) } }
            val isInForce = collect(AppliedTally(state.head), answers)
            asking.forEach { it.cancel() }
            isInForce
        }
    }

    private suspend fun collect(
        start: AppliedTally,
        answers: Channel<Answer>,
    ): Boolean {
        var tally = start
        while (true) {
            val state = store.state
            if (state.plan.epoch > tally.head.epoch) return false
            val now = clock()
            val counted = tally.onAnswer(state.self, state.head, now)
            val gone = state.membership.gone
            if (counted.isInForce(state.plan, gone, now, state.policy)) return true
            val answer = answers.receive()
            tally = tally.onAnswer(answer.vm, answer.applied.head, answer.sentAt)
        }
    }

    private suspend fun CoroutineScope.askUntilApplied(
        vm: VmId,
        ask: CoordinationAsk.Spread,
        answers: Channel<Answer>,
        permits: Semaphore,
    ) {
        while (isActive) {
            val sentAt = clock()
            val answer = permits.withPermit { network.ask(vm, ask, ASK_TIMEOUT) }
            if (answer is CoordinationAnswer.Applied) {
                answers.send(Answer(vm, answer, sentAt))
                if (answer.head.covers(store.state.head)) return
            }
            delay(REPEAT_DELAY)
        }
    }

    private class Answer(
        val vm: VmId,
        val applied: CoordinationAnswer.Applied,
        val sentAt: MonotonicTime,
    )
}

private fun CoordinationState.toSpread(): CoordinationAsk.Spread =
    CoordinationAsk.Spread(config.toDelta(Revision(maxOf(0, config.revision.number - 1))), plan)

private fun CoordinationState.toTargets(): List<VmId> =
    (plan.vms + plan.previous).map { it.id }.distinct().filter { it != self && it !in membership.gone }
