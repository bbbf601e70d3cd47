package org.agatestream.core

import kotlin.time.DurationUnit

/** A token bucket: how many requests of a workspace may still start, and since when it fills. */
public data class RateBucket(
    private val tokens: Double,
    private val filledAt: MonotonicTime,
) {
    /** Fills the bucket up to [now] at [ratePerSecond], to at most [burst] tokens. */
    public fun fill(
        ratePerSecond: Double,
        burst: Double,
        now: MonotonicTime,
    ): RateBucket {
        val seconds = (now - filledAt).toDouble(DurationUnit.SECONDS).coerceAtLeast(0.0)
        // A burst below one would never let a request through.
        return RateBucket(minOf(tokens + seconds * ratePerSecond, maxOf(burst, 1.0)), now)
    }

    /** True if a request may start. */
    val hasToken: Boolean get() = tokens >= 1.0

    /** Takes the token of one request. */
    public fun take(): RateBucket = copy(tokens = tokens - 1.0)

    /** Gives back the token of a request that did not run. */
    public fun giveBack(): RateBucket = copy(tokens = tokens + 1.0)

    /** Returns the seconds until the next token. */
    public fun secondsToToken(ratePerSecond: Double): Double =
        if (ratePerSecond <= 0.0) MAX_WAIT_SECONDS else ((1.0 - tokens) / ratePerSecond).coerceIn(0.0, MAX_WAIT_SECONDS)

    public companion object {
        private const val MAX_WAIT_SECONDS = 5.0

        // A bucket that is counted anew may follow one that was full, and half a burst more stays within the slack
        // of a tenth of a 5 s window and 20 requests.
        private const val START_SHARE = 0.5

        /** A bucket of a workspace whose earlier use is not known, with [spare] tokens beyond its burst. */
        public fun start(
            burst: Double,
            spare: Double,
            now: MonotonicTime,
        ): RateBucket = RateBucket(burst * START_SHARE + spare, now)
    }
}
