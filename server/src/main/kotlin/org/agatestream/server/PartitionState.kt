package org.agatestream.server

import org.agatestream.core.ItemId
import org.agatestream.core.JobId
import org.agatestream.core.RowStore
import org.agatestream.core.StoreTime
import org.agatestream.core.StoredRow

/** The jobs of one partition of the jobs table, with their finished items. */
internal class PartitionState(
    /** When the store read the jobs; null if it did not say. */
    val readAt: StoreTime?,
) {
    val jobs = LinkedHashMap<JobId, JobRow>()
    val ended = HashSet<JobId>()
    val done = HashMap<JobId, HashSet<ItemId>>()

    fun add(rows: List<StoredRow>) {
        for (row in rows) {
            val end = FleetTables.endedJob(row.name)
            if (end != null) ended += end.id else parseJobRow(row)?.let { jobs[it.id] = it }
        }
    }

    fun addDone(rows: List<StoredRow>) {
        for (row in rows) {
            val (job, item) = FleetTables.doneItem(row.name.key)
            done.getOrPut(job) { HashSet() } += item
        }
    }

    /** Returns the number of tokens of unfinished items on [route], without the items of ended jobs. */
    fun waitingTokens(route: String): Long =
        jobs.values
            .filter { it.route == route && it.id !in ended }
            .sumOf { job -> job.items.filter { it.id !in done[job.id].orEmpty() }.sumOf { it.tokens } }
}

/** Returns the jobs and finished items of a partition, or null if the store does not answer. */
internal suspend fun RowStore.readPartition(partition: String): PartitionState? {
    val rows = readAll(FleetTables.JOBS, partition) ?: return null
    val done = readAll(FleetTables.DONE, partition) ?: return null
    val state = PartitionState(rows.readAt)
    state.add(rows.rows)
    state.addDone(done.rows)
    return state
}

/** Parses a row of the jobs table; returns null if it was deleted or is malformed. */
internal fun parseJobRow(row: StoredRow): JobRow? = row.value?.let { FleetTables.decode(JobRow.serializer(), it) }
