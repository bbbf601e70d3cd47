package org.agatestream.server

import kotlinx.coroutines.CancellationException
import kotlinx.coroutines.CoroutineScope
import kotlinx.coroutines.Job
import kotlinx.coroutines.SupervisorJob
import kotlinx.coroutines.channels.Channel
import kotlinx.coroutines.delay
import kotlinx.coroutines.isActive
import kotlinx.coroutines.joinAll
import kotlinx.coroutines.launch
import kotlinx.coroutines.withTimeoutOrNull
import org.agatestream.core.BatchNames
import org.agatestream.core.JobId
import org.agatestream.core.MonotonicTime
import org.agatestream.core.ReadResult
import org.agatestream.core.RecentCancels
import java.util.concurrent.ConcurrentHashMap
import kotlin.time.Duration
import kotlin.time.Duration.Companion.milliseconds
import kotlin.time.Duration.Companion.seconds

/** Finds chunks of batch jobs, claims them and runs their items until it is drained. */
public class BatchWorker(
    private val ports: BatchPorts,
) {
    private val search = ChunkSearch(ports)
    private val slots = ItemSlots()
    private val runs = ConcurrentHashMap<String, ChunkRun>()
    private val cancelledJobs = LruMap<JobId, Unit>(MAX_CANCELLED_JOBS)
    private val wakeUps = Channel<Unit>(Channel.CONFLATED)

    @Volatile
    private var draining = false

    @Volatile
    private var loop: Job? = null

    /** The number of chunks that this VM holds. */
    public val heldChunks: Int
        get() = runs.size

    /** Starts the work in [scope]. */
    public fun start(scope: CoroutineScope) {
        val chunks = CoroutineScope(scope.coroutineContext + SupervisorJob(scope.coroutineContext[Job]))
        loop = scope.launch { findWork(chunks) }
        scope.launch { pollCancellations() }
    }

    /**
     * Stops claiming, cancels running items and releases every chunk with its results so far.
     *
     * If the platform does not respond in time, the chunks stay unreleased and other VMs take them over later.
     */
    public suspend fun drain() {
        draining = true
        wakeUps.trySend(Unit)
        withTimeoutOrNull(DRAIN_TIMEOUT) { loop?.join() }
        loop?.cancel()
        val held = runs.values.toList()
        held.forEach { it.drain() }
        withTimeoutOrNull(DRAIN_TIMEOUT) { held.map { it.job }.joinAll() }
        held.forEach { it.job.cancel() }
        ports.log("batch_drained", arrayOf("chunks" to held.size))
    }

    private suspend fun findWork(chunks: CoroutineScope) {
        var idleRounds = 0
        while (!draining) {
            val claimed = if (mayClaim()) claimNext() else null
            if (claimed != null) {
                run(claimed, chunks)
                idleRounds = 0
                continue
            }
            idleRounds++
            withTimeoutOrNull(idleDelay(idleRounds)) { wakeUps.receive() }
        }
    }

    private suspend fun claimNext(): ClaimedChunk? =
        try {
            search.next(runs.keys)
        } catch (e: CancellationException) {
            throw e
        } catch (e: Exception) {
            EventLog.error("batch_search_failed", e)
            null
        }

    private fun mayClaim(): Boolean =
        runs.size < MAX_HELD_CHUNKS && slots.hasFreeSlot() && ports.coordination.isCurrent(ports.clock())

    /** Returns a delay that grows with the fleet, so that the total read rate of idle VMs does not. */
    private fun idleDelay(rounds: Int): Duration {
        val shortest = IDLE_DELAY_PER_VM * ports.coordination.plan.vms.size
        val base = maxOf(shortest, MIN_IDLE_DELAY) * minOf(rounds, MAX_IDLE_ROUNDS)
        return base / 2 + base * ports.random.nextDouble()
    }

    private fun run(
        claimed: ClaimedChunk,
        chunks: CoroutineScope,
    ) {
        val run = ChunkRun(ports, slots, claimed)
        runs[claimed.key] = run
        // The cancellation may have been observed while the claim was in flight.
        if (synchronized(cancelledJobs) { claimed.claim.spec.id in cancelledJobs }) run.onJobCancelled()
        run.job =
            chunks.launch {
                try {
                    run.run()
                } finally {
                    runs.remove(claimed.key)
                    wakeUps.trySend(Unit)
                }
            }
    }

    /** Polls the recent cancellations while this VM holds chunks; this is one row for any number of jobs. */
    private suspend fun pollCancellations() {
        var lastTotal: Long? = null
        while (kotlin.coroutines.coroutineContext.isActive) {
            delay(CANCEL_POLL_INTERVAL / 2 + CANCEL_POLL_INTERVAL * ports.random.nextDouble())
            if (runs.isEmpty()) continue
            val row = ports.table.read(BatchNames.RECENT_CANCELS) as? ReadResult.Found ?: continue
            val recent = RecentCancels.parse(row.value.value)
            recent.jobs.forEach { onCancelled(it) }
            val coversAll = lastTotal?.let { recent.retainsAllSince(it) } ?: false
            if (coversAll || checkHeldJobs()) lastTotal = recent.total
        }
    }

    /** Reads the cancellation row of each job that this VM works on; returns false if one could not be read. */
    private suspend fun checkHeldJobs(): Boolean {
        for (job in runs.values.map { it.spec.id }.toSet()) {
            when (ports.table.read(BatchNames.cancelKey(job))) {
                is ReadResult.Found -> onCancelled(job)
                is ReadResult.Absent -> Unit
                is ReadResult.Unavailable -> return false
            }
        }
        return true
    }

    private fun onCancelled(job: JobId) {
        val known = synchronized(cancelledJobs) { cancelledJobs.put(job, Unit) != null }
        if (!known) ports.log("batch_cancel_seen", arrayOf("job" to job))
        runs.values.filter { it.spec.id == job }.forEach { it.onJobCancelled() }
    }

    private companion object {
        const val MAX_HELD_CHUNKS = 6
        const val MAX_CANCELLED_JOBS = 256
        const val MAX_IDLE_ROUNDS = 4
        val IDLE_DELAY_PER_VM = 10.milliseconds
        val MIN_IDLE_DELAY = 200.milliseconds
        val CANCEL_POLL_INTERVAL = 2.seconds
        val DRAIN_TIMEOUT = 10.seconds
    }
}
