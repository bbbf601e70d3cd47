package org.agatestream.core.placement

import org.agatestream.core.MonotonicTime
import kotlin.time.Duration.Companion.seconds

/**
 * Tracks how much longer work takes in a failure domain than it lately took there.
 *
 * A domain that slows down as a whole shows first at the servers with recent figures; the others are judged by them.
 */
internal class DomainSpeed {
    private var recent = 1.0
    private var lasting = 1.0
    private var sampledAt: MonotonicTime? = null

    /** Records that work at a server of the domain took [factor] times the usual. */
    fun record(
        factor: Double,
        now: MonotonicTime,
    ) {
        recent += RECENT_SMOOTHING * (factor - recent)
        lasting += LASTING_SMOOTHING * (factor - lasting)
        sampledAt = now
    }

    /** Returns the duration of work relative to that of the last seconds; 1 once nothing is known of the domain. */
    fun shift(now: MonotonicTime): Double {
        val age = sampledAt?.let { now - it } ?: return 1.0
        val remaining = (1.0 - age / LIFETIME).coerceIn(0.0, 1.0)
        return 1.0 + ((recent / lasting).coerceIn(MIN_SHIFT, MAX_SHIFT) - 1.0) * remaining
    }

    private companion object {
        // About the samples that ten servers give within a quarter of a second, and within ten seconds.
        const val RECENT_SMOOTHING = 0.1
        const val LASTING_SMOOTHING = 0.003
        const val MIN_SHIFT = 0.5
        const val MAX_SHIFT = 4.0
        val LIFETIME = 2.seconds
    }
}
