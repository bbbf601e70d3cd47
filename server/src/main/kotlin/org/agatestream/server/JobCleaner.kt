package org.agatestream.server

import kotlinx.coroutines.CoroutineScope
import kotlinx.coroutines.Job
import kotlinx.coroutines.delay
import kotlinx.coroutines.isActive
import kotlinx.coroutines.launch
import org.agatestream.core.RowStore
import org.agatestream.core.StoreRead
import kotlin.time.Duration
import kotlin.time.Duration.Companion.seconds

/** Deletes jobs from the store after their retention time; runs at the coordinator. */
internal class JobCleaner(
    private val store: RowStore,
    private val jobs: JobStore,
    private val retention: Duration,
) {
    fun start(scope: CoroutineScope): Job =
        scope.launch {
            while (isActive) {
                delay(CLEANUP_INTERVAL)
                clean()
            }
        }

    /** Deletes the jobs that are not open and past their retention time; jobs of unknown age are kept. */
    suspend fun clean() {
        val partitions = (store.partitions(FleetTables.JOBS) as? StoreRead.Found)?.value ?: return
        for (partition in partitions) {
            val page = store.readAll(FleetTables.JOBS, partition) ?: return
            val partitionState = PartitionState(page.readAt)
            partitionState.add(page.rows)
            val expired = partitionState.jobs.values.filter { partitionState.isExpired(it) }
            if (expired.isEmpty()) continue
            partitionState.addDone(store.readAll(FleetTables.DONE, partition)?.rows ?: return)
            for (job in expired.filterNot { partitionState.isOpen(it) }) {
                EventLog.info("job_removed", "job" to job.id, "removed" to jobs.delete(job))
            }
        }
    }

    private fun PartitionState.isExpired(job: JobRow): Boolean =
        job.acceptedAt != null && readAt != null && readAt - job.acceptedAt > retention + READ_MARGIN

    private fun PartitionState.isOpen(job: JobRow): Boolean =
        job.id !in ended && job.items.any { it.id !in done[job.id].orEmpty() }

    private companion object {
        // The store holds 400 MB of objects; jobs of 200 kB at 3 per second add 36 MB per minute.
        val CLEANUP_INTERVAL = 30.seconds

        // A submission may take several seconds to be stored, and a read that began in time may be slow.
        val READ_MARGIN = 30.seconds
    }
}
