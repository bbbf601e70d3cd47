package org.agatestream.core.rollout

import kotlinx.serialization.Serializable
import org.agatestream.core.Step
import org.agatestream.core.TypedChart

/** The stage of a roll-out; the names are the states of the chart `rollout`. */
@Serializable
public enum class RolloutStage {
    /** The order is known, and its start is not in the store yet. */
    ORDERED,

    /** A small share of the requests goes to all new servers. */
    CANARY,

    /** The share goes to few new servers, which therefore run at full load. */
    LOADED,

    /** New servers get every request that they have a slot for; old servers get the rest. */
    MOVING,

    /** Old servers get nothing and finish what they run. */
    EMPTYING,

    /** Nothing runs at old servers; the outcome is to be written. */
    EMPTIED,
    COMPLETED,

    /** New servers get nothing; the outcome is to be written. */
    REJECTED,
    ROLLED_BACK,
    ;

    /** The state that the status row shows at this stage. */
    public val outcome: RolloutOutcome
        get() =
            when (this) {
                COMPLETED -> RolloutOutcome.COMPLETED
                ROLLED_BACK -> RolloutOutcome.ROLLED_BACK
                else -> RolloutOutcome.RUNNING
            }
}

/** An event of a roll-out; the names are the events of the chart `rollout`. */
public enum class RolloutEvent {
    /** The store has the record that the stage waits for. */
    RECORDED,
    CANARY_PASSED,
    PROVEN,

    /** Old servers are closed to new work. */
    CLOSED,
    EMPTIED,

    /** A run was reported at an old server. */
    REFILLED,
    FOUND_BAD,
}

private val rolloutChart: TypedChart<RolloutStage, RolloutEvent> = TypedChart.load("rollout")

/** Returns the stage after [event]; an event that this stage does not take leaves it unchanged. */
internal fun RolloutStage.after(event: RolloutEvent): RolloutStage =
    when (val step = rolloutChart.next(this, event)) {
        is Step.Moved -> step.state
        Step.Ignored, Step.Refused -> this
    }

/** Returns whether the roll-out is over. */
internal val RolloutStage.isFinal: Boolean get() = rolloutChart.isFinal(this)
