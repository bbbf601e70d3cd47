package org.agatestream.core.placement

import kotlin.random.Random

/** Chooses the candidate with the least cost, at random among those within the factor 1 + [spread] of it. */
internal class LeastCost<T : Any>(
    private val random: Random,
    private val spread: Double,
) {
    private val candidates = ArrayList<T>()
    private val costs = ArrayList<Double>()
    private var best: T? = null
    private var ties = 0

    /** The least cost offered; infinite if there was no candidate. */
    var cost: Double = Double.POSITIVE_INFINITY
        private set

    /** Adds a candidate. */
    fun offer(
        candidate: T,
        cost: Double,
    ) {
        if (spread > 0.0) {
            candidates += candidate
            costs += cost
        }
        if (cost < this.cost) {
            this.cost = cost
            best = candidate
            ties = 1
        } else if (cost == this.cost && random.nextInt(++ties) == 0) {
            best = candidate
        }
    }

    /** Returns the chosen candidate; null if none was offered. */
    fun choice(): T? {
        if (spread <= 0.0) return best
        val limit = cost * (1.0 + spread)
        val near = costs.count { it <= limit }
        if (near == 0) return null
        var remaining = random.nextInt(near)
        for (index in candidates.indices) {
            if (costs[index] <= limit && remaining-- == 0) return candidates[index]
        }
        return best
    }
}
