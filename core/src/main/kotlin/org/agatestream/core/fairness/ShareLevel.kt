package org.agatestream.core.fairness

/** The demand of a workspace in work per second, with its weight. */
internal data class WeightedDemand(
    val workPerSecond: Double,
    val weight: Double,
)

/** Max-min fair sharing of a capacity. */
internal object ShareLevel {
    /** The level while the capacity suffices for all demands. */
    const val UNLIMITED: Double = Double.POSITIVE_INFINITY

    /**
     * Returns the work per second, for a weight of 1, that each workspace may use of [workPerSecond].
     *
     * Those that demand less get what they demand, and what they leave goes to the others.
     */
    fun of(
        demands: Collection<WeightedDemand>,
        workPerSecond: Double,
    ): Double {
        if (demands.sumOf { it.workPerSecond } <= workPerSecond) return UNLIMITED
        var remaining = workPerSecond
        var weight = demands.sumOf { it.weight }
        for (demand in demands.sortedBy { it.workPerSecond / it.weight }) {
            if (demand.workPerSecond / demand.weight * weight > remaining) break
            remaining -= demand.workPerSecond
            weight -= demand.weight
        }
        return if (weight > 0.0) remaining / weight else UNLIMITED
    }
}
