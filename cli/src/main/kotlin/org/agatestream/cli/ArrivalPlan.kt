package org.agatestream.cli

import kotlin.math.ln
import kotlin.random.Random
import kotlin.time.Duration
import kotlin.time.Duration.Companion.seconds

/** Returns the arrival times within [length] of a Poisson process with this stream's rate and bursts. */
internal fun LoadStream.arrivals(
    length: Duration,
    random: Random,
): Sequence<Duration> =
    sequence {
        val peak = ratePerSecond * maxOf(1.0, burstFactor)
        var time = 0.0
        while (true) {
            time += -ln(1.0 - random.nextDouble()) / peak
            if (time >= length.inWholeMilliseconds / MILLIS_PER_SECOND) return@sequence
            // Thinning: arrivals at the peak rate are accepted with probability rate / peak.
            if (random.nextDouble() * peak < rateAt(time)) yield(time.seconds)
        }
    }

private fun LoadStream.rateAt(time: Double): Double {
    val inBurst = burstEverySeconds > 0 && time % burstEverySeconds < burstSeconds
    return if (inBurst) ratePerSecond * burstFactor else ratePerSecond
}

private const val MILLIS_PER_SECOND = 1000.0
