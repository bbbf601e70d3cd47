package org.agatestream.core

import kotlin.time.Duration
import kotlin.time.Duration.Companion.milliseconds

/** Watches the times to the first byte of a backend server for the jump that follows a restart. */
public data class LatencyWatch(
    /** The usual time to the first byte, or null before the first answer. */
    val typical: Duration? = null,
    private val slowInRow: Int = 0,
) {
    /** True if the last answers were suddenly slow. */
    val isSudden: Boolean get() = slowInRow >= SUDDEN_IN_ROW

    /** Takes an answer into account; after a jump the new times become the usual ones. */
    public fun answered(firstByteAfter: Duration): LatencyWatch {
        if (typical == null || isSudden) return LatencyWatch(firstByteAfter)
        val slow = firstByteAfter > typical * SLOW_FACTOR && firstByteAfter > LEAST_SLOW
        if (slow) return copy(slowInRow = slowInRow + 1)
        return LatencyWatch(typical + (firstByteAfter - typical) * WEIGHT)
    }

    private companion object {
        const val SLOW_FACTOR = 6
        const val SUDDEN_IN_ROW = 3
        const val WEIGHT = 0.1
        val LEAST_SLOW = 100.milliseconds
    }
}
