package org.agatestream.core

import kotlin.math.min
import kotlin.time.Duration

/** Limits on the retries of a VM. */
public data class RetryLimits(
    /** The retries that each request earns. */
    val retriesPerRequest: Double = 0.09,
    /** The maximum number of accumulated retries. */
    val maxAccumulated: Double = 10.0,
    /** The minimum time before the deadline for a retry. */
    val minRemainingTime: Duration,
)

/** The decision whether to retry a failed request. */
public sealed interface RetryDecision {
    /** Retry the request. */
    public data object Retry : RetryDecision

    /** Do not retry; respond with an error of [kind]. */
    public data class GiveUp(
        val kind: ErrorKind,
    ) : RetryDecision
}

/** A retry budget earned by recent requests, which bounds the extra load of retries to a fraction of the requests. */
public data class RetryBudget(
    val tokens: Double = 0.0,
) {
    /** Records the first attempt of a request. */
    public fun onRequest(limits: RetryLimits): RetryBudget =
        RetryBudget(min(tokens + limits.retriesPerRequest, limits.maxAccumulated))

    /** Decides whether to retry a request that failed with [run] and has the given [deadline]. */
    public fun retry(
        run: RunState,
        limits: RetryLimits,
        deadline: MonotonicTime,
        now: MonotonicTime,
    ): Pair<RetryBudget, RetryDecision> =
        when {
            run != RunState.NOT_RUN -> this to RetryDecision.GiveUp(ErrorKind.BACKEND_FAILED)
            deadline - now < limits.minRemainingTime -> this to RetryDecision.GiveUp(ErrorKind.NO_CAPACITY)
            tokens < 1 -> this to RetryDecision.GiveUp(ErrorKind.NO_CAPACITY)
            else -> RetryBudget(tokens - 1) to RetryDecision.Retry
        }
}
