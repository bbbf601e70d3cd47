package org.agatestream.server

import kotlinx.coroutines.CoroutineScope
import kotlinx.coroutines.Job
import kotlinx.coroutines.async
import kotlinx.coroutines.awaitAll
import kotlinx.coroutines.coroutineScope
import kotlinx.coroutines.launch
import org.agatestream.core.ItemId
import org.agatestream.core.JobId
import org.agatestream.core.JobPlan
import org.agatestream.core.JobRules
import org.agatestream.core.MonotonicTime
import org.agatestream.core.PlannedItem
import org.agatestream.core.RowStore
import org.agatestream.core.StoreRead
import org.agatestream.core.StoredRow
import kotlin.time.Duration.Companion.milliseconds
import kotlin.time.Duration.Companion.seconds

/** Follows the jobs in the store for the coordinator. */
internal class JobWatch(
    private val store: RowStore,
    private val rules: (JobRow) -> JobRules?,
    private val onJob: (JobPlan, Set<ItemId>, MonotonicTime) -> Unit,
    private val onEnded: (JobId, MonotonicTime) -> Unit,
) {
    private val seen = HashSet<JobId>()

    fun start(scope: CoroutineScope): Job {
        val feed =
            TableFeed(store, FleetTables.JOBS, ::readWhole, { parts, _ -> take(parts) }, { rows, _ -> change(rows) })
        return scope.launch { feed.run() }
    }

    /** Reads the jobs of all parts and which items are done, as of the returned version or later. */
    private suspend fun readWhole(): Pair<List<PartState>, Long>? {
        // Read first, so that the feed shows what is written while the parts are listed and read.
        val start = (store.rows(FleetTables.JOBS, "", limit = 1) as? StoreRead.Found)?.value ?: return null
        val parts = (store.parts(FleetTables.JOBS) as? StoreRead.Found)?.value ?: return null
        val states = parts.chunked(PARTS_AT_ONCE).flatMap { readParts(it) }
        return if (null in states) null else states.filterNotNull() to start.version
    }

    private suspend fun readParts(parts: List<String>): List<PartState?> =
        coroutineScope { parts.map { part -> async { store.readJobs(part) } }.awaitAll() }

    private fun take(parts: List<PartState>) {
        for (part in parts) {
            for (job in part.jobs.values) {
                if (job.id in part.ended) end(job.id) else add(job, part.done[job.id].orEmpty())
            }
        }
    }

    private fun change(rows: List<StoredRow>) {
        for (row in rows) {
            if (row.value == null) continue
            val ended = FleetTables.endedJob(row.name.key)
            if (ended != null) end(ended) else parseJobRow(row)?.let { add(it, emptySet()) }
        }
    }

    private fun add(
        row: JobRow,
        done: Set<ItemId>,
    ) {
        if (!seen.add(row.id)) return
        val now = MonotonicTime.now()
        val age = (System.currentTimeMillis() - row.receivedAtMillis).milliseconds
        val rules = rules(row)
        val receivedAt = now - age
        val plan =
            JobPlan(
                id = row.id,
                workspace = row.workspace,
                host = row.host,
                dueAt = receivedAt + (rules?.completionTarget ?: DEFAULT_TARGET),
                keepUntil = receivedAt + (rules?.keepFor ?: DEFAULT_KEEP) + CLOCK_MARGIN,
                home = row.home,
                items = row.items.map { PlannedItem(it.id, it.path) },
            )
        onJob(plan, done, now)
    }

    private fun end(job: JobId) {
        seen += job
        onEnded(job, MonotonicTime.now())
    }

    private companion object {
        // A slow store takes some 0.4 s a read, and a new coordinator needs all workspaces' jobs.
        const val PARTS_AT_ONCE = 16

        // Used if the job's route has been dropped meanwhile.
        val DEFAULT_TARGET = 60.seconds
        val DEFAULT_KEEP = 60.seconds

        // Clocks of VMs differ, and an item must not be given up before its time.
        val CLOCK_MARGIN = 5.seconds
    }
}
