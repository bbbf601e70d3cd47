package org.agatestream.cli

import org.HdrHistogram.ConcurrentHistogram
import org.HdrHistogram.Histogram
import java.util.concurrent.ConcurrentHashMap
import java.util.concurrent.atomic.LongAdder
import kotlin.time.Duration

/** What the requests of one stream met; times count from the planned arrival, so late starts are not hidden. */
internal class LoadStats(
    val name: String,
) {
    val firstToken: Histogram = newHistogram()
    val betweenTokens: Histogram = newHistogram()
    val whole: Histogram = newHistogram()
    private val outcomes = ConcurrentHashMap<String, LongAdder>()

    fun count(outcome: String) {
        outcomes.computeIfAbsent(outcome) { LongAdder() }.increment()
    }

    fun outcomes(): Map<String, Long> = outcomes.mapValues { it.value.sum() }.toSortedMap()

    private fun newHistogram(): Histogram = ConcurrentHistogram(LOWEST_MICROS, HIGHEST_MICROS, DIGITS)

    private companion object {
        const val LOWEST_MICROS = 1L
        const val HIGHEST_MICROS = 600_000_000L
        const val DIGITS = 3
    }
}

/** Records [span] in microseconds. */
internal fun Histogram.record(span: Duration) {
    recordValue(span.inWholeMicroseconds.coerceIn(1, highestTrackableValue))
}

/** Returns the value at [percentile] in milliseconds. */
internal fun Histogram.millisAt(percentile: Double): Double = getValueAtPercentile(percentile) / 1000.0
