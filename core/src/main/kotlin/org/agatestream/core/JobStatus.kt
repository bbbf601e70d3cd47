package org.agatestream.core

import kotlinx.serialization.Serializable
import java.time.Instant

/** What a caller sees of a job. */
@Serializable
public data class JobStatus(
    val id: JobId,
    /** `open`, `done` or `cancelled`. */
    val state: String,
    val counts: JobCounts,
    /** An RFC 3339 time. */
    val deadline: String,
    /** True if the job is open past its deadline; it still runs to its end. */
    val late: Boolean,
)

/** How many items of a job are in which state. */
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
    /** The id to continue after, or null at the end. */
    val next: JobId? = null,
)

/**
 * Converts this record to what the caller sees at [now].
 *
 * [chunks] are the job's chunks, read after this record; without them the counts are those of complete chunks.
 */
public fun JobRecord.toStatus(
    chunks: List<ChunkRecord>,
    now: Instant,
): JobStatus {
    val allDone = maxOf(done, chunks.sumOf { it.done })
    val allFailed = maxOf(failed, chunks.sumOf { it.failed })
    val rest = spec.items - allDone - allFailed
    val cancelled = if (state == JobState.CANCELLED) rest else 0
    return JobStatus(
        id = spec.id,
        state = state.name.lowercase(),
        counts = JobCounts(spec.items, allDone, allFailed, cancelled, rest - cancelled),
        deadline = spec.deadline.toString(),
        late = state == JobState.OPEN && now > spec.deadline,
    )
}
