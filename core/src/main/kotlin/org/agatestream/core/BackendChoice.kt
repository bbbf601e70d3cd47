package org.agatestream.core

import kotlin.random.Random
import kotlin.time.Duration
import kotlin.time.Duration.Companion.milliseconds
import kotlin.time.Duration.Companion.seconds

/** A VM's view of a backend server when it selects one. */
public data class ServerView(
    val id: BackendServerId,
    /** This VM's requests in flight on the server. */
    val inFlight: Int,
    /** Requests of all VMs in flight, from the newer of the server's and its owner's reports, or null. */
    val reported: Int? = null,
    /** This VM's requests in flight when [reported] was taken. */
    val inFlightAtReport: Int = 0,
    /** The number of requests that the server can run concurrently. */
    val slots: Int = 1,
    /** True if the server is in this VM's failure domain. */
    val isSameFailureDomain: Boolean = false,
    /** True if the server probably has the prefix of the prompt in its cache. */
    val hasCachedPrefix: Boolean = false,
    /** The time to first byte of recent responses, or null if there were none. */
    val latency: Duration? = null,
    /** The time since the last failure, refusal or sign of a restart; null if there was none. */
    val timeSinceFailure: Duration? = null,
    /** True if the owner of the server's slots recently had none free. */
    val isFull: Boolean = false,
)

/** A policy for choosing a backend server among candidates. */
public sealed class ChoicePolicy {
    /** Chooses uniformly at random. */
    public data object RandomServer : ChoicePolicy()

    /** Chooses the one with fewer of this VM's requests of two random candidates. */
    public data object TwoChoices : ChoicePolicy()

    /** Chooses the least expected delay among [sample] random candidates and those with the prompt's prefix cached. */
    public data class LeastDelay(
        val sample: Int = 4,
        /** The fraction of a request's load saved by a cached prefix. */
        val cacheSaving: Double = 0.5,
        /** The extra cost of a server in another failure domain, as a fraction of a request's load. */
        val remoteDomainCost: Double = 0.05,
        /** How long a server is avoided after a failure. */
        val failureCooldown: Duration = 2.seconds,
    ) : ChoicePolicy()

    /** Returns one of [servers], a full one only if all are full, or null if there are none. */
    public fun choose(
        servers: List<ServerView>,
        random: Random,
    ): BackendServerId? {
        val open = servers.filterNot { it.isFull }.ifEmpty { servers }
        if (open.isEmpty()) return null
        return when (this) {
            RandomServer -> open.random(random).id
            TwoChoices -> open.sample(2, random).minBy { it.inFlight }.id
            is LeastDelay -> leastDelay(open, random).id
        }
    }

    private fun LeastDelay.leastDelay(
        servers: List<ServerView>,
        random: Random,
    ): ServerView {
        val median = servers.mapNotNull { it.latency }.sorted().let { if (it.isEmpty()) null else it[it.size / 2] }
        val healthy = servers.filterNot { it.failedWithin(failureCooldown) }.ifEmpty { servers }
        val sampled = healthy.sample(sample, random)
        val maxSlots = servers.maxOf { it.slots }.coerceAtLeast(1)
        return (sampled + healthy.filter { it.hasCachedPrefix }).minBy { cost(it, median, maxSlots) }
    }

    private fun LeastDelay.cost(
        server: ServerView,
        median: Duration?,
        maxSlots: Int,
    ): Double {
        // The request adds the same cost on each server; else an idle server with few slots would never warm up.
        val requestCost = (1.0 - (if (server.hasCachedPrefix) cacheSaving else 0.0)) / maxSlots
        val load = server.load().toDouble() / server.slots.coerceAtLeast(1) + requestCost
        val slowness = if (median == null || server.latency == null) 1.0 else server.latency.ratioTo(median)
        return load * slowness + if (server.isSameFailureDomain) 0.0 else remoteDomainCost / maxSlots
    }

    private fun Duration.ratioTo(median: Duration): Double =
        (this / median.coerceAtLeast(1.milliseconds)).coerceIn(1.0, MAX_SLOWNESS)

    private companion object {
        const val MAX_SLOWNESS = 16.0
    }
}

/** Returns the expected number of requests on the server: the reported number adjusted by this VM's later changes. */
internal fun ServerView.load(): Int =
    (
        (reported ?: inFlight) - (
            if (reported == null) {
                inFlight
            } else {
                inFlightAtReport
            }
        ) + inFlight
    ).coerceAtLeast(inFlight)

private fun ServerView.failedWithin(cooldown: Duration): Boolean =
    timeSinceFailure != null && timeSinceFailure < cooldown

private fun List<ServerView>.sample(
    count: Int,
    random: Random,
): List<ServerView> {
    if (size <= count) return shuffled(random)
    val sampled = LinkedHashSet<Int>()
    while (sampled.size < count) sampled += random.nextInt(size)
    return sampled.map { this[it] }
}
