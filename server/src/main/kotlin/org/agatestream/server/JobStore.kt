package org.agatestream.server

import kotlinx.coroutines.CoroutineScope
import kotlinx.coroutines.async
import kotlinx.coroutines.coroutineScope
import kotlinx.coroutines.delay
import org.agatestream.core.Backoff
import org.agatestream.core.ErrorKind
import org.agatestream.core.Failure
import org.agatestream.core.ItemId
import org.agatestream.core.ItemRef
import org.agatestream.core.JobId
import org.agatestream.core.MonotonicTime
import org.agatestream.core.Outcome
import org.agatestream.core.RowChange
import org.agatestream.core.RowStore
import org.agatestream.core.StoreRead
import org.agatestream.core.StoredRow
import org.agatestream.core.WorkspaceId
import org.agatestream.core.WriteResult
import org.agatestream.core.toFailed
import org.agatestream.core.toOk
import org.agatestream.platform.ListedResult
import org.agatestream.platform.SubmittedItem
import org.agatestream.platform.parseJob
import java.util.Base64
import kotlin.random.Random
import kotlin.time.Duration.Companion.milliseconds
import kotlin.time.Duration.Companion.seconds

/** Stores jobs, their bodies and their results in the platform's store. */
internal class JobStore(
    private val store: RowStore,
    private val rowBytes: Int,
    /** Runs the reads of bodies, which go on when the run that needed them first is stopped. */
    scope: CoroutineScope,
) {
    private val jobs = LruMap<String, JobRow>(MAX_CACHED_JOBS)

    // A guess at each job's next free result position, as other VMs may have added results.
    private val nextPositions = LruMap<String, Int>(MAX_CACHED_JOBS)
    private val bodies = BodyCache(MAX_CACHED_BODIES, BODY_CACHE_BYTES)
    private val reads = SharedReads<Outcome<Map<ItemId, SubmittedItem>>>(scope, MAX_CONCURRENT_BODY_READS)

    /** The number of objects with the bodies of jobs that are being read. */
    val bodyReads: Int get() = reads.pending

    /** The bytes of the bodies that this VM holds for runs to come. */
    val cachedBodyBytes: Long get() = bodies.bytes

    /** Stores a job, at most once: a repeated submission succeeds without a second write. */
    suspend fun accept(
        row: JobRow,
        content: ByteArray,
        items: List<SubmittedItem>,
        maxWaitingTokens: Long,
    ): Outcome<JobRow> =
        coroutineScope {
            val partition = FleetTables.partitionOf(row.workspace)
            val put = async { store.putObject(FleetTables.bodies(partition, row.id), content) }
            val state = store.readPartition(partition)
            if (state == null) {
                put.await()
                return@coroutineScope unavailable()
            }
            state.jobs[row.id]?.let { return@coroutineScope it.toOk() }
            val waiting = state.waitingTokens(row.route)
            if (maxWaitingTokens > 0 && waiting + row.items.sumOf { it.tokens } > maxWaitingTokens) {
                return@coroutineScope ErrorKind.RATE_EXCEEDED.toFailed(
                    "$waiting tokens wait already",
                    QUOTA_RETRY_DELAY,
                )
            }
            when (put.await()) {
                is WriteResult.Written -> write(partition, row.copy(acceptedAt = state.readAt), items)
                else -> unavailable()
            }
        }

    private suspend fun write(
        partition: String,
        row: JobRow,
        items: List<SubmittedItem>,
    ): Outcome<JobRow> {
        val name = FleetTables.job(partition, row.id)
        val value = FleetTables.encode(JobRow.serializer(), row)
        return when (val result = store.write(mapOf(name to 0L), listOf(RowChange(name, value)))) {
            is WriteResult.Written -> {
                cacheJob(partition, row, items)
                row.toOk()
            }

            // Another VM has accepted the same job in the meantime.
            is WriteResult.Conflict -> {
                row.toOk()
            }

            is WriteResult.NotDone -> {
                unavailable()
            }

            is WriteResult.Unknown -> {
                confirmWrite(partition, row)
            }
        }
    }

    /** Reads a job back after a write with an unknown result; if it is missing, the write may still take effect. */
    private suspend fun confirmWrite(
        partition: String,
        row: JobRow,
    ): Outcome<JobRow> =
        when (find(row.workspace, row.id)) {
            is Outcome.Ok -> row.toOk()
            is Outcome.Failed -> ErrorKind.OUTCOME_UNKNOWN.toFailed("the store did not confirm the job")
        }.also { EventLog.info("job_read_back", "job" to row.id, "part" to partition, "found" to (it is Outcome.Ok)) }

    private fun cacheJob(
        partition: String,
        row: JobRow,
        items: List<SubmittedItem>,
    ) {
        val name = FleetTables.bodies(partition, row.id)
        jobs[name] = row
        bodies[name] = items.associateBy { it.id }
    }

    /** Returns a job; fails with [ErrorKind.UNKNOWN_JOB] only if the store confirms that it has none. */
    suspend fun find(
        workspace: WorkspaceId?,
        job: JobId,
    ): Outcome<JobRow> {
        val partition = FleetTables.partitionOf(workspace)
        val cacheKey = FleetTables.bodies(partition, job)
        jobs[cacheKey]?.let { return it.toOk() }
        val key = FleetTables.job(partition, job).key
        return when (val read = store.rows(FleetTables.JOBS, partition, key, key + '\u0000', 1)) {
            is StoreRead.Found -> {
                val row =
                    read.value.rows
                        .firstOrNull()
                        ?.let { parseJobRow(it) }
                row?.also { jobs[cacheKey] = it }?.toOk() ?: ErrorKind.UNKNOWN_JOB.toFailed("there is no such job")
            }

            is StoreRead.Gone, is StoreRead.Unavailable -> {
                unavailable()
            }
        }
    }

    /** Returns results from position [after] on, as many as fit in one response. */
    suspend fun results(
        workspace: WorkspaceId?,
        job: JobId,
        after: Int,
    ): Outcome<List<ListedResult>> {
        val partition = FleetTables.partitionOf(workspace)
        val from = FleetTables.result(partition, job, after).key
        val read = store.rows(FleetTables.RESULTS, partition, from, FleetTables.endKey(job), MAX_RESULTS_READ)
        val page = (read as? StoreRead.Found)?.value ?: return unavailable()
        val results = ArrayList<ListedResult>()
        var bytes = 0
        for (row in page.rows) {
            val result = readResult(row) ?: return if (results.isEmpty()) unavailable() else results.toOk()
            bytes += result.output.orEmpty().length
            if (results.isNotEmpty() && bytes > MAX_RESULTS_BYTES) break
            results += result
        }
        return results.toOk()
    }

    private fun parseResult(row: StoredRow): ResultRow? =
        row.value?.let { FleetTables.decode(ResultRow.serializer(), it) }

    private suspend fun readResult(row: StoredRow): ListedResult? {
        val stored = parseResult(row) ?: return null
        val name = stored.outputObject ?: return ListedResult(stored.item, stored.output)
        val output = (store.getObject(name) as? StoreRead.Found)?.value ?: return null
        return ListedResult(stored.item, output.decodeToString())
    }

    /** Returns the items of a job with their bodies; all that ask at the same time share one read of its object. */
    suspend fun items(
        workspace: WorkspaceId?,
        job: JobId,
    ): Outcome<Map<ItemId, SubmittedItem>> {
        val name = FleetTables.bodies(FleetTables.partitionOf(workspace), job)
        return bodies[name]?.toOk() ?: reads.await(name) { readItems(name) }
    }

    private suspend fun readItems(name: String): Outcome<Map<ItemId, SubmittedItem>> {
        val startedAt = MonotonicTime.now()
        val read = store.getObject(name)
        EventLog.info(
            "bodies_read",
            "object" to name,
            "bytes" to (read as? StoreRead.Found)?.value?.size,
            "outcome" to read.outcome(),
            "took_ms" to (MonotonicTime.now() - startedAt).inWholeMilliseconds,
            "pending" to reads.pending,
        )
        val content = (read as? StoreRead.Found)?.value ?: return unavailable(read.outcome())
        return when (val parsed = parseJob(content)) {
            is Outcome.Ok -> {
                parsed.value
                    .associateBy { it.id }
                    .also { bodies[name] = it }
                    .toOk()
            }

            is Outcome.Failed -> {
                parsed
            }
        }
    }

    /** Marks a job as ended; idempotent. */
    suspend fun end(
        workspace: WorkspaceId?,
        job: JobId,
    ): Outcome<Unit> {
        val name = FleetTables.end(FleetTables.partitionOf(workspace), job)
        return when (store.write(emptyMap(), listOf(RowChange(name, EMPTY_VALUE)))) {
            is WriteResult.Written -> Unit.toOk()
            else -> unavailable()
        }
    }

    /**
     * Adds a result at the next free position, at most once, and retries until the store has it.
     *
     * A null [output] marks an item that was given up.
     */
    suspend fun appendResult(
        workspace: WorkspaceId?,
        ref: ItemRef,
        output: String?,
    ) {
        val partition = FleetTables.partitionOf(workspace)
        val value = resultValue(partition, ref, output)
        val done = FleetTables.done(partition, ref)
        val job = FleetTables.bodies(partition, ref.job)
        var position = nextPositions[job] ?: 0
        var failures = 0
        while (true) {
            val resultRow = FleetTables.result(partition, ref.job, position)
            val changes = listOf(RowChange(resultRow, value), RowChange(done, EMPTY_VALUE))
            when (val result = store.write(mapOf(done to 0L, resultRow to 0L), changes)) {
                is WriteResult.Written -> {
                    nextPositions[job] = position + 1
                    return
                }

                is WriteResult.Conflict -> {
                    if (result.current.any { it.name == done && it.version > 0 }) return
                    position = findNextPosition(partition, ref.job) ?: (position + 1)
                }

                is WriteResult.NotDone, is WriteResult.Unknown -> {
                    delay(WRITE_RETRY_BACKOFF.delay(++failures, Random.Default))
                }
            }
        }
    }

    /** Deletes all rows and objects of a job; returns false if the deletion must be retried. */
    suspend fun delete(row: JobRow): Boolean {
        val partition = FleetTables.partitionOf(row.workspace)
        val from = "${row.id}/"
        val to = FleetTables.endKey(row.id)
        val results = store.readAll(FleetTables.RESULTS, partition, from, to) ?: return false
        val done = store.readAll(FleetTables.DONE, partition, from, to) ?: return false
        // The job's own row is deleted last, so that a partly deleted job is found again.
        val names =
            (results.rows + done.rows).map { it.name } +
                FleetTables.end(partition, row.id) +
                FleetTables.job(partition, row.id)
        for (batch in names.chunked(MAX_CHANGES_PER_WRITE)) {
            if (store.write(emptyMap(), batch.map { RowChange(it, null) }) !is WriteResult.Written) return false
        }
        val outputs = results.rows.mapNotNull { parseResult(it)?.outputObject }
        outputs.forEach { store.deleteObject(it) }
        store.deleteObject(FleetTables.bodies(partition, row.id))
        return true
    }

    /** Returns the first free result position of [job], by counting the small rows that mark its finished items. */
    private suspend fun findNextPosition(
        partition: String,
        job: JobId,
    ): Int? = store.readAll(FleetTables.DONE, partition, "$job/", FleetTables.endKey(job))?.rows?.size

    private suspend fun resultValue(
        partition: String,
        ref: ItemRef,
        output: String?,
    ): ByteArray {
        val inline = encode(ResultRow(ref.item, output))
        // The row limit applies to the value in base64.
        if (output == null || Base64.getEncoder().encodeToString(inline).length <= rowBytes) return inline
        val name = FleetTables.output(partition, ref)
        var failures = 0
        while (store.putObject(name, output.encodeToByteArray()) !is WriteResult.Written) {
            delay(WRITE_RETRY_BACKOFF.delay(++failures, Random.Default))
        }
        return encode(ResultRow(ref.item, outputObject = name))
    }

    private fun encode(row: ResultRow): ByteArray = FleetTables.encode(ResultRow.serializer(), row)

    private fun StoreRead<*>.outcome(): String =
        when (this) {
            is StoreRead.Found -> "found"
            is StoreRead.Gone -> "gone"
            is StoreRead.Unavailable -> reason
        }

    private fun <T> unavailable(reason: String = "the store does not answer"): Outcome<T> =
        Outcome.Failed(Failure(ErrorKind.PLATFORM_UNAVAILABLE, reason, UNAVAILABLE_RETRY_DELAY))

    private companion object {
        const val MAX_CACHED_JOBS = 500

        const val MAX_CACHED_BODIES = 40

        // An eighth of a VM's heap of 128 MB.
        const val BODY_CACHE_BYTES = 16L * 1024 * 1024

        // One read after the other has the first of them done soonest; the second one goes on if the first stalls.
        const val MAX_CONCURRENT_BODY_READS = 2
        const val MAX_RESULTS_READ = 40

        // The store's limit for one transaction.
        const val MAX_CHANGES_PER_WRITE = 100
        const val MAX_RESULTS_BYTES = 700_000
        val EMPTY_VALUE = "{}".encodeToByteArray()
        val QUOTA_RETRY_DELAY = 1.seconds
        val UNAVAILABLE_RETRY_DELAY = 500.milliseconds
        val WRITE_RETRY_BACKOFF = Backoff(first = 200.milliseconds, max = 1.seconds)
    }
}
