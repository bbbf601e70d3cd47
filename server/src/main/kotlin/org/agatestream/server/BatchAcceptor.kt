package org.agatestream.server

import kotlinx.coroutines.delay
import kotlinx.coroutines.sync.Semaphore
import org.agatestream.core.AcceptStep
import org.agatestream.core.Backoff
import org.agatestream.core.BatchInput
import org.agatestream.core.BatchNames
import org.agatestream.core.ErrorKind
import org.agatestream.core.Failure
import org.agatestream.core.InputChunk
import org.agatestream.core.InputSummary
import org.agatestream.core.JobId
import org.agatestream.core.JobRecord
import org.agatestream.core.JobSpec
import org.agatestream.core.JobStatus
import org.agatestream.core.Outcome
import org.agatestream.core.ReadResult
import org.agatestream.core.WorkspaceId
import org.agatestream.core.afterAccept
import org.agatestream.core.getOrElse
import org.agatestream.core.isBatchTarget
import org.agatestream.core.jobIdOf
import org.agatestream.core.keyReusedFailure
import org.agatestream.core.parseDeadline
import org.agatestream.core.toAcceptTransaction
import org.agatestream.core.toFailed
import org.agatestream.core.toOk
import org.agatestream.core.toStatus
import org.agatestream.http.BodyPart
import org.agatestream.http.HttpCall
import org.agatestream.http.query
import java.time.Instant

/** Accepts batch jobs: stores the input in the object store, then creates the job in one transaction. */
internal class BatchAcceptor(
    private val ports: BatchPorts,
) {
    private val uploads = Semaphore(MAX_UPLOADS)
    private val backoff = Backoff()

    /**
     * Reads the job from [call] and stores it; a repeated submission returns the existing job.
     *
     * [isAllowed] is called once the input is read, because the key may be withdrawn during a long upload.
     */
    suspend fun accept(
        call: HttpCall,
        workspace: WorkspaceId,
        isAllowed: () -> Outcome<Unit>,
    ): Outcome<JobStatus> {
        val submission = parseSubmission(call, workspace).getOrElse { return Outcome.Failed(it) }
        if (!uploads.tryAcquire()) return ErrorKind.NO_CAPACITY.toFailed("too many uploads run on this VM")
        try {
            return accept(call, submission, isAllowed)
        } finally {
            uploads.release()
        }
    }

    private suspend fun accept(
        call: HttpCall,
        submission: JobSubmission,
        isAllowed: () -> Outcome<Unit>,
    ): Outcome<JobStatus> {
        val existing =
            when (val row = ports.table.read(BatchNames.jobKey(submission.workspace, submission.id))) {
                is ReadResult.Found -> JobRecord.parse(row.value.value)
                is ReadResult.Absent -> null
                is ReadResult.Unavailable -> return tableUnavailable()
            }
        val upload =
            ports.random
                .nextLong()
                .toULong()
                .toString(UPLOAD_RADIX)
        val summary =
            readInput(call, submission) { chunk -> existing != null || store(submission.id, upload, chunk) }
                .getOrElse { return Outcome.Failed(it) }
        isAllowed().getOrElse { return Outcome.Failed(it) }
        val spec = submission.toSpec(upload, summary)
        if (existing == null) return commit(spec)
        return if (existing.spec.digest == spec.digest) existing.toResponse() else Outcome.Failed(keyReusedFailure())
    }

    private fun parseSubmission(
        call: HttpCall,
        workspace: WorkspaceId,
    ): Outcome<JobSubmission> {
        val key = call.header("idempotency-key").orEmpty()
        val target = call.query("target").orEmpty()
        val deadlineText = call.query("deadline") ?: DEFAULT_DEADLINE_SECONDS
        val type =
            call
                .header("content-type")
                .orEmpty()
                .substringBefore(';')
                .trim()
        if (key.isEmpty()) return ErrorKind.MALFORMED_REQUEST.toFailed("the header idempotency-key is missing")
        if (type != "application/jsonl") {
            return ErrorKind.MALFORMED_REQUEST.toFailed("the content type is not application/jsonl")
        }
        if (!ports.coordination.fleet.isBatchTarget(target)) {
            return ErrorKind.MALFORMED_REQUEST.toFailed("the target is no path whose calls may be repeated")
        }
        val deadline = parseDeadline(deadlineText, ports.wallClock()).getOrElse { return Outcome.Failed(it) }
        return JobSubmission(jobIdOf(workspace, key), workspace, target, deadline, deadlineText).toOk()
    }

    private suspend fun readInput(
        call: HttpCall,
        submission: JobSubmission,
        store: suspend (InputChunk) -> Boolean,
    ): Outcome<InputSummary> {
        val input = BatchInput(ports.rules, submission.target, submission.deadlineText)
        while (true) {
            val part = call.nextChunk()
            val ready =
                when (part) {
                    is BodyPart.Chunk -> input.add(part.bytes)
                    is BodyPart.End -> input.finish()
                    is BodyPart.Broken -> ErrorKind.MALFORMED_REQUEST.toFailed("the input broke off: ${part.reason}")
                }
            for (chunk in ready.getOrElse { return Outcome.Failed(it) }) {
                if (!store(chunk)) return ErrorKind.PLATFORM_UNAVAILABLE.toFailed("the input was not stored")
            }
            if (part is BodyPart.End) return input.summary().toOk()
        }
    }

    private suspend fun store(
        job: JobId,
        upload: String,
        chunk: InputChunk,
    ): Boolean {
        val name = BatchNames.inputName(job, upload, chunk.index)
        repeat(MAX_PUTS) { failures ->
            if (ports.objects.put(name, chunk.bytes)) return true
            delay(backoff.delay(failures + 1, ports.random))
        }
        return false
    }

    private suspend fun commit(spec: JobSpec): Outcome<JobStatus> {
        val transaction = spec.toAcceptTransaction()
        var attempt = 1
        while (true) {
            when (val step = spec.afterAccept(ports.table.commit(transaction), attempt)) {
                is AcceptStep.Accepted -> return step.job.toResponse()
                is AcceptStep.Refused -> return Outcome.Failed(step.failure)
                is AcceptStep.Retry -> delay(backoff.delay(attempt++, ports.random))
            }
        }
    }

    private fun JobRecord.toResponse(): Outcome<JobStatus> {
        ports.log("batch_accepted", arrayOf("job" to spec.id, "workspace" to spec.workspace, "items" to spec.items))
        return toStatus(emptyList(), ports.wallClock()).toOk()
    }

    private companion object {
        const val MAX_UPLOADS = 16
        const val MAX_PUTS = 5
        const val UPLOAD_RADIX = 36
        const val DEFAULT_DEADLINE_SECONDS = "86400"
    }
}

/** The parameters of a job submission, without the input. */
private data class JobSubmission(
    val id: JobId,
    val workspace: WorkspaceId,
    val target: String,
    val deadline: Instant,
    val deadlineText: String,
) {
    fun toSpec(
        upload: String,
        summary: InputSummary,
    ): JobSpec =
        JobSpec(
            id = id,
            workspace = workspace,
            digest = summary.digest,
            target = target,
            deadlineMillis = deadline.toEpochMilli(),
            upload = upload,
            items = summary.items,
            chunks = summary.chunks,
        )
}

internal fun tableUnavailable(): Outcome.Failed =
    Outcome.Failed(Failure(ErrorKind.PLATFORM_UNAVAILABLE, "the table service did not answer"))
