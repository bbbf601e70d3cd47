package org.agatestream.core

import kotlin.time.DurationUnit

/** A token bucket that limits the request rate of a workspace. */
public data class RateBucket(
    private val tokens: Double,
    private val refilledAt: MonotonicTime,
) {
    /** Returns the bucket refilled up to [now] at [ratePerSecond], with at most [burst] tokens. */
    public fun refill(
        ratePerSecond: Double,
        burst: Double,
        now: MonotonicTime,
    ): RateBucket {
        val seconds = (now - refilledAt).toDouble(DurationUnit.SECONDS).coerceAtLeast(0.0)
        // A burst below one would never admit a request.
        return RateBucket(minOf(tokens + seconds * ratePerSecond, maxOf(burst, 1.0)), now)
    }

    /** True if a request may start. */
    val hasToken: Boolean get() = tokens >= 1.0

    /** Takes the token of one request. */
    public fun take(): RateBucket = copy(tokens = tokens - 1.0)

    /** Refunds the token of a request that did not run. */
    public fun refund(): RateBucket = copy(tokens = tokens + 1.0)

    /** Returns the seconds until the next token. */
    public fun secondsToToken(ratePerSecond: Double): Double =
        if (ratePerSecond <= 0.0) MAX_WAIT_SECONDS else ((1.0 - tokens) / ratePerSecond).coerceIn(0.0, MAX_WAIT_SECONDS)

    public companion object {
        private const val MAX_WAIT_SECONDS = 5.0

        // A new bucket may follow one that was full. Half a burst more stays within the tolerance of the rate limit:
        // a tenth of a 5 s window plus 20 requests.
        private const val INITIAL_FILL_FRACTION = 0.5

        /** Creates the bucket of a workspace whose earlier usage is not known, with [spare] tokens beyond its burst. */
        public fun start(
            burst: Double,
            spare: Double,
            now: MonotonicTime,
        ): RateBucket = RateBucket(burst * INITIAL_FILL_FRACTION + spare, now)
    }
}
