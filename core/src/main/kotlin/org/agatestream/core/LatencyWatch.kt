package org.agatestream.core

import kotlin.time.Duration
import kotlin.time.Duration.Companion.milliseconds
import kotlin.time.Duration.Companion.seconds

/** Watches the times to the first byte of a backend server for the jump that follows a restart. */
public data class LatencyWatch(
    /** The usual time to the first byte, or null before the first answer. */
    val typical: Duration? = null,
    private val slowInRow: Int = 0,
    private val answeredAt: MonotonicTime? = null,
) {
    /** True if the last answers were suddenly slow. */
    val isSudden: Boolean get() = slowInRow >= SUDDEN_IN_ROW

    /** Returns the usual time to the first byte, or null if the last answer is too old to tell. */
    public fun recent(now: MonotonicTime): Duration? = if (isOld(now)) null else typical

    /** Takes an answer into account; after a jump or a long silence the new times become the usual ones. */
    public fun answered(
        firstByteAfter: Duration,
        now: MonotonicTime,
    ): LatencyWatch {
        if (typical == null || isSudden) return LatencyWatch(firstByteAfter, answeredAt = now)
        val slow = firstByteAfter > typical * SLOW_FACTOR && firstByteAfter > LEAST_SLOW
        if (slow) return copy(slowInRow = slowInRow + 1, answeredAt = now)
        val weight = if (isOld(now)) 1.0 else WEIGHT
        return LatencyWatch(typical + (firstByteAfter - typical) * weight, answeredAt = now)
    }

    private fun isOld(now: MonotonicTime): Boolean = answeredAt != null && now - answeredAt > VALIDITY

    private companion object {
        const val SLOW_FACTOR = 6
        const val SUDDEN_IN_ROW = 3
        const val WEIGHT = 0.1
        val LEAST_SLOW = 100.milliseconds

        // Less than the 5 s within which a server that comes back must get work (scenario failure-domain-out).
        val VALIDITY = 4.seconds
    }
}
