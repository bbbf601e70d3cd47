package org.agatestream.core

import kotlin.time.Duration
import kotlin.time.Duration.Companion.minutes

/**
 * The jobs that their callers ended, for as long as runs of their items may still be reported.
 *
 * A coordinator that takes over may hear of a job's end before it hears of runs that its predecessor ordered, and a stop
 * that it sent may be lost.
 */
internal class EndedJobs {
    private val endedAt = LinkedHashMap<JobRef, MonotonicTime>()

    /** Records that [job] ended, as is known at [now]. */
    fun add(
        job: JobRef,
        now: MonotonicTime,
    ) {
        endedAt.putIfAbsent(job, now)
    }

    /** Returns whether [job] is known to have ended. */
    operator fun contains(job: JobRef?): Boolean = job in endedAt

    /** Drops the jobs whose runs have come to an end by [now]. */
    fun forget(now: MonotonicTime) {
        val times = endedAt.values.iterator()
        while (times.hasNext() && now - times.next() > RETENTION) times.remove()
    }

    private companion object {
        // A run takes a minute at most.
        val RETENTION: Duration = 2.minutes
    }
}
