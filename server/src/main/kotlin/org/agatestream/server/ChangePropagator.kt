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
import org.agatestream.core.AppliedConfirmations
import org.agatestream.core.CoordinationState
import org.agatestream.core.MonotonicTime
import org.agatestream.core.Revision
import org.agatestream.core.VmId
import kotlin.time.Duration
import kotlin.time.Duration.Companion.milliseconds
import kotlin.time.Duration.Companion.seconds

private const val MAX_CONCURRENT_REQUESTS = 64
private val REQUEST_TIMEOUT: Duration = 1.seconds
private val RETRY_DELAY: Duration = 200.milliseconds
private val ROUND_TIMEOUT: Duration = 1500.milliseconds

/** Sends settings and plan to the planned VMs until a majority has applied them. */
internal class ChangePropagator(
    private val network: PeerNetwork,
    private val store: FleetStore,
    private val clock: () -> MonotonicTime,
) {
    /** Returns true once the current or a later head of this VM is in force, or false if unconfirmed by [deadline]. */
    suspend fun propagate(deadline: MonotonicTime): Boolean {
        while (true) {
            val left = deadline - clock()
            if (!left.isPositive()) return false
            if (withTimeoutOrNull(minOf(left, ROUND_TIMEOUT)) { propagateHead() } == true) return true
        }
    }

    private suspend fun propagateHead(): Boolean {
        val state = store.state
        val request = state.toPropagation()
        val responses = Channel<Response>(Channel.UNLIMITED)
        val permits = Semaphore(MAX_CONCURRENT_REQUESTS)
        return coroutineScope {
            val senders = state.toTargets().map { launch { sendUntilApplied(it, request, responses, permits) } }
            val isInForce = collect(AppliedConfirmations(state.head), responses)
            senders.forEach { it.cancel() }
            isInForce
        }
    }

    private suspend fun collect(
        start: AppliedConfirmations,
        responses: Channel<Response>,
    ): Boolean {
        var tally = start
        while (true) {
            val state = store.state
            if (state.plan.epoch > tally.head.epoch) return false
            val now = clock()
            val counted = tally.onResponse(state.self, state.head, now)
            val gone = state.membership.gone
            if (counted.isInForce(state.plan, gone, now, state.policy)) return true
            val response = responses.receive()
            tally = tally.onResponse(response.vm, response.applied.head, response.sentAt)
        }
    }

    private suspend fun CoroutineScope.sendUntilApplied(
        vm: VmId,
        request: CoordinationRequest.Propagate,
        responses: Channel<Response>,
        permits: Semaphore,
    ) {
        while (isActive) {
            val sentAt = clock()
            val response = permits.withPermit { network.call(vm, request, REQUEST_TIMEOUT) }
            if (response is CoordinationResponse.Applied) {
                responses.send(Response(vm, response, sentAt))
                if (response.head.covers(store.state.head)) return
            }
            delay(RETRY_DELAY)
        }
    }

    private class Response(
        val vm: VmId,
        val applied: CoordinationResponse.Applied,
        val sentAt: MonotonicTime,
    )
}

private fun CoordinationState.toPropagation(): CoordinationRequest.Propagate =
    CoordinationRequest.Propagate(config.toDelta(Revision(maxOf(0, config.revision.number - 1))), plan)

private fun CoordinationState.toTargets(): List<VmId> =
    (plan.vms + plan.previous).map { it.id }.distinct().filter { it != self && it !in membership.gone }
