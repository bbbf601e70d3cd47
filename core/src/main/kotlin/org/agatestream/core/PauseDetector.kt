package org.agatestream.core

import kotlin.time.Duration
import kotlin.time.Duration.Companion.milliseconds

/**
 * Detects that a process did not run for longer than [threshold], as its VM was frozen or suspended.
 *
 * A time of day that is set ahead counts as a pause too. Not thread-safe.
 */
public class PauseDetector(
    private val threshold: Duration,
) {
    private var last: ClockReading? = null

    /** Records that the process runs at [now]; returns for how long it did not, or null if that is within bounds. */
    public fun onRunning(now: ClockReading): Duration? {
        val before = last
        last = now
        if (before == null) return null
        val pause = maxOf(now.monotonic - before.monotonic, (now.unixMillis - before.unixMillis).milliseconds)
        return pause.takeIf { it > threshold }
    }
}
