package org.agatestream.server

import org.agatestream.core.MonotonicTime
import kotlin.time.Duration
import kotlin.time.Duration.Companion.seconds

/** Limits the lines logged per second, and counts the dropped ones until the next line reports them. */
internal class LogRateLimiter(
    private val linesPerSecond: Int,
) {
    private var windowStart = MonotonicTime.ZERO
    private var lines = 0
    private var dropped = 0L

    /** Returns the number of lines dropped since the last admitted one, or null if this line is dropped too. */
    @Synchronized
    fun admit(now: MonotonicTime): Long? {
        if (now - windowStart >= WINDOW) {
            windowStart = now
            lines = 0
        }
        if (lines >= linesPerSecond) {
            dropped++
            return null
        }
        lines++
        return dropped.also { dropped = 0 }
    }

    private companion object {
        val WINDOW: Duration = 1.seconds
    }
}
