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
import org.agatestream.core.parseDeadline
import org.agatestream.core.reused
import org.agatestream.core.toAcceptTransaction
import org.agatestream.core.toFailed
import org.agatestream.core.toOk
import org.agatestream.core.toStatus
import org.agatestream.http.BodyPart
import org.agatestream.http.HttpCall
import org.agatestream.http.query
import java.time.Instant

/** Accepts batch jobs: the input goes to the object store, then one transaction makes it a job. */
internal class BatchAcceptor(
    private val ports: BatchPorts,
) {
    private val uploads = Semaphore(MAX_UPLOADS)
    private val backoff = Backoff()

    /**
     * Reads the job from [call] and stores it; a job that was sent before is found and not stored again.
     *
     * [isAllowed] is asked again once the input is read, as the key may be withdrawn during a long upload.
     */
    suspend fun accept(
        call: HttpCall,
        workspace: WorkspaceId,
        isAllowed: () -> Outcome<Unit>,
    ): Outcome<JobStatus> {
        val order = parseOrder(call, workspace).getOrElse { return Outcome.Failed(it) }
        if (!uploads.tryAcquire()) return ErrorKind.NO_CAPACITY.toFailed("too many uploads run on this VM")
        try {
            return accept(call, order, isAllowed)
        } finally {
            uploads.release()
        }
    }

    private suspend fun accept(
        call: HttpCall,
        order: JobOrder,
        isAllowed: () -> Outcome<Unit>,
    ): Outcome<JobStatus> {
        val existing =
            when (val row = ports.table.read(BatchNames.jobKey(order.workspace, order.id))) {
                is ReadResult.Found -> JobRecord.parse(row.value.value)
                is ReadResult.Absent -> null
                is ReadResult.Unavailable -> return notReached()
            }
        val upload =
            ports.random
                .nextLong()
                .toULong()
                .toString(UPLOAD_RADIX)
        val summary =
            readInput(call, order) { chunk -> existing != null || store(order.id, upload, chunk) }
                .getOrElse { return Outcome.Failed(it) }
        isAllowed().getOrElse { return Outcome.Failed(it) }
        val spec = order.toSpec(upload, summary)
        if (existing == null) return commit(spec)
        return if (existing.spec.digest == spec.digest) existing.toAnswer() else Outcome.Failed(reused())
    }

    private fun parseOrder(
        call: HttpCall,
        workspace: WorkspaceId,
    ): Outcome<JobOrder> {
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
        return JobOrder(jobIdOf(workspace, key), workspace, target, deadline, deadlineText).toOk()
    }

    private suspend fun readInput(
        call: HttpCall,
        order: JobOrder,
        store: suspend (InputChunk) -> Boolean,
    ): Outcome<InputSummary> {
        val input = BatchInput(ports.rules, order.target, order.deadlineText)
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
                is AcceptStep.Accepted -> return step.job.toAnswer()
                is AcceptStep.Refused -> return Outcome.Failed(step.failure)
                is AcceptStep.Repeat -> delay(backoff.delay(attempt++, ports.random))
            }
        }
    }

    private fun JobRecord.toAnswer(): Outcome<JobStatus> {
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

/** What a caller asks for apart from the input. */
private data class JobOrder(
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

internal fun notReached(): Outcome.Failed =
    Outcome.Failed(Failure(ErrorKind.PLATFORM_UNAVAILABLE, "the table service did not answer"))
