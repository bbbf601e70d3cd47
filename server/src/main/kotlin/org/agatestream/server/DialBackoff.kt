package org.agatestream.server

import org.agatestream.core.MonotonicTime
import kotlin.random.Random
import kotlin.time.Duration

/** Exponential backoff with random jitter for connection attempts to one address. */
internal class DialBackoff(
    private val min: Duration,
    private val max: Duration,
) {
    private var delay = min
    private var nextAt: MonotonicTime? = null

    /** Returns whether an attempt may be made at [now]. */
    @Synchronized
    fun mayDial(now: MonotonicTime): Boolean = nextAt.let { it == null || now >= it }

    /** Records the outcome of an attempt that ended at [now]. */
    @Synchronized
    fun onDialled(
        isConnected: Boolean,
        now: MonotonicTime,
        random: Random,
    ) {
        if (isConnected) {
            delay = min
            nextAt = null
            return
        }
        nextAt = now + delay * (0.5 + random.nextDouble() / 2)
        delay = (delay * 2).coerceAtMost(max)
    }
}
