package org.agatestream.core.fairness

import org.agatestream.core.MonotonicTime
import org.agatestream.core.PlaceRequest

/** A request that waits for a slot. */
internal class WaitingRequest(
    val request: PlaceRequest,
    /** The position in the order of arrival. */
    val number: Long,
    val group: ShareGroup,
    /** True if the request would miss its deadline behind all that waited when it came, and can only start on time. */
    val mustStartOnTime: Boolean = false,
) {
    val work: Double = RunWork.of(request.prompt)

    /** True once the response can't meet its latency target any more. */
    var isLate: Boolean = false

    val rank: Rank get() = Rank(isLate, request.priority)

    /** True while the request must wait for another one although a slot may be free. */
    var isHeld: Boolean = false

    /** Returns whether the response misses its latency target if the run starts at [now]. */
    fun isLateAt(now: MonotonicTime): Boolean = now > request.latestStart
}
