package org.agatestream.core

import kotlin.random.Random
import kotlin.time.Duration
import kotlin.time.Duration.Companion.milliseconds
import kotlin.time.Duration.Companion.seconds

/** Spreads repeats of a failed call over a growing span, so that many callers do not repeat at once. */
public data class Backoff(
    val first: Duration = 100.milliseconds,
    val longest: Duration = 10.seconds,
) {
    /** Returns how long to wait before the repeat after [failures] failures, counted from 1. */
    public fun delay(
        failures: Int,
        random: Random,
    ): Duration = delay(failures, random.nextDouble())

    /** Returns how long to wait before the repeat after [failures] failures; [jitter] is from 0 to 1. */
    public fun delay(
        failures: Int,
        jitter: Double,
    ): Duration {
        val doublings = (failures - 1).coerceIn(0, MAX_DOUBLINGS)
        val span = minOf(first * (1 shl doublings), longest)
        return span / 2 + span * jitter / 2
    }

    private companion object {
        const val MAX_DOUBLINGS = 16
    }
}
