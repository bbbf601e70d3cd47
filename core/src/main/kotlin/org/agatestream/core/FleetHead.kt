package org.agatestream.core

import kotlinx.serialization.Serializable

/**
 * How far a VM or the table has come: the revision of the configuration and the epoch of the plan.
 *
 * The table holds both in one row, so that the changes of either are totally ordered.
 */
@Serializable
public data class FleetHead(
    val revision: Revision,
    val epoch: PlanEpoch,
) {
    /** Returns whether a VM at this head has applied everything that [other] has. */
    public fun covers(other: FleetHead): Boolean = revision >= other.revision && epoch >= other.epoch

    override fun toString(): String = "$revision/$epoch"

    public companion object {
        /** The head before any change. */
        public val NONE: FleetHead = FleetHead(Revision.NONE, PlanEpoch(0))
    }
}
