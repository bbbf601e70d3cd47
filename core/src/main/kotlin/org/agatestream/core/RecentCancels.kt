package org.agatestream.core

import kotlinx.serialization.Serializable
import kotlinx.serialization.json.Json

/** The jobs that were cancelled last, in one row that every working VM reads often. */
@Serializable
public data class RecentCancels(
    /** The last of the cancelled jobs, oldest first. */
    val jobs: List<JobId> = emptyList(),
    /** The number of all jobs that were ever cancelled. */
    val total: Long = 0,
) {
    /** Returns the record after [job] was cancelled. */
    public operator fun plus(job: JobId): RecentCancels = RecentCancels((jobs + job).takeLast(MAX_JOBS), total + 1)

    /** Returns whether all jobs that were cancelled after the first [seen] are still listed. */
    public fun coversSince(seen: Long): Boolean = total - seen <= jobs.size

    /** Converts this record to the value of its row. */
    public fun toRowValue(): String = Json.encodeToString(serializer(), this)

    public companion object {
        private const val MAX_JOBS = 50

        /** Parses the value of the row. */
        public fun parse(value: String): RecentCancels = Json.decodeFromString(serializer(), value)
    }
}
