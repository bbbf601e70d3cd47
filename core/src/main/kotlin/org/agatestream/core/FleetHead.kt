package org.agatestream.core

import kotlinx.serialization.Serializable

/**
 * A position in the history of fleet changes: the revision of the configuration and the epoch of the plan.
 *
 * The table holds both in one row, so that all changes are totally ordered.
 */
@Serializable
public data class FleetHead(
    val revision: Revision,
    val epoch: PlanEpoch,
) {
    /** Returns whether a VM at this head has applied every change contained in [other]. */
    public fun covers(other: FleetHead): Boolean = revision >= other.revision && epoch >= other.epoch

    override fun toString(): String = "$revision/$epoch"

    public companion object {
        /** The head before any change. */
        public val NONE: FleetHead = FleetHead(Revision.NONE, PlanEpoch(0))
    }
}
