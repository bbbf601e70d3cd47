package org.agatestream.server

import kotlinx.coroutines.delay
import org.agatestream.core.Backoff
import org.agatestream.core.BatchNames
import org.agatestream.core.ChunkRecord
import org.agatestream.core.ItemResult
import org.agatestream.core.JobRecord
import org.agatestream.core.JobSpec
import org.agatestream.core.JobState
import org.agatestream.core.ReadResult
import org.agatestream.core.parseStoredItems
import org.agatestream.http.BodyWriter
import org.agatestream.http.HttpCall

/** Streams the readable results of a job, with one object in memory at a time. */
internal class BatchResults(
    private val ports: BatchPorts,
) {
    private val backoff = Backoff()

    /**
     * Responds to [call] with the results of [job] as JSON lines, chunk by chunk.
     *
     * If the platform does not respond or [isAllowed] returns false, the connection is closed before the body is
     * complete, so that the client sees an error.
     */
    suspend fun stream(
        job: JobRecord,
        call: HttpCall,
        isAllowed: () -> Boolean,
    ) {
        val writer = call.startStream(STATUS_OK, "application/jsonl")
        for (index in pages(job.spec)) {
            val rows = readPage(job.spec, index)
            if (rows == null || !isAllowed() || !writePage(job, index, rows, writer)) {
                writer.abort()
                return
            }
        }
        writer.finish()
    }

    private fun pages(spec: JobSpec): IntProgression = 0 until spec.chunks step PAGE_SIZE

    /** Reads a page of chunk records starting at [first], by index; null if the platform does not respond. */
    private suspend fun readPage(
        spec: JobSpec,
        first: Int,
    ): Map<Int, ChunkRecord>? {
        val after = if (first == 0) "" else BatchNames.chunkKey(spec.id, first - 1)
        val rows = read { ports.table.scan(BatchNames.chunkPrefix(spec.id), after, PAGE_SIZE) } ?: return null
        val records = rows.map { ChunkRecord.parse(it.value) }
        return records.filter { it.index < first + PAGE_SIZE }.associateBy { it.index }
    }

    private suspend fun writePage(
        job: JobRecord,
        first: Int,
        records: Map<Int, ChunkRecord>,
        writer: BodyWriter,
    ): Boolean {
        for (index in first until minOf(first + PAGE_SIZE, job.spec.chunks)) {
            val record = records[index] ?: ChunkRecord(job.spec.id, index)
            if (!writeParts(job.spec, record, writer)) return false
            if (job.state == JobState.CANCELLED && !writeCancelled(job.spec, record, writer)) return false
        }
        return true
    }

    private suspend fun writeParts(
        spec: JobSpec,
        record: ChunkRecord,
        writer: BodyWriter,
    ): Boolean {
        for (part in record.parts) {
            val bytes = read { ports.objects.get(BatchNames.resultName(spec, record.index, part)) } ?: return false
            if (!writer.write(bytes)) return false
        }
        return true
    }

    private suspend fun writeCancelled(
        spec: JobSpec,
        record: ChunkRecord,
        writer: BodyWriter,
    ): Boolean {
        val bytes = read { ports.objects.get(BatchNames.inputName(spec.id, spec.upload, record.index)) } ?: return false
        val finished = record.finished.toBits()
        val lines =
            parseStoredItems(bytes)
                .filterIndexed { position, _ -> !finished.get(position) }
                .joinToString("") { ItemResult.cancelled(it.id).toLine() }
        return lines.isEmpty() || writer.write(lines.encodeToByteArray())
    }

    private suspend fun <T : Any> read(call: suspend () -> ReadResult<T>): T? {
        for (failures in 1..MAX_READS) {
            when (val result = call()) {
                is ReadResult.Found -> return result.value
                is ReadResult.Absent -> return null
                is ReadResult.Unavailable -> delay(backoff.delay(failures, ports.random))
            }
        }
        return null
    }

    private companion object {
        const val STATUS_OK = 200
        const val PAGE_SIZE = 100
        const val MAX_READS = 5
    }
}
