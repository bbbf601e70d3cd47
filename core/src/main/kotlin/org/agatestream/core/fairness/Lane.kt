package org.agatestream.core.fairness

import java.util.TreeMap

/** The rank of a request regardless of its workspace: on time before late, then by priority. */
internal data class Rank(
    val isLate: Boolean,
    /** 0 is the highest. */
    val priority: Int,
) : Comparable<Rank> {
    override fun compareTo(other: Rank): Int = ORDER.compare(this, other)

    private companion object {
        val ORDER = compareBy<Rank>({ it.isLate }, { it.priority })
    }
}

/** The waiting requests of one group with equal rank, in the order of arrival. */
internal class Lane(
    val group: ShareGroup,
    val rank: Rank,
) {
    val requests: TreeMap<Long, WaitingRequest> = TreeMap()
}
