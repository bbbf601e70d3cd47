package org.agatestream.core

import kotlin.random.Random
import kotlin.time.Duration
import kotlin.time.Duration.Companion.milliseconds
import kotlin.time.Duration.Companion.seconds

/** Exponential backoff with jitter, so that many callers do not retry at the same time. */
public data class Backoff(
    val first: Duration = 100.milliseconds,
    val max: Duration = 10.seconds,
) {
    /** Returns the delay before the retry that follows [failures] failures, counted from 1. */
    public fun delay(
        failures: Int,
        random: Random,
    ): Duration = delay(failures, random.nextDouble())

    /** Returns the delay before the retry that follows [failures] failures; [jitter] is from 0 to 1. */
    public fun delay(
        failures: Int,
        jitter: Double,
    ): Duration {
        val doublings = (failures - 1).coerceIn(0, MAX_DOUBLINGS)
        val interval = minOf(first * (1 shl doublings), max)
        return interval / 2 + interval * jitter / 2
    }

    private companion object {
        const val MAX_DOUBLINGS = 16
    }
}
