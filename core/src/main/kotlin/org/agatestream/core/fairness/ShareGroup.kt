package org.agatestream.core.fairness

import org.agatestream.core.MonotonicTime
import org.agatestream.core.WorkspaceId

/** The requests of one workspace at one service, or of all requests without a workspace. */
internal class ShareGroup(
    val workspace: WorkspaceId?,
    val weight: Double,
    /** Breaks ties between groups with equal passes. */
    val number: Long,
    /** The work asked for. */
    val demand: DecayedRate,
) {
    /** The work granted, divided by the weight, on the scale of the queue's virtual time. */
    var pass: Double = 0.0

    /** The work of the requests that wait and may start as soon as a slot is free. */
    val waitingWork: RankedWork = RankedWork()

    /** The number of runs. */
    var running: Int = 0
    var lastAskedAt: MonotonicTime = MonotonicTime.ZERO

    /** True while the group may start nothing as it uses the slots of its share. */
    var isCapped: Boolean = false

    /** The lanes that contain requests. */
    val lanes: MutableList<Lane> = ArrayList(2)
}
