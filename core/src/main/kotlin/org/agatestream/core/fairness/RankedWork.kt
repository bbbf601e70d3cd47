package org.agatestream.core.fairness

import java.util.TreeMap

/** The work of the waiting requests that may start as soon as a slot is free, by their ranks. */
internal class RankedWork {
    private class Sum(
        var work: Double,
        var requests: Int,
    )

    private val byRank = TreeMap<Rank, Sum>()

    /** The work of all ranks. */
    val total: Double get() = byRank.values.sumOf { it.work }

    /** Returns the work of the requests that start before a new one of [rank]. */
    fun ahead(rank: Rank): Double = byRank.headMap(rank, true).values.sumOf { it.work }

    /** Adds a request of [rank]. */
    fun add(
        rank: Rank,
        work: Double,
    ) {
        val sum = byRank.getOrPut(rank) { Sum(0.0, 0) }
        sum.work += work
        sum.requests++
    }

    /** Removes a request of [rank] that was added with the same [work]. */
    fun remove(
        rank: Rank,
        work: Double,
    ) {
        val sum = byRank[rank] ?: return
        sum.work -= work
        sum.requests--
        // Ends the rounding errors of the sum with its last request.
        if (sum.requests == 0) byRank -= rank
    }
}
