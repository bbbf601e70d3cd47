package org.agatestream.cli

import kotlin.math.ln
import kotlin.random.Random
import kotlin.time.Duration
import kotlin.time.Duration.Companion.seconds

/** Returns the arrival times of a Poisson process at this stream's rate, bursts included, from 0 until [length]. */
internal fun LoadStream.arrivals(
    length: Duration,
    random: Random,
): Sequence<Duration> =
    sequence {
        val peak = ratePerSecond * maxOf(1.0, burstFactor)
        var at = 0.0
        while (true) {
            at += -ln(1.0 - random.nextDouble()) / peak
            if (at >= length.inWholeMilliseconds / MILLIS_PER_SECOND) return@sequence
            // Thinning keeps the process exact where the rate changes.
            if (random.nextDouble() * peak < rateAt(at)) yield(at.seconds)
        }
    }

private fun LoadStream.rateAt(at: Double): Double {
    val inBurst = burstEverySeconds > 0 && at % burstEverySeconds < burstSeconds
    return if (inBurst) ratePerSecond * burstFactor else ratePerSecond
}

private const val MILLIS_PER_SECOND = 1000.0
