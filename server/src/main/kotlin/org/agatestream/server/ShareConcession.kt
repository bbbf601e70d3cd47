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
private val CONCEDE_DELAY: Duration = 200.milliseconds
private val CONCEDE_TIMEOUT: Duration = 1.seconds

/** Hands shares over to their next owners, so that these need not wait for this VM's lease to run out. */
internal class ShareConcession(
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
                if (before == self && next != null) scope.launch { concede(next, share, plan, state) }
            }
        }
    }

    /** Takes a share over from [from]; returns false if it is not this VM's to take. */
    @Synchronized
    fun onConcede(
        from: VmId,
        ask: CoordinationAsk.Concede,
    ): Boolean {
        val state = store.state
        val isInTime = ask.epoch == state.plan.epoch && !state.standing.isSettled(clock(), state.policy)
        val isFromOwner =
            isInTime && state.plan.toShareOwners(ask.share).let { it.before == from && it.owner == state.self }
        val owner = owners.firstOrNull { it.owns(ask.share.key) }
        if (!isFromOwner || owner == null) return false
        if (ask.share in state.standing.conceded) return true
        owner.takeOver(ask.share, ask.state)
        store.update { it.copy(standing = it.standing.onConcession(ask.share, ask.epoch, from)) }
        return true
    }

    private suspend fun concede(
        next: VmId,
        share: ShareKey,
        plan: Plan,
        state: ByteArray,
    ) {
        repeat(MAX_ATTEMPTS) {
            val answer = network.ask(next, CoordinationAsk.Concede(share, plan.epoch, state), CONCEDE_TIMEOUT)
            if (answer == CoordinationAnswer.Conceded(isTaken = true)) return
            delay(CONCEDE_DELAY)
        }
    }
}
