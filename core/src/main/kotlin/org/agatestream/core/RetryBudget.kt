package org.agatestream.core

import kotlin.math.min
import kotlin.time.Duration

/** Bounds on the retries of a VM. */
public data class RetryLimits(
    /** Retries for each request, on average. */
    val share: Double = 0.09,
    /** Retries that may be saved up. */
    val most: Double = 10.0,
    /** A retry needs at least this time before the deadline. */
    val leastTime: Duration,
)

/** Whether to send a failed request again. */
public sealed interface RetryDecision {
    /** Send it again. */
    public data object Retry : RetryDecision

    /** Give up, with the reason as an error kind. */
    public data class GiveUp(
        val kind: ErrorKind,
    ) : RetryDecision
}

/** Retries that recent requests have earned; retries add at most a share of the requests as load. */
public data class RetryBudget(
    val earned: Double = 0.0,
) {
    /** Counts a request that was sent for the first time. */
    public fun earn(limits: RetryLimits): RetryBudget = RetryBudget(min(earned + limits.share, limits.most))

    /** Decides whether a request that failed with [run] is sent again before [deadline]. */
    public fun retry(
        run: RunState,
        limits: RetryLimits,
        deadline: MonotonicTime,
        now: MonotonicTime,
    ): Pair<RetryBudget, RetryDecision> =
        when {
            run != RunState.NOT_RUN -> this to RetryDecision.GiveUp(ErrorKind.BACKEND_FAILED)
            deadline - now < limits.leastTime -> this to RetryDecision.GiveUp(ErrorKind.NO_CAPACITY)
            earned < 1 -> this to RetryDecision.GiveUp(ErrorKind.NO_CAPACITY)
            else -> RetryBudget(earned - 1) to RetryDecision.Retry
        }
}
