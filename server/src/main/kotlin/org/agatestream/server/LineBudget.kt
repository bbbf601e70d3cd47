package org.agatestream.server

import org.agatestream.core.MonotonicTime
import kotlin.time.Duration
import kotlin.time.Duration.Companion.seconds

/** Bounds how many lines are logged in a second; what goes beyond is counted and reported by the next line. */
internal class LineBudget(
    private val linesPerSecond: Int,
) {
    private var windowFrom = MonotonicTime.ZERO
    private var lines = 0
    private var dropped = 0L

    /** Returns how many lines were dropped before this one, or null if this one is dropped too. */
    @Synchronized
    fun take(now: MonotonicTime): Long? {
        if (now - windowFrom >= WINDOW) {
            windowFrom = now
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
