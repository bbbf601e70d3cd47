package org.agatestream.core

/** A reading of both clocks of one VM. */
public data class ClockReading(
    /** Does not count the time for which the VM is suspended. */
    val monotonic: MonotonicTime,
    /** The time of day in Unix milliseconds; counts the time for which the VM is suspended, and may be set. */
    val unixMillis: Long,
) {
    public companion object {
        /** Reads this process's clocks; decision code takes the reading as a parameter instead. */
        public fun now(): ClockReading = ClockReading(MonotonicTime.now(), System.currentTimeMillis())
    }
}
