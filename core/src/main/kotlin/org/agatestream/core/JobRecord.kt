package org.agatestream.core

import kotlinx.serialization.Serializable
import kotlinx.serialization.json.Json
import java.time.Instant

/** The specification of a batch job; immutable once the job is accepted. */
@Serializable
public data class JobSpec(
    val id: JobId,
    val workspace: WorkspaceId,
    /** A digest of the submission, used to distinguish a resent job from another one. */
    val digest: String,
    /** The path that an online caller would use, such as `/v1/completions` or `/services/spokes/length`. */
    val target: String,
    /** Milliseconds since 1970-01-01T00:00Z. */
    val deadlineMillis: Long,
    /** The name of the upload whose objects contain the items. */
    val upload: String,
    val items: Int,
    val chunks: Int,
) {
    /** The caller's deadline for the job; a late job still runs to completion. */
    val deadline: Instant
        get() = Instant.ofEpochMilli(deadlineMillis)
}

/** The state of a job; the names are the states of the chart `job`. */
@Serializable
public enum class JobState {
    OPEN,
    DONE,
    CANCELLED,
}

/** An event of a job; the names are the events of the chart `job`. */
public enum class JobEvent {
    CHUNK_COMPLETED,
    LAST_CHUNK_COMPLETED,
    CANCEL,
}

/** The stored record of a batch job. Chunks are counted once they are complete. */
@Serializable
public data class JobRecord(
    val spec: JobSpec,
    val state: JobState,
    val completedChunks: Int = 0,
    val done: Int = 0,
    val failed: Int = 0,
) {
    /** Returns the record after [chunk] completed, or null if the job has already ended. */
    public fun afterCompleted(chunk: ChunkRecord): JobRecord? {
        val completed = completedChunks + 1
        val event = if (completed == spec.chunks) JobEvent.LAST_CHUNK_COMPLETED else JobEvent.CHUNK_COMPLETED
        val step = jobChart.next(state, event) as? Step.Moved ?: return null
        return copy(
            state = step.state,
            completedChunks = completed,
            done = done + chunk.done,
            failed = failed + chunk.failed,
        )
    }

    /** Returns the record after a cancel, or null if the job has already ended. */
    public fun afterCancel(): JobRecord? {
        val step = jobChart.next(state, JobEvent.CANCEL) as? Step.Moved ?: return null
        return copy(state = step.state)
    }

    /** Converts this record to the value of its row. */
    public fun toRowValue(): String = Json.encodeToString(serializer(), this)

    public companion object {
        /** Parses the value of a job's row. */
        public fun parse(value: String): JobRecord = Json.decodeFromString(serializer(), value)
    }
}

private val jobChart: TypedChart<JobState, JobEvent> = TypedChart.load("job")

/** Converts this spec to the value of its row among the open jobs. */
public fun JobSpec.toRowValue(): String = Json.encodeToString(JobSpec.serializer(), this)

/** Parses the value of a row among the open jobs. */
public fun parseJobSpec(value: String): JobSpec = Json.decodeFromString(JobSpec.serializer(), value)
