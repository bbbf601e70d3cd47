package org.agatestream.server

import org.agatestream.core.ItemId
import org.agatestream.core.JobId
import org.agatestream.core.RowStore
import org.agatestream.core.StoredRow

/** The jobs of one part of the table and which of their items are done. */
internal class PartState {
    val jobs = LinkedHashMap<JobId, JobRow>()
    val ended = HashSet<JobId>()
    val done = HashMap<JobId, HashSet<ItemId>>()

    fun add(rows: List<StoredRow>) {
        for (row in rows) {
            val end = FleetTables.endedJob(row.name.key)
            if (end != null) ended += end else parseJobRow(row)?.let { jobs[it.id] = it }
        }
    }

    fun addDone(rows: List<StoredRow>) {
        for (row in rows) {
            val ref = FleetTables.doneItem(row.name.key)
            done.getOrPut(ref.job) { HashSet() } += ref.item
        }
    }

    /** The tokens of items that are neither done nor of an ended job. */
    fun waitingTokens(route: String): Long =
        jobs.values
            .filter { it.route == route && it.id !in ended }
            .sumOf { job -> job.items.filter { it.id !in done[job.id].orEmpty() }.sumOf { it.tokens } }
}

/** Reads the jobs of a part and which of their items are done, or returns null if the store does not answer. */
internal suspend fun RowStore.readJobs(part: String): PartState? {
    val rows = readAll(FleetTables.JOBS, part) ?: return null
    val done = readAll(FleetTables.DONE, part) ?: return null
    val state = PartState()
    state.add(rows.rows)
    state.addDone(done.rows)
    return state
}

/** Parses a row of the table of jobs; null if it was removed or can't be read. */
internal fun parseJobRow(row: StoredRow): JobRow? = row.value?.let { FleetTables.decode(JobRow.serializer(), it) }
