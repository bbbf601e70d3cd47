package org.agatestream.core

import kotlin.time.Duration
import kotlin.time.Duration.Companion.milliseconds
import kotlin.time.Duration.Companion.seconds

/** Detects the jump in a backend server's time to first byte that follows a restart. */
public data class LatencyWatch(
    /** The smoothed time to first byte, or null before the first response. */
    val baseline: Duration? = null,
    private val consecutiveSlow: Int = 0,
    private val answeredAt: MonotonicTime? = null,
) {
    /** True if the last responses were much slower than the baseline. */
    val isLatencyJump: Boolean get() = consecutiveSlow >= SLOW_COUNT_FOR_JUMP

    /** Returns the baseline time to first byte, or null if the last response is too old. */
    public fun recent(now: MonotonicTime): Duration? = if (isStale(now)) null else baseline

    /** Records a response; after a jump or a long pause the new time becomes the baseline. */
    public fun onResponse(
        firstByteAfter: Duration,
        now: MonotonicTime,
    ): LatencyWatch {
        if (baseline == null || isLatencyJump) return LatencyWatch(firstByteAfter, answeredAt = now)
        val isSlow = firstByteAfter > baseline * SLOW_FACTOR && firstByteAfter > MIN_SLOW_LATENCY
        if (isSlow) return copy(consecutiveSlow = consecutiveSlow + 1, answeredAt = now)
        val weight = if (isStale(now)) 1.0 else SMOOTHING
        return LatencyWatch(baseline + (firstByteAfter - baseline) * weight, answeredAt = now)
    }

    private fun isStale(now: MonotonicTime): Boolean = answeredAt != null && now - answeredAt > MAX_BASELINE_AGE

    private companion object {
        const val SLOW_FACTOR = 6
        const val SLOW_COUNT_FOR_JUMP = 3
        const val SMOOTHING = 0.1
        val MIN_SLOW_LATENCY = 100.milliseconds

        // Less than the 5 s within which a returning server must get work (scenario failure-domain-out).
        val MAX_BASELINE_AGE = 4.seconds
    }
}
