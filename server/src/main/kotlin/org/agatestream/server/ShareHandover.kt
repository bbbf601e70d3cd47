package org.agatestream.server

import kotlinx.coroutines.CoroutineScope
import kotlinx.coroutines.delay
import kotlinx.coroutines.launch
import org.agatestream.core.MonotonicTime
import org.agatestream.core.Plan
import org.agatestream.core.ShareKey
import org.agatestream.core.VmId
import org.agatestream.core.toShareOwners
import java.util.concurrent.CopyOnWriteArrayList
import kotlin.time.Duration
import kotlin.time.Duration.Companion.milliseconds
import kotlin.time.Duration.Companion.seconds

private const val MAX_ATTEMPTS = 5
private val HANDOVER_RETRY_DELAY: Duration = 200.milliseconds
private val HANDOVER_TIMEOUT: Duration = 1.seconds

/** Hands shares over to their next owners, so that they need not wait for this VM's lease to expire. */
internal class ShareHandover(
    private val network: PeerNetwork,
    private val store: FleetStore,
    private val clock: () -> MonotonicTime,
) {
    private val owners = CopyOnWriteArrayList<ShareOwner>()

    fun addOwner(owner: ShareOwner) {
        owners += owner
    }

    /** Releases the shares that [plan] gives to other VMs and sends their state there. */
    fun onPlan(
        plan: Plan,
        scope: CoroutineScope,
    ) {
        val self = store.state.self
        for (owner in owners) {
            for (share in owner.shares()) {
                val (next, before) = plan.toShareOwners(share)
                if (next == self) continue
                val state = owner.release(share)
                if (before == self && next != null) scope.launch { handOver(next, share, plan, state) }
            }
        }
    }

    /** Takes a share over from [from]; returns false if the plan does not move it from there to this VM. */
    @Synchronized
    fun onHandover(
        from: VmId,
        request: CoordinationRequest.HandOver,
    ): Boolean {
        val state = store.state
        val isInTime = request.epoch == state.plan.epoch && !state.ownership.isSettled(clock(), state.policy)
        val isFromOwner =
            isInTime &&
                state.plan.toShareOwners(request.share).let { it.previousOwner == from && it.owner == state.self }
        val owner = owners.firstOrNull { it.owns(request.share.key) }
        if (!isFromOwner || owner == null) return false
        if (request.share in state.ownership.receivedHandovers) return true
        owner.takeOver(request.share, request.state)
        store.update { it.copy(ownership = it.ownership.onHandover(request.share, request.epoch, from)) }
        return true
    }

    private suspend fun handOver(
        next: VmId,
        share: ShareKey,
        plan: Plan,
        state: ByteArray,
    ) {
        repeat(MAX_ATTEMPTS) {
            val response = network.call(next, CoordinationRequest.HandOver(share, plan.epoch, state), HANDOVER_TIMEOUT)
            if (response == CoordinationResponse.HandedOver(isTaken = true)) return
            delay(HANDOVER_RETRY_DELAY)
        }
    }
}
