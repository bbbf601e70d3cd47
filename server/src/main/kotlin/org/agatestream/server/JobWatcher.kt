package org.agatestream.server

import kotlinx.coroutines.CoroutineScope
import kotlinx.coroutines.Job
import kotlinx.coroutines.async
import kotlinx.coroutines.awaitAll
import kotlinx.coroutines.coroutineScope
import kotlinx.coroutines.launch
import org.agatestream.core.ItemId
import org.agatestream.core.JobLifetime
import org.agatestream.core.JobPlan
import org.agatestream.core.JobRef
import org.agatestream.core.JobRules
import org.agatestream.core.MonotonicTime
import org.agatestream.core.PlannedItem
import org.agatestream.core.RowPage
import org.agatestream.core.RowStore
import org.agatestream.core.StoreRead
import org.agatestream.core.StoreTime

/** Watches the store's jobs for the coordinator. */
internal class JobWatcher(
    private val store: RowStore,
    /** Returns the limits of a job whose row does not hold them. */
    private val rules: (JobRow) -> JobRules?,
    private val onJob: (JobPlan, Set<ItemId>, MonotonicTime) -> Unit,
    private val onJobEnded: (JobRef, MonotonicTime) -> Unit,
    /** Runs before the jobs are read; returns whether to read them now, else it is run again after a pause. */
    private val beforeRead: suspend () -> Boolean = { true },
    /** Called whenever all jobs have been read from the store. */
    private val onLoaded: () -> Unit = {},
) {
    private val seen = HashSet<JobRef>()

    fun start(scope: CoroutineScope): Job {
        val feed =
            TableFeed(
                store = store,
                table = FleetTables.JOBS,
                readSnapshot = ::readAllPartitions,
                onSnapshot = { partitions, _ ->
                    addAll(partitions)
                    onLoaded()
                },
                onChanges = ::applyChanges,
            )
        return scope.launch { feed.run() }
    }

    /** Reads the jobs and finished items of all partitions, as of the returned version or later. */
    private suspend fun readAllPartitions(): Pair<List<PartitionState>, Long>? {
        if (!beforeRead()) return null
        // The version is read first, so that the feed covers all writes during the reads below.
        val firstPage = (store.rows(FleetTables.JOBS, "", limit = 1) as? StoreRead.Found)?.value ?: return null
        val partitions = (store.partitions(FleetTables.JOBS) as? StoreRead.Found)?.value ?: return null
        val states = partitions.chunked(CONCURRENT_PARTITION_READS).flatMap { readPartitions(it) }
        return if (null in states) null else states.filterNotNull() to firstPage.version
    }

    private suspend fun readPartitions(partitions: List<String>): List<PartitionState?> =
        coroutineScope { partitions.map { partition -> async { store.readPartition(partition) } }.awaitAll() }

    private fun addAll(partitions: List<PartitionState>) {
        EventLog.info(
            "jobs_read",
            "jobs" to partitions.sumOf { it.jobs.size },
            "ended" to partitions.sumOf { it.ended.size },
        )
        for (partition in partitions) {
            for (job in partition.jobs.values) {
                if (job.id in partition.ended) {
                    end(job.ref)
                } else {
                    add(job, partition.readAt, partition.done[job.id].orEmpty())
                }
            }
        }
    }

    private fun applyChanges(page: RowPage) {
        for (row in page.rows) {
            if (row.value == null) continue
            val ended = FleetTables.endedJob(row.name)
            if (ended != null) end(ended) else parseJobRow(row)?.let { add(it, page.readAt, emptySet()) }
        }
    }

    private fun add(
        row: JobRow,
        readAt: StoreTime?,
        done: Set<ItemId>,
    ) {
        if (!seen.add(row.ref)) return
        val now = MonotonicTime.now()
        val plan =
            JobPlan(
                id = row.id,
                workspace = row.workspace,
                host = row.host,
                lifetime = JobLifetime.of(row.acceptedAt, readAt, row.rules ?: rules(row), now),
                manifestVersion = row.manifestVersion,
                acceptedBy = row.acceptedBy,
                items = row.items.map { PlannedItem(it.id, it.path) },
            )
        onJob(plan, done, now)
    }

    private fun end(job: JobRef) {
        seen += job
        onJobEnded(job, MonotonicTime.now())
    }

    private companion object {
        // A slow store takes about 0.4 s per read, and a new coordinator needs the jobs of all workspaces.
        const val CONCURRENT_PARTITION_READS = 16
    }
}
