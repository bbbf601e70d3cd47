package org.agatestream.server

import kotlinx.coroutines.CoroutineScope
import kotlinx.coroutines.async
import kotlinx.coroutines.awaitAll
import kotlinx.coroutines.delay
import kotlinx.coroutines.isActive
import kotlinx.coroutines.launch
import org.agatestream.core.FleetHead
import org.agatestream.core.MonotonicTime
import org.agatestream.core.PeerStatus
import org.agatestream.core.VmId
import java.util.concurrent.ConcurrentHashMap
import kotlin.random.Random
import kotlin.time.Duration
import kotlin.time.Duration.Companion.milliseconds
import kotlin.time.Duration.Companion.seconds

private val HEARTBEAT_INTERVAL: Duration = 250.milliseconds
private val HEARTBEAT_TIMEOUT: Duration = 1.seconds
private val PULL_TIMEOUT: Duration = 3.seconds
private val PROBE_INTERVAL: Duration = 1.seconds
private val PROBE_AFTER: Duration = 5.seconds
private const val PROBES = 3
private const val ANNOUNCED_PEERS = 3

/**
 * Exchanges heartbeats with the neighbors of this VM, a constant number a second whatever the size of the fleet.
 *
 * Whoever of the two is behind pulls from the other.
 */
internal class PeerGossip(
    private val network: PeerNetwork,
    private val store: FleetStore,
    private val clock: () -> MonotonicTime,
    private val random: Random,
) {
    private val pulling = ConcurrentHashMap.newKeySet<VmId>()

    /** VMs that neither this one nor several others reached at the last probe. */
    @Volatile
    var unreachable: Set<VmId> = emptySet()
        private set

    /** Sends heartbeats to the neighbors in turn, until the scope ends. */
    suspend fun heartbeatLoop(scope: CoroutineScope) {
        var round = random.nextInt(1 shl 16)
        while (scope.isActive) {
            val neighbors = store.state.membership.neighbors()
            if (neighbors.isNotEmpty()) {
                val peer = neighbors[round.mod(neighbors.size)]
                scope.launch { beat(peer) }
            }
            round++
            delay(HEARTBEAT_INTERVAL.jittered(random))
        }
    }

    /** Probes VMs that have been silent for long through others, until the scope ends. */
    suspend fun probeLoop(scope: CoroutineScope) {
        while (scope.isActive) {
            delay(PROBE_INTERVAL.jittered(random))
            unreachable = findUnreachable(scope)
        }
    }

    /** Sends heartbeats to all neighbors at once and waits for their answers. */
    suspend fun beatAll(scope: CoroutineScope) {
        val neighbors = store.state.membership.neighbors()
        neighbors.map { scope.async { beat(it) } }.awaitAll()
    }

    /** Sends heartbeats to a few neighbors at once, so that a new head spreads without waiting for their turn. */
    fun announce(scope: CoroutineScope) {
        val neighbors = store.state.membership.neighbors()
        neighbors.shuffled(random).take(ANNOUNCED_PEERS).forEach { scope.launch { beat(it) } }
    }

    /** Pulls from [peer] if it is at a [head] that this VM has not reached. */
    suspend fun pullIfBehind(
        peer: VmId,
        head: FleetHead,
    ) {
        if (store.state.head.covers(head) || !pulling.add(peer)) return
        try {
            val ask = CoordinationAsk.Pull(store.state.config.revision)
            val answer = network.ask(peer, ask, PULL_TIMEOUT)
            if (answer is CoordinationAnswer.Pulled) store.apply(answer.delta, answer.plan)
        } finally {
            pulling.remove(peer)
        }
    }

    /** Returns the status of [peer], or null if it doesn't answer. */
    suspend fun beat(peer: VmId): PeerStatus? {
        val sentAt = clock()
        val ask = CoordinationAsk.Heartbeat(store.state.toStatus(sentAt))
        val answer = network.ask(peer, ask, HEARTBEAT_TIMEOUT)
        if (answer !is CoordinationAnswer.Status) {
            store.update { it.onSilence(peer, sentAt) }
            return null
        }
        store.update { it.onAnswer(peer, answer.status, sentAt, clock()) }
        pullIfBehind(peer, answer.status.head)
        return answer.status
    }

    private suspend fun findUnreachable(scope: CoroutineScope): Set<VmId> {
        val suspects = store.state.membership.suspects(clock(), PROBE_AFTER)
        val probed = suspects.map { scope.async { it.takeIf { vm -> isUnreachable(vm) } } }
        return probed.awaitAll().filterNotNull().toSet()
    }

    private suspend fun isUnreachable(vm: VmId): Boolean {
        val membership = store.state.membership
        val others = membership.peers.filter { it != vm && it !in membership.silentSince }
        val needed = minOf(PROBES - 1, membership.peers.size - 1)
        val answers =
            others
                .shuffled(
                    random,
                ).take(PROBES)
                .map { network.ask(it, CoordinationAsk.Probe(vm), PULL_TIMEOUT) }
        val probed = answers.filterIsInstance<CoordinationAnswer.Probed>()
        return needed > 0 && probed.size >= needed && probed.none { it.isReachable }
    }
}

/** Returns a span between three and five quarters of this one, so that VMs don't act in step. */
internal fun Duration.jittered(random: Random): Duration = this * (0.75 + random.nextDouble() / 2)
