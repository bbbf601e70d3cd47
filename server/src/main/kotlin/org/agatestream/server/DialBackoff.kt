package org.agatestream.server

import org.agatestream.core.MonotonicTime
import kotlin.random.Random
import kotlin.time.Duration

/** Spaces attempts to connect to one address: the delay doubles with each failure and is drawn at random. */
internal class DialBackoff(
    private val min: Duration,
    private val max: Duration,
) {
    private var delay = min
    private var nextAt: MonotonicTime? = null

    /** Returns whether an attempt may be made at [now]. */
    @Synchronized
    fun mayDial(now: MonotonicTime): Boolean = nextAt.let { it == null || now >= it }

    /** Notes the end of an attempt at [now]. */
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
