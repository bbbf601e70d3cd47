package org.agatestream.core

import kotlinx.serialization.Serializable
import kotlinx.serialization.json.Json

/** The most recently cancelled jobs, kept in one row that VMs with batch work poll. */
@Serializable
public data class RecentCancels(
    /** The most recently cancelled jobs, oldest first. */
    val jobs: List<JobId> = emptyList(),
    /** The total number of jobs cancelled so far. */
    val total: Long = 0,
) {
    /** Returns the record after [job] was cancelled. */
    public operator fun plus(job: JobId): RecentCancels = RecentCancels((jobs + job).takeLast(MAX_JOBS), total + 1)

    /** Returns whether [jobs] still contains every cancel after the first [seen]. */
    public fun retainsAllSince(seen: Long): Boolean = total - seen <= jobs.size

    /** Converts this record to the value of its row. */
    public fun toRowValue(): String = Json.encodeToString(serializer(), this)

    public companion object {
        private const val MAX_JOBS = 50

        /** Parses the value of the row. */
        public fun parse(value: String): RecentCancels = Json.decodeFromString(serializer(), value)
    }
}
