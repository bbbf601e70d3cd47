package org.agatestream.core.fairness

import java.util.TreeMap
import java.util.TreeSet

/** Lanes by rank and then by the passes of their groups. */
internal class LaneOrder {
    private val levels = TreeMap<Rank, TreeSet<Lane>>()

    val isEmpty: Boolean get() = levels.isEmpty()

    /** The lowest pass of a group with requests here. */
    val lowestPass: Double get() = levels.values.minOf { it.first().group.pass }

    fun add(lane: Lane) {
        levels.getOrPut(lane.rank) { TreeSet(BY_PASS) } += lane
    }

    fun remove(lane: Lane) {
        val level = levels[lane.rank] ?: return
        level -= lane
        if (level.isEmpty()) levels -= lane.rank
    }

    /** Returns the lane of the highest rank whose group is at most [lead] ahead of the lowest pass. */
    fun first(lead: Double): Lane {
        val limit = lowestPass + lead
        return levels.values.first { it.first().group.pass <= limit }.first()
    }

    private companion object {
        val BY_PASS = compareBy<Lane>({ it.group.pass }, { it.group.number })
    }
}
