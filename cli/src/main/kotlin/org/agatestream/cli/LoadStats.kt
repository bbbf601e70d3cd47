package org.agatestream.cli

import org.HdrHistogram.ConcurrentHistogram
import org.HdrHistogram.Histogram
import java.util.concurrent.ConcurrentHashMap
import java.util.concurrent.atomic.LongAdder
import kotlin.time.Duration

/** Outcomes and latencies of one stream; latencies count from the scheduled arrival, so late starts are included. */
internal class LoadStats(
    val name: String,
) {
    val firstToken: Histogram = newHistogram()
    val betweenTokens: Histogram = newHistogram()
    val total: Histogram = newHistogram()
    private val outcomes = ConcurrentHashMap<String, LongAdder>()

    fun count(outcome: String) {
        outcomes.computeIfAbsent(outcome) { LongAdder() }.increment()
    }

    fun outcomes(): Map<String, Long> = outcomes.mapValues { it.value.sum() }.toSortedMap()

    private fun newHistogram(): Histogram = ConcurrentHistogram(LOWEST_MICROS, HIGHEST_MICROS, SIGNIFICANT_DIGITS)

    private companion object {
        const val LOWEST_MICROS = 1L
        const val HIGHEST_MICROS = 600_000_000L
        const val SIGNIFICANT_DIGITS = 3
    }
}

/** Records [latency] in microseconds, limited to the range of the histogram. */
internal fun Histogram.record(latency: Duration) {
    recordValue(latency.inWholeMicroseconds.coerceIn(1, highestTrackableValue))
}

/** Returns the value at [percentile] in milliseconds. */
internal fun Histogram.millisAt(percentile: Double): Double = getValueAtPercentile(percentile) / 1000.0
