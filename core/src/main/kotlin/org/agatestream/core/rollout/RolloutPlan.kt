package org.agatestream.core.rollout

import org.agatestream.core.MonotonicTime
import kotlin.time.Duration
import kotlin.time.Duration.Companion.milliseconds
import kotlin.time.Duration.Companion.seconds

/** When the steps of a roll-out are due. */
internal data class RolloutPlan(
    /** When the share is concentrated on few servers at the latest, and not before half of that span. */
    val loadBy: MonotonicTime,
    /** When the verdict is due: as late as the move and the emptying allow, to catch defects that appear later. */
    val moveAt: MonotonicTime,
    /** When old servers get no more requests, even if the new ones have too few slots. */
    val closeAt: MonotonicTime,
    /** When items that still run at old servers are stopped, to resume elsewhere. */
    val stopItemsAt: MonotonicTime,
    /** When the outcome is written although VMs that do not report may still run something. */
    val writeBy: MonotonicTime,
    val endAt: MonotonicTime,
) {
    companion object {
        // A run takes up to 1.2 s and a caller waits 5 s; items can be stopped and resumed elsewhere.
        private const val MOVE_RESERVE_SHARE = 0.35
        private val MIN_MOVE_RESERVE: Duration = 3.seconds
        private val MAX_MOVE_RESERVE: Duration = 10.seconds
        private const val CANARY_SHARE = 0.4
        private const val CLOSE_RESERVE_SHARE = 0.7
        private const val STOP_ITEMS_RESERVE_SHARE = 0.5

        // Twice the time that a slow store takes for a write.
        private val WRITE_RESERVE: Duration = 800.milliseconds

        /**
         * Returns the plan of a roll-out of [duration] that started at [startedAt], if a run takes up to [longestRun].
         *
         * Under a coordinator that took over at [takenOverAt], the verdict waits for some evidence of its own.
         */
        fun of(
            startedAt: MonotonicTime,
            duration: Duration,
            longestRun: Duration = Duration.ZERO,
            takenOverAt: MonotonicTime? = null,
        ): RolloutPlan {
            val endAt = startedAt + duration
            // An order shorter than twice the reserve gets half of its duration for the verdict.
            val wanted = (duration * MOVE_RESERVE_SHARE).coerceIn(MIN_MOVE_RESERVE, MAX_MOVE_RESERVE)
            val reserve = minOf(maxOf(wanted, longestRun + CLOSING_TIME), duration / 2)
            val earliest = takenOverAt?.let { minOf(it + TAKEOVER_EVIDENCE, endAt - minOf(reserve, TAKEOVER_RESERVE)) }
            val moveAt = maxOf(endAt - reserve, earliest ?: startedAt)
            val left = endAt - moveAt
            return RolloutPlan(
                loadBy = startedAt + (duration - reserve) * CANARY_SHARE,
                moveAt = moveAt,
                closeAt = endAt - left * CLOSE_RESERVE_SHARE,
                stopItemsAt = endAt - left * STOP_ITEMS_RESERVE_SHARE,
                writeBy = endAt - minOf(WRITE_RESERVE, left / 4),
                endAt = endAt,
            )
        }

        // The write before the move, the move itself and the write of the outcome.
        private val CLOSING_TIME: Duration = 1500.milliseconds
        private val TAKEOVER_EVIDENCE: Duration = 1500.milliseconds
        private val TAKEOVER_RESERVE: Duration = 2200.milliseconds
    }
}
