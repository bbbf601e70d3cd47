package org.agatestream.core

import kotlin.time.Duration
import kotlin.time.Duration.Companion.seconds

/** When a job's results are due and when its unfinished items expire, on the clock of the VM that schedules them. */
public data class JobLifetime(
    /** The deadline of the results. */
    val deadline: MonotonicTime,
    /** When unfinished items expire; null if that can't be told, so that they are kept. */
    val expiresAt: MonotonicTime?,
) {
    /** Returns whether unfinished items may be given up at [now]. */
    public fun isExpired(now: MonotonicTime): Boolean = expiresAt != null && now >= expiresAt

    public companion object {
        // Applies if the job's route has been removed since its submission.
        private val DEFAULT_COMPLETION_TARGET = 60.seconds

        // The clock of this VM may run faster than the store's by this fraction.
        private const val MAX_CLOCK_DRIFT = 0.01

        // Both readings are whole milliseconds, and the store may read its clock before it waits for changes.
        private val READING_MARGIN = 1.seconds

        /**
         * Returns the lifetime of a job that the store read at [readAt] and this VM received at [now].
         *
         * The job's age is the difference of two readings of the store's clock, [acceptedAt] and [readAt]. A job of
         * unknown age counts as new and does not expire, nor does one whose [rules] are not known.
         */
        public fun of(
            acceptedAt: StoreTime?,
            readAt: StoreTime?,
            rules: JobRules?,
            now: MonotonicTime,
        ): JobLifetime {
            val age = if (acceptedAt != null && readAt != null) readAt - acceptedAt else null
            val start = now - (age ?: Duration.ZERO).coerceAtLeast(Duration.ZERO)
            val expiresAt =
                if (age == null || rules == null) {
                    null
                } else {
                    start + rules.retention * (1 + MAX_CLOCK_DRIFT) + READING_MARGIN
                }
            return JobLifetime(start + (rules?.completionTarget ?: DEFAULT_COMPLETION_TARGET), expiresAt)
        }
    }
}
