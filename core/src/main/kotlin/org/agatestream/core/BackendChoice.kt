package org.agatestream.core

import kotlin.random.Random
import kotlin.time.Duration
import kotlin.time.Duration.Companion.milliseconds
import kotlin.time.Duration.Companion.seconds

/** What a VM knows of a backend server when it chooses one. */
public data class ServerView(
    val id: BackendServerId,
    /** Requests of this VM that run on the server. */
    val own: Int,
    /** Requests of all VMs, from the newest of the server's report and its owner's account; null if none came. */
    val reported: Int? = null,
    /** This VM's requests on the server when [reported] was taken. */
    val ownThen: Int = 0,
    /** Requests that the server bears at once. */
    val slots: Int = 1,
    /** True if the server is in this VM's failure domain. */
    val near: Boolean = false,
    /** True if the server is likely to hold the start of the prompt in its cache. */
    val cached: Boolean = false,
    /** The time to the first byte of recent answers, or null if there was none. */
    val latency: Duration? = null,
    /** Time since the last failure, refusal or sign of a restart; null if there was none. */
    val sinceFailure: Duration? = null,
    /** True if the owner of the server's slots had none within the last moments. */
    val full: Boolean = false,
)

/** Chooses a backend server among candidates. */
public sealed class ChoicePolicy {
    /** Any candidate, each as likely as the others. */
    public data object AnyServer : ChoicePolicy()

    /** The one with fewer of this VM's requests out of two random candidates. */
    public data object TwoChoices : ChoicePolicy()

    /** The one with the least expected delay out of [sample] random candidates and those that hold the prompt's start. */
    public data class LeastDelay(
        val sample: Int = 4,
        /** Parts of a request's load that a cached prefix saves. */
        val cacheGain: Double = 0.5,
        /** Extra cost of a server in another failure domain, in parts of a request's load. */
        val farCost: Double = 0.05,
        /** How long a server that failed is avoided. */
        val avoidance: Duration = 2.seconds,
    ) : ChoicePolicy()

    /** Chooses one of [servers], or null if there is none; full servers come last. */
    public fun choose(
        servers: List<ServerView>,
        random: Random,
    ): BackendServerId? {
        val open = servers.filterNot { it.full }.ifEmpty { servers }
        if (open.isEmpty()) return null
        return when (this) {
            AnyServer -> open.random(random).id
            TwoChoices -> open.sample(2, random).minBy { it.own }.id
            is LeastDelay -> leastDelay(open, random).id
        }
    }

    private fun LeastDelay.leastDelay(
        servers: List<ServerView>,
        random: Random,
    ): ServerView {
        val typical = servers.mapNotNull { it.latency }.sorted().let { if (it.isEmpty()) null else it[it.size / 2] }
        val healthy = servers.filterNot { it.failedWithin(avoidance) }.ifEmpty { servers }
        val drawn = healthy.sample(sample, random)
        val mostSlots = servers.maxOf { it.slots }.coerceAtLeast(1)
        return (drawn + healthy.filter { it.cached }).minBy { cost(it, typical, mostSlots) }
    }

    private fun LeastDelay.cost(
        server: ServerView,
        typical: Duration?,
        mostSlots: Int,
    ): Double {
        // The request itself weighs the same on each server, else an idle one with few slots would never warm up.
        val added = (1.0 - (if (server.cached) cacheGain else 0.0)) / mostSlots
        val load = server.load().toDouble() / server.slots.coerceAtLeast(1) + added
        val slowness = if (typical == null || server.latency == null) 1.0 else server.latency.over(typical)
        return load * slowness + if (server.near) 0.0 else farCost / mostSlots
    }

    private fun Duration.over(typical: Duration): Double =
        (this / typical.coerceAtLeast(1.milliseconds)).coerceIn(1.0, MOST_SLOWNESS)

    private companion object {
        const val MOST_SLOWNESS = 16.0
    }
}

/** Returns the expected number of requests on the server: the reported one with this VM's own changes since. */
internal fun ServerView.load(): Int =
    (
        (reported ?: own) - (
            if (reported == null) {
                own
            } else {
                ownThen
            }
        ) + own
    ).coerceAtLeast(own)

private fun ServerView.failedWithin(span: Duration): Boolean = sinceFailure != null && sinceFailure < span

private fun List<ServerView>.sample(
    count: Int,
    random: Random,
): List<ServerView> {
    if (size <= count) return shuffled(random)
    val drawn = LinkedHashSet<Int>()
    while (drawn.size < count) drawn += random.nextInt(size)
    return drawn.map { this[it] }
}
