package org.agatestream.core

import kotlinx.serialization.Serializable
import java.time.Instant

/** The status of a job as reported to its caller. */
@Serializable
public data class JobStatus(
    val id: JobId,
    /** `open`, `done` or `cancelled`. */
    val state: String,
    val counts: JobCounts,
    /** An RFC 3339 time. */
    val deadline: String,
    /** True if the job is open past its deadline; it still runs to completion. */
    val late: Boolean,
)

/** The number of items of a job by state. */
@Serializable
public data class JobCounts(
    val total: Int,
    val done: Int,
    val failed: Int,
    val cancelled: Int,
    val pending: Int,
)

/** A page of the jobs of a workspace. */
@Serializable
public data class JobList(
    val jobs: List<JobStatus>,
    /** The id after which the next page starts, or null on the last page. */
    val next: JobId? = null,
)

/**
 * Converts this record to the status at [now].
 *
 * [chunks] are the job's chunks, read after this record; without them only completed chunks are counted.
 */
public fun JobRecord.toStatus(
    chunks: List<ChunkRecord>,
    now: Instant,
): JobStatus {
    val totalDone = maxOf(done, chunks.sumOf { it.done })
    val totalFailed = maxOf(failed, chunks.sumOf { it.failed })
    val remaining = spec.items - totalDone - totalFailed
    val cancelled = if (state == JobState.CANCELLED) remaining else 0
    return JobStatus(
        id = spec.id,
        state = state.name.lowercase(),
        counts = JobCounts(spec.items, totalDone, totalFailed, cancelled, remaining - cancelled),
        deadline = spec.deadline.toString(),
        late = state == JobState.OPEN && now > spec.deadline,
    )
}
