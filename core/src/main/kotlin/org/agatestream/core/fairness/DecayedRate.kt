package org.agatestream.core.fairness

import org.agatestream.core.MonotonicTime
import kotlin.math.exp
import kotlin.time.Duration
import kotlin.time.Duration.Companion.milliseconds
import kotlin.time.Duration.Companion.seconds
import kotlin.time.DurationUnit

/** A rate per second over the recent past, with exponentially decreasing weights of older amounts. */
internal class DecayedRate(
    /** The start of the observation. */
    private val startedAt: MonotonicTime,
    /** The age at which an amount counts for 1/e. */
    private val timeConstant: Duration = TIME_CONSTANT,
) {
    private var sum = 0.0
    private var updatedAt = startedAt

    /** Adds [amount] at [now]. */
    fun add(
        amount: Double,
        now: MonotonicTime,
    ) {
        sum = sum(now) + amount
        updatedAt = maxOf(updatedAt, now)
    }

    /** Returns the sum of the amounts at [now], each multiplied by its weight. */
    fun sum(now: MonotonicTime): Double = sum * decay(now - updatedAt)

    /** Returns the rate per second at [now]. */
    fun perSecond(now: MonotonicTime): Double {
        val observed =
            (1.0 - decay(maxOf(now - startedAt, MIN_OBSERVATION))) * timeConstant.toDouble(DurationUnit.SECONDS)
        return sum(now) / observed
    }

    private fun decay(age: Duration): Double = exp(-(age / timeConstant).coerceAtLeast(0.0))

    private companion object {
        // Half of a wave of the load profiles (2.2 s), so that a rate follows the wave.
        val TIME_CONSTANT = 1.seconds

        // A few requests right after the start say little about the rate.
        val MIN_OBSERVATION = 100.milliseconds
    }
}
