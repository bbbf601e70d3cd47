package org.agatestream.core.fairness

import org.agatestream.core.MonotonicTime

/**
 * The part of a capacity that this dispatcher can use while others, whose runs it does not know, use the same servers.
 *
 * Derived from what the servers answered while they turn requests away because they are full.
 */
internal class ObservedCapacity(
    startedAt: MonotonicTime,
) {
    private val answered = DecayedRate(startedAt)
    private val turnedAway = DecayedRate(startedAt)

    /** Records that a run that did [work] was answered. */
    fun onAnswered(
        work: Double,
        now: MonotonicTime,
    ) = answered.add(work, now)

    /** Records that a server turned a request away. */
    fun onTurnedAway(now: MonotonicTime) = turnedAway.add(1.0, now)

    /** Returns [capacity], limited to somewhat more than was answered lately if servers turned requests away. */
    fun limit(
        capacity: Capacity,
        now: MonotonicTime,
    ): Capacity {
        if (turnedAway.perSecond(now) < MIN_TURNED_AWAY) return capacity
        val observed = maxOf(answered.perSecond(now) * GROWTH, RunWork.UNKNOWN)
        if (observed >= capacity.workPerSecond) return capacity
        return Capacity(capacity.slots * observed / capacity.workPerSecond, observed, capacity.used)
    }

    private companion object {
        /** The requests per second turned away from which the servers count as full; single ones have other causes. */
        const val MIN_TURNED_AWAY = 0.5

        /** By how much the use may grow in about a second, so that freed capacity is found. */
        const val GROWTH = 1.05
    }
}
