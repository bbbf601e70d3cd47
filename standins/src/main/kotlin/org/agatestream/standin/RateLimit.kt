package org.agatestream.standin

import org.agatestream.core.MonotonicTime
import kotlin.time.DurationUnit

/** Takes at most [perSecond] calls a second, with a burst of one second's calls. */
internal class RateLimit(
    private val perSecond: Int,
    start: MonotonicTime,
) {
    private var level = perSecond.toDouble()
    private var updated = start

    /** Returns whether one more call at [now] is within the rate. */
    @Synchronized
    fun tryTake(now: MonotonicTime): Boolean {
        val gained = (now - updated).toDouble(DurationUnit.SECONDS) * perSecond
        level = minOf(perSecond.toDouble(), level + gained)
        updated = now
        if (level < 1) return false
        level -= 1
        return true
    }
}
