package org.agatestream.core

import kotlinx.serialization.Serializable
import kotlin.jvm.JvmInline
import kotlin.time.Duration
import kotlin.time.Duration.Companion.nanoseconds

/**
 * A reading of one VM's monotonic clock.
 *
 * Readings of different VMs, or of one VM before and after a restart, can't be compared.
 */
@Serializable
@JvmInline
public value class MonotonicTime(
    private val nanos: Long,
) : Comparable<MonotonicTime> {
    /** Returns the reading [span] later, or the last one that can be represented. */
    public operator fun plus(span: Duration): MonotonicTime =
        MonotonicTime(saturatedSum(nanos, span.inWholeNanoseconds))

    /** Returns the reading [span] earlier, or the first one that can be represented. */
    public operator fun minus(span: Duration): MonotonicTime = plus(-span)

    public operator fun minus(other: MonotonicTime): Duration = (nanos - other.nanos).nanoseconds

    override fun compareTo(other: MonotonicTime): Int = nanos.compareTo(other.nanos)

    override fun toString(): String = "${nanos}ns"

    public companion object {
        /** The origin of the clock, used as the start time in tests. */
        public val ZERO: MonotonicTime = MonotonicTime(0)

        /** Reads this process's monotonic clock; decision code takes the time as a parameter instead. */
        public fun now(): MonotonicTime = MonotonicTime(System.nanoTime())
    }
}

/** Returns the sum of [a] and [b], or the limit of the range that it exceeds. */
private fun saturatedSum(
    a: Long,
    b: Long,
): Long {
    val sum = a + b
    val hasOverflowed = (a >= 0) == (b >= 0) && (sum >= 0) != (a >= 0)
    return if (!hasOverflowed) {
        sum
    } else if (a >= 0) {
        Long.MAX_VALUE
    } else {
        Long.MIN_VALUE
    }
}
