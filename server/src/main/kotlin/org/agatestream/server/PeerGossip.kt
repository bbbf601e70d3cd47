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
private const val PROBING_PEERS = 3
private const val ANNOUNCED_PEERS = 3

/**
 * Exchanges heartbeats with the neighbors of this VM, at a rate that is independent of the size of the fleet.
 *
 * Of the two VMs, the one that is behind pulls from the other.
 */
internal class PeerGossip(
    private val network: PeerNetwork,
    private val store: FleetStore,
    private val clock: () -> MonotonicTime,
    private val random: Random,
) {
    private val pullsInFlight = ConcurrentHashMap.newKeySet<VmId>()

    /** VMs that neither this VM nor several others could reach at the last probe. */
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
                scope.launch { sendHeartbeat(peer) }
            }
            round++
            delay(HEARTBEAT_INTERVAL.jittered(random))
        }
    }

    /** Probes VMs that have been silent for [PROBE_AFTER] through other VMs, until the scope ends. */
    suspend fun probeLoop(scope: CoroutineScope) {
        while (scope.isActive) {
            delay(PROBE_INTERVAL.jittered(random))
            unreachable = findUnreachable(scope)
        }
    }

    /** Sends heartbeats to all neighbors concurrently and waits for their responses. */
    suspend fun sendHeartbeats(scope: CoroutineScope) {
        val neighbors = store.state.membership.neighbors()
        neighbors.map { scope.async { sendHeartbeat(it) } }.awaitAll()
    }

    /** Sends heartbeats to a few neighbors immediately, so that a new head spreads ahead of the heartbeat schedule. */
    fun announce(scope: CoroutineScope) {
        val neighbors = store.state.membership.neighbors()
        neighbors.shuffled(random).take(ANNOUNCED_PEERS).forEach { scope.launch { sendHeartbeat(it) } }
    }

    /** Pulls from [peer] if its [head] is ahead of this VM. */
    suspend fun pullIfBehind(
        peer: VmId,
        head: FleetHead,
    ) {
        if (store.state.head.covers(head) || !pullsInFlight.add(peer)) return
        try {
            val request = CoordinationRequest.Pull(store.state.config.revision)
            val response = network.call(peer, request, PULL_TIMEOUT)
            if (response is CoordinationResponse.Pulled) store.apply(response.delta, response.plan)
        } finally {
            pullsInFlight.remove(peer)
        }
    }

    /** Sends a heartbeat to [peer] and returns its status, or null if it doesn't respond. */
    suspend fun sendHeartbeat(peer: VmId): PeerStatus? {
        val sentAt = clock()
        val request = CoordinationRequest.Heartbeat(store.state.toStatus(sentAt))
        val response = network.call(peer, request, HEARTBEAT_TIMEOUT)
        if (response !is CoordinationResponse.Status) {
            store.update { it.onNoResponse(peer, sentAt) }
            return null
        }
        store.update { it.onResponse(peer, response.status, sentAt, clock()) }
        pullIfBehind(peer, response.status.head)
        return response.status
    }

    private suspend fun findUnreachable(scope: CoroutineScope): Set<VmId> {
        val suspects = store.state.membership.suspects(clock(), PROBE_AFTER)
        val probed = suspects.map { scope.async { it.takeIf { vm -> isUnreachable(vm) } } }
        return probed.awaitAll().filterNotNull().toSet()
    }

    private suspend fun isUnreachable(vm: VmId): Boolean {
        val membership = store.state.membership
        val others = membership.peers.filter { it != vm && it !in membership.unreachableSince }
        val needed = minOf(PROBING_PEERS - 1, membership.peers.size - 1)
        val responses =
            others
                .shuffled(
                    random,
                ).take(PROBING_PEERS)
                .map { network.call(it, CoordinationRequest.Probe(vm), PULL_TIMEOUT) }
        val probed = responses.filterIsInstance<CoordinationResponse.Probed>()
        return needed > 0 && probed.size >= needed && probed.none { it.isReachable }
    }
}

/** Returns 0.75 to 1.25 times this duration, so that VMs don't act in lockstep. */
internal fun Duration.jittered(random: Random): Duration = this * (0.75 + random.nextDouble() / 2)
