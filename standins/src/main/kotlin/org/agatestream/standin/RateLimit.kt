package org.agatestream.standin

import org.agatestream.core.MonotonicTime
import kotlin.time.DurationUnit

/** Token bucket that allows [perSecond] calls per second, with a burst of the same number. */
internal class RateLimit(
    private val perSecond: Int,
    start: MonotonicTime,
) {
    private var tokens = perSecond.toDouble()
    private var updatedAt = start

    /** Takes a token at [now]; returns false if none is available. */
    @Synchronized
    fun tryTake(now: MonotonicTime): Boolean {
        val refill = (now - updatedAt).toDouble(DurationUnit.SECONDS) * perSecond
        tokens = minOf(perSecond.toDouble(), tokens + refill)
        updatedAt = now
        if (tokens < 1) return false
        tokens -= 1
        return true
    }
}
