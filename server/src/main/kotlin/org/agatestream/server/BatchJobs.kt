package org.agatestream.server

import kotlinx.coroutines.delay
import org.agatestream.core.Backoff
import org.agatestream.core.BatchNames
import org.agatestream.core.CancelStep
import org.agatestream.core.ChunkRecord
import org.agatestream.core.CommitResult
import org.agatestream.core.ErrorKind
import org.agatestream.core.JobId
import org.agatestream.core.JobList
import org.agatestream.core.JobRecord
import org.agatestream.core.JobState
import org.agatestream.core.JobStatus
import org.agatestream.core.Outcome
import org.agatestream.core.ReadResult
import org.agatestream.core.Row
import org.agatestream.core.WorkspaceId
import org.agatestream.core.getOrElse
import org.agatestream.core.map
import org.agatestream.core.planCancel
import org.agatestream.core.toFailed
import org.agatestream.core.toOk
import org.agatestream.core.toStatus

/** Finds, lists and cancels the batch jobs of a workspace. */
internal class BatchJobs(
    private val ports: BatchPorts,
) {
    private val backoff = Backoff()

    /** Finds a job of [workspace]. */
    suspend fun find(
        workspace: WorkspaceId,
        job: JobId,
    ): Outcome<JobRecord> = readRow(workspace, job).map { JobRecord.parse(it.value) }

    /** Returns the state and counts of a job, including the progress of its running chunks. */
    suspend fun status(
        workspace: WorkspaceId,
        job: JobId,
    ): Outcome<JobStatus> {
        val record = find(workspace, job).getOrElse { return Outcome.Failed(it) }
        if (record.state == JobState.DONE) return record.toStatus(emptyList(), ports.wallClock()).toOk()
        val chunks = readChunks(job).getOrElse { return Outcome.Failed(it) }
        return record.toStatus(chunks, ports.wallClock()).toOk()
    }

    /** Lists a page of the jobs of [workspace] after [after]; the counts cover completed chunks only. */
    suspend fun list(
        workspace: WorkspaceId,
        after: JobId?,
    ): Outcome<JobList> {
        val prefix = BatchNames.jobPrefix(workspace)
        val start = after?.let { BatchNames.jobKey(workspace, it) }.orEmpty()
        return when (val rows = ports.table.scan(prefix, start, PAGE_SIZE)) {
            is ReadResult.Found -> toPage(rows.value).toOk()
            is ReadResult.Absent -> JobList(emptyList()).toOk()
            is ReadResult.Unavailable -> tableUnavailable()
        }
    }

    /** Cancels a job; has no effect on a job that has ended. */
    suspend fun cancel(
        workspace: WorkspaceId,
        job: JobId,
    ): Outcome<JobStatus> {
        var mayBeCancelled = false
        repeat(MAX_CANCEL_ATTEMPTS) { failures ->
            val row = readRow(workspace, job).getOrElse { return if (mayBeCancelled) pending() else Outcome.Failed(it) }
            val commit =
                when (val step = JobRecord.parse(row.value).planCancel(row.version, recentCancels())) {
                    is CancelStep.Ended -> return status(workspace, job)
                    is CancelStep.Commit -> step
                }
            when (ports.table.commit(commit.transaction)) {
                is CommitResult.Committed -> return statusAfterCancel(commit.next)
                is CommitResult.Unknown -> mayBeCancelled = true
                is CommitResult.Conflict, is CommitResult.Unavailable -> Unit
            }
            delay(backoff.delay(failures + 1, ports.random))
        }
        return if (mayBeCancelled) pending() else tableUnavailable()
    }

    /** Reads the row of recent cancellations; if the read fails, the following commit fails with a conflict. */
    private suspend fun recentCancels(): Row? =
        (ports.table.read(BatchNames.RECENT_CANCELS) as? ReadResult.Found)?.value

    private suspend fun statusAfterCancel(record: JobRecord): Outcome<JobStatus> {
        ports.log("batch_cancelled", arrayOf("job" to record.spec.id, "workspace" to record.spec.workspace))
        val chunks = readChunks(record.spec.id).getOrElse { emptyList() }
        return record.toStatus(chunks, ports.wallClock()).toOk()
    }

    private suspend fun readRow(
        workspace: WorkspaceId,
        job: JobId,
    ): Outcome<Row> =
        when (val row = ports.table.read(BatchNames.jobKey(workspace, job))) {
            is ReadResult.Found -> row.value.toOk()
            is ReadResult.Absent -> ErrorKind.UNKNOWN_JOB.toFailed("the workspace has no such job")
            is ReadResult.Unavailable -> tableUnavailable()
        }

    private suspend fun readChunks(job: JobId): Outcome<List<ChunkRecord>> {
        val records = mutableListOf<ChunkRecord>()
        var after = ""
        while (true) {
            val rows =
                when (val page = ports.table.scan(BatchNames.chunkPrefix(job), after)) {
                    is ReadResult.Found -> page.value
                    is ReadResult.Absent -> emptyList()
                    is ReadResult.Unavailable -> return tableUnavailable()
                }
            if (rows.isEmpty()) return records.toOk()
            rows.mapTo(records) { ChunkRecord.parse(it.value) }
            after = rows.last().key
        }
    }

    private fun toPage(rows: List<Row>): JobList {
        val records = rows.map { JobRecord.parse(it.value) }
        val next = records.lastOrNull()?.spec?.id
        return JobList(
            records.map { it.toStatus(emptyList(), ports.wallClock()) },
            next.takeIf { rows.size == PAGE_SIZE },
        )
    }

    private fun pending(): Outcome.Failed = ErrorKind.CHANGE_PENDING.toFailed("the job may have been cancelled")

    private companion object {
        const val PAGE_SIZE = 100
        const val MAX_CANCEL_ATTEMPTS = 20
    }
}
