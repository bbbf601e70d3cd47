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
import org.agatestream.core.JobRef
import org.agatestream.core.MonotonicTime
import org.agatestream.core.Outcome
import org.agatestream.core.RowChange
import org.agatestream.core.RowStore
import org.agatestream.core.StoreRead
import org.agatestream.core.StoredRow
import org.agatestream.core.WriteResult
import org.agatestream.core.getOrElse
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
    private val jobs = LruMap<JobRef, JobRow>(MAX_CACHED_JOBS)

    // A guess at each job's next free result position, as other VMs may have added results.
    private val nextPositions = LruMap<JobRef, Int>(MAX_CACHED_JOBS)
    private val bodies = BodyCache(MAX_CACHED_BODIES, BODY_CACHE_BYTES)
    private val reads = SharedReads<JobRef, Outcome<Map<ItemId, SubmittedItem>>>(scope, MAX_CONCURRENT_BODY_READS)

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
            val bodiesName = FleetTables.bodies(row.ref)
            val put = async { store.putObject(bodiesName, content) }
            val state = store.readPartition(FleetTables.partitionOf(row.workspace))
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
                is WriteResult.Written -> write(row.copy(acceptedAt = state.readAt, bodies = bodiesName), items)
                else -> unavailable()
            }
        }

    private suspend fun write(
        row: JobRow,
        items: List<SubmittedItem>,
    ): Outcome<JobRow> {
        val name = FleetTables.job(row.ref)
        val value = FleetTables.encode(JobRow.serializer(), row)
        return when (val result = store.write(mapOf(name to 0L), listOf(RowChange(name, value)))) {
            is WriteResult.Written -> {
                cacheJob(row, items)
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
                confirmWrite(row)
            }
        }
    }

    /** Reads a job back after a write with an unknown result; if it is missing, the write may still take effect. */
    private suspend fun confirmWrite(row: JobRow): Outcome<JobRow> =
        when (find(row.ref)) {
            is Outcome.Ok -> row.toOk()
            is Outcome.Failed -> ErrorKind.OUTCOME_UNKNOWN.toFailed("the store did not confirm the job")
        }.also { EventLog.info("job_read_back", "job" to row.ref, "found" to (it is Outcome.Ok)) }

    private fun cacheJob(
        row: JobRow,
        items: List<SubmittedItem>,
    ) {
        jobs[row.ref] = row
        bodies[row.ref] = items.associateBy { it.id }
    }

    /** Returns a job; fails with [ErrorKind.UNKNOWN_JOB] only if the store confirms that it has none. */
    suspend fun find(job: JobRef): Outcome<JobRow> {
        jobs[job]?.let { return it.toOk() }
        val name = FleetTables.job(job)
        return when (val read = store.rows(FleetTables.JOBS, name.partition, name.key, name.key + '\u0000', 1)) {
            is StoreRead.Found -> {
                val row =
                    read.value.rows
                        .firstOrNull()
                        ?.let { parseJobRow(it) }
                row?.also { jobs[job] = it }?.toOk() ?: ErrorKind.UNKNOWN_JOB.toFailed("there is no such job")
            }

            is StoreRead.Gone, is StoreRead.Unavailable -> {
                unavailable()
            }
        }
    }

    /** Returns results from position [after] on, as many as fit in one response. */
    suspend fun results(
        job: JobRef,
        after: Int,
    ): Outcome<List<ListedResult>> {
        val from = FleetTables.result(job, after)
        val to = FleetTables.endKey(job.id)
        val read = store.rows(FleetTables.RESULTS, from.partition, from.key, to, MAX_RESULTS_READ)
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
    suspend fun items(job: JobRef): Outcome<Map<ItemId, SubmittedItem>> =
        bodies[job]?.toOk() ?: reads.await(job) { readItems(job) }

    private suspend fun readItems(job: JobRef): Outcome<Map<ItemId, SubmittedItem>> {
        val row = find(job).getOrElse { return Outcome.Failed(it) }
        val startedAt = MonotonicTime.now()
        val read = store.getObject(row.bodiesName)
        EventLog.info(
            "bodies_read",
            "job" to job,
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
                    .also { bodies[job] = it }
                    .toOk()
            }

            is Outcome.Failed -> {
                parsed
            }
        }
    }

    /** Marks a job as ended; idempotent. */
    suspend fun end(job: JobRef): Outcome<Unit> =
        when (store.write(emptyMap(), listOf(RowChange(FleetTables.end(job), EMPTY_VALUE)))) {
            is WriteResult.Written -> Unit.toOk()
            else -> unavailable()
        }

    /**
     * Adds a result at the next free position, at most once, and retries until the store has it.
     *
     * A null [output] marks an item that was given up.
     */
    suspend fun appendResult(
        ref: ItemRef,
        output: String?,
    ) {
        val job = ref.job
        val value = resultValue(ref, output)
        val done = FleetTables.done(ref)
        var position = nextPositions[job] ?: 0
        var failures = 0
        while (true) {
            val resultRow = FleetTables.result(job, position)
            val changes = listOf(RowChange(resultRow, value), RowChange(done, EMPTY_VALUE))
            when (val result = store.write(mapOf(done to 0L, resultRow to 0L), changes)) {
                is WriteResult.Written -> {
                    nextPositions[job] = position + 1
                    return
                }

                is WriteResult.Conflict -> {
                    if (result.current.any { it.name == done && it.version > 0 }) return
                    position = findNextPosition(job) ?: (position + 1)
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
                FleetTables.end(row.ref) +
                FleetTables.job(row.ref)
        for (batch in names.chunked(MAX_CHANGES_PER_WRITE)) {
            if (store.write(emptyMap(), batch.map { RowChange(it, null) }) !is WriteResult.Written) return false
        }
        val outputs = results.rows.mapNotNull { parseResult(it)?.outputObject }
        outputs.forEach { store.deleteObject(it) }
        store.deleteObject(row.bodiesName)
        return true
    }

    /** Returns the first free result position of [job], by counting the small rows that mark its finished items. */
    private suspend fun findNextPosition(job: JobRef): Int? {
        val partition = FleetTables.partitionOf(job.workspace)
        return store.readAll(FleetTables.DONE, partition, "${job.id}/", FleetTables.endKey(job.id))?.rows?.size
    }

    private suspend fun resultValue(
        ref: ItemRef,
        output: String?,
    ): ByteArray {
        val inline = encode(ResultRow(ref.item, output))
        // The row limit applies to the value in base64.
        if (output == null || Base64.getEncoder().encodeToString(inline).length <= rowBytes) return inline
        val name = FleetTables.output(ref)
        var failures = 0
        while (store.putObject(name, output.encodeToByteArray()) !is WriteResult.Written) {
            delay(WRITE_RETRY_BACKOFF.delay(++failures, Random.Default))
        }
        return encode(ResultRow(ref.item, outputObject = name))
    }

    private val JobRow.bodiesName: String get() = bodies ?: FleetTables.unrecordedBodies(ref)

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
