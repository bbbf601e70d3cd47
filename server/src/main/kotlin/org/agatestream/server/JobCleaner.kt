package org.agatestream.server

import kotlinx.coroutines.CoroutineScope
import kotlinx.coroutines.Job
import kotlinx.coroutines.delay
import kotlinx.coroutines.isActive
import kotlinx.coroutines.launch
import org.agatestream.core.RowStore
import org.agatestream.core.StoreRead
import kotlin.time.Duration
import kotlin.time.Duration.Companion.milliseconds
import kotlin.time.Duration.Companion.seconds

/** Removes jobs from the store whose results need not be read any more; the coordinator runs it. */
internal class JobCleaner(
    private val store: RowStore,
    private val jobs: JobStore,
    private val keptFor: Duration,
) {
    fun start(scope: CoroutineScope): Job =
        scope.launch {
            while (isActive) {
                delay(INTERVAL)
                clean(System.currentTimeMillis())
            }
        }

    /** Removes what is old enough at [nowMillis] of the Unix clock, and not open. */
    suspend fun clean(nowMillis: Long) {
        val parts = (store.parts(FleetTables.JOBS) as? StoreRead.Found)?.value ?: return
        for (part in parts) {
            val state = PartState()
            state.add(store.readAll(FleetTables.JOBS, part)?.rows ?: return)
            val old =
                state.jobs.values.filter {
                    (nowMillis - it.receivedAtMillis).milliseconds > keptFor + CLOCK_MARGIN
                }
            if (old.isEmpty()) continue
            state.addDone(store.readAll(FleetTables.DONE, part)?.rows ?: return)
            for (job in old.filterNot { state.isOpen(it) }) {
                EventLog.info("job_removed", "job" to job.id, "removed" to jobs.drop(job))
            }
        }
    }

    private fun PartState.isOpen(job: JobRow): Boolean =
        job.id !in ended && job.items.any { it.id !in done[job.id].orEmpty() }

    private companion object {
        // The store holds 400 MB of objects, and a minute of jobs of 200 kB at 3 a second is 36 MB.
        val INTERVAL = 30.seconds

        // Clocks of VMs differ, and a result must not be removed before its time.
        val CLOCK_MARGIN = 30.seconds
    }
}
