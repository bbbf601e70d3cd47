package org.agatestream.server

import kotlinx.coroutines.async
import kotlinx.coroutines.coroutineScope
import kotlinx.coroutines.delay
import org.agatestream.core.ErrorKind
import org.agatestream.core.Failure
import org.agatestream.core.ItemId
import org.agatestream.core.ItemRef
import org.agatestream.core.JobId
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
import kotlin.time.Duration.Companion.milliseconds
import kotlin.time.Duration.Companion.seconds

/** Keeps jobs, their bodies and their results in the platform's store. */
internal class JobStore(
    private val store: RowStore,
    private val rowBytes: Int,
) {
    private val jobs = BoundedMap<String, JobRow>(CACHED_JOBS)

    // Where the next result of a job probably goes; other VMs may have listed some.
    private val positions = BoundedMap<String, Int>(CACHED_JOBS)
    private val bodies = BoundedMap<String, Map<ItemId, SubmittedItem>>(CACHED_BODIES)

    /** Stores a job once; a repeat of it is accepted again. */
    suspend fun accept(
        row: JobRow,
        content: ByteArray,
        items: List<SubmittedItem>,
        maxWaitingTokens: Long,
    ): Outcome<JobRow> =
        coroutineScope {
            val part = FleetTables.part(row.workspace)
            val put = async { store.putObject(FleetTables.bodies(part, row.id), content) }
            val known = store.readJobs(part)
            if (known == null) {
                put.await()
                return@coroutineScope unavailable()
            }
            known.jobs[row.id]?.let { return@coroutineScope it.toOk() }
            val waiting = known.waitingTokens(row.route)
            if (maxWaitingTokens > 0 && waiting + row.items.sumOf { it.tokens } > maxWaitingTokens) {
                return@coroutineScope ErrorKind.RATE_EXCEEDED.toFailed("$waiting tokens wait already", FULL_RETRY)
            }
            when (put.await()) {
                is WriteResult.Written -> write(part, row, items)
                else -> unavailable()
            }
        }

    private suspend fun write(
        part: String,
        row: JobRow,
        items: List<SubmittedItem>,
    ): Outcome<JobRow> {
        val name = FleetTables.job(part, row.id)
        val value = FleetTables.encode(JobRow.serializer(), row)
        return when (val result = store.write(mapOf(name to 0L), listOf(RowChange(name, value)))) {
            is WriteResult.Written -> {
                remember(part, row, items)
                row.toOk()
            }

            // Another VM accepted the same job meanwhile.
            is WriteResult.Conflict -> {
                row.toOk()
            }

            is WriteResult.NotDone -> {
                unavailable()
            }

            is WriteResult.Unknown -> {
                readBack(part, row)
            }
        }
    }

    /** Finds out whether a write whose answer was lost took effect; if not, it may still do so. */
    private suspend fun readBack(
        part: String,
        row: JobRow,
    ): Outcome<JobRow> =
        when (find(row.workspace, row.id)) {
            is Outcome.Ok -> row.toOk()
            is Outcome.Failed -> ErrorKind.OUTCOME_UNKNOWN.toFailed("the store did not confirm the job")
        }.also { EventLog.info("job_read_back", "job" to row.id, "part" to part, "found" to (it is Outcome.Ok)) }

    private fun remember(
        part: String,
        row: JobRow,
        items: List<SubmittedItem>,
    ) {
        val name = FleetTables.bodies(part, row.id)
        jobs[name] = row
        bodies[name] = items.associateBy { it.id }
    }

    /** Finds a job; fails with [ErrorKind.UNKNOWN_JOB] only if the store says that there is none. */
    suspend fun find(
        workspace: WorkspaceId?,
        job: JobId,
    ): Outcome<JobRow> {
        val part = FleetTables.part(workspace)
        val cacheKey = FleetTables.bodies(part, job)
        jobs[cacheKey]?.let { return it.toOk() }
        val key = FleetTables.job(part, job).key
        return when (val read = store.rows(FleetTables.JOBS, part, key, key + '\u0000', 1)) {
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

    /** Reads results from position [after] on, as many as an answer may hold. */
    suspend fun results(
        workspace: WorkspaceId?,
        job: JobId,
        after: Int,
    ): Outcome<List<ListedResult>> {
        val part = FleetTables.part(workspace)
        val from = FleetTables.result(part, job, after).key
        val read = store.rows(FleetTables.RESULTS, part, from, FleetTables.keyAfter(job), MAX_RESULTS_READ)
        val page = (read as? StoreRead.Found)?.value ?: return unavailable()
        val results = ArrayList<ListedResult>()
        var bytes = 0
        for (row in page.rows) {
            val result = readResult(row) ?: return if (results.isEmpty()) unavailable() else results.toOk()
            bytes += result.output.orEmpty().length
            if (results.isNotEmpty() && bytes > MAX_ANSWER_BYTES) break
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

    /** Returns the items of a job with their bodies. */
    suspend fun items(
        workspace: WorkspaceId?,
        job: JobId,
    ): Outcome<Map<ItemId, SubmittedItem>> {
        val name = FleetTables.bodies(FleetTables.part(workspace), job)
        bodies[name]?.let { return it.toOk() }
        val content = (store.getObject(name) as? StoreRead.Found)?.value ?: return unavailable()
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

    /** Notes that a job is ended; repeats are harmless. */
    suspend fun end(
        workspace: WorkspaceId?,
        job: JobId,
    ): Outcome<Unit> {
        val name = FleetTables.end(FleetTables.part(workspace), job)
        return when (store.write(emptyMap(), listOf(RowChange(name, ENDED)))) {
            is WriteResult.Written -> Unit.toOk()
            else -> unavailable()
        }
    }

    /** Lists a result, once, at the next free position, and tries until the store has it; null means given up. */
    suspend fun list(
        workspace: WorkspaceId?,
        ref: ItemRef,
        output: String?,
    ) {
        val part = FleetTables.part(workspace)
        val value = resultValue(part, ref, output)
        val done = FleetTables.done(part, ref)
        val job = FleetTables.bodies(part, ref.job)
        var position = positions[job] ?: 0
        while (true) {
            val place = FleetTables.result(part, ref.job, position)
            val changes = listOf(RowChange(place, value), RowChange(done, ENDED))
            when (val result = store.write(mapOf(done to 0L, place to 0L), changes)) {
                is WriteResult.Written -> {
                    positions[job] = position + 1
                    return
                }

                is WriteResult.Conflict -> {
                    if (result.current.any { it.name == done && it.version > 0 }) return
                    position = nextPosition(part, ref.job) ?: (position + 1)
                }

                is WriteResult.NotDone, is WriteResult.Unknown -> {
                    delay(LIST_RETRY)
                }
            }
        }
    }

    /** Removes all that the store keeps of a job; returns false if it must be tried again. */
    suspend fun drop(row: JobRow): Boolean {
        val part = FleetTables.part(row.workspace)
        val from = "${row.id}/"
        val to = FleetTables.keyAfter(row.id)
        val results = store.readAll(FleetTables.RESULTS, part, from, to) ?: return false
        val done = store.readAll(FleetTables.DONE, part, from, to) ?: return false
        // The job's own row goes last, so that a job that is half removed is found again.
        val names =
            (results.rows + done.rows).map { it.name } + FleetTables.end(part, row.id) + FleetTables.job(part, row.id)
        for (some in names.chunked(MAX_CHANGES)) {
            if (store.write(emptyMap(), some.map { RowChange(it, null) }) !is WriteResult.Written) return false
        }
        val outputs = results.rows.mapNotNull { parseResult(it)?.outputObject }
        outputs.forEach { store.dropObject(it) }
        store.dropObject(FleetTables.bodies(part, row.id))
        return true
    }

    /** Returns the number of results of [job], which is the first free position; each has a small mark of its own. */
    private suspend fun nextPosition(
        part: String,
        job: JobId,
    ): Int? = store.readAll(FleetTables.DONE, part, "$job/", FleetTables.keyAfter(job))?.rows?.size

    private suspend fun resultValue(
        part: String,
        ref: ItemRef,
        output: String?,
    ): ByteArray {
        val inline = encode(ResultRow(ref.item, output))
        // A row holds its value as base64.
        if (output == null || Base64.getEncoder().encodeToString(inline).length <= rowBytes) return inline
        val name = FleetTables.output(part, ref)
        while (store.putObject(name, output.encodeToByteArray()) !is WriteResult.Written) delay(LIST_RETRY)
        return encode(ResultRow(ref.item, outputObject = name))
    }

    private fun encode(row: ResultRow): ByteArray = FleetTables.encode(ResultRow.serializer(), row)

    private fun <T> unavailable(): Outcome<T> =
        Outcome.Failed(Failure(ErrorKind.PLATFORM_UNAVAILABLE, "the store does not answer", UNAVAILABLE_RETRY))

    private companion object {
        const val CACHED_JOBS = 500

        // Some 200 kB each.
        const val CACHED_BODIES = 40
        const val MAX_RESULTS_READ = 40

        // What one transaction of the store may hold.
        const val MAX_CHANGES = 100
        const val MAX_ANSWER_BYTES = 700_000
        val ENDED = "{}".encodeToByteArray()
        val FULL_RETRY = 1.seconds
        val UNAVAILABLE_RETRY = 500.milliseconds
        val LIST_RETRY = 200.milliseconds
    }
}
