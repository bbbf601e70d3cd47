package org.agatestream.server

import kotlinx.coroutines.withTimeoutOrNull
import org.agatestream.core.Admission
import org.agatestream.core.ErrorKind
import org.agatestream.core.Failure
import org.agatestream.core.ItemId
import org.agatestream.core.JobId
import org.agatestream.core.JobRef
import org.agatestream.core.Outcome
import org.agatestream.core.VmId
import org.agatestream.core.getOrElse
import org.agatestream.http.HttpCall
import org.agatestream.platform.CallerProtocol
import org.agatestream.platform.encodeResults
import org.agatestream.platform.parseJob
import kotlin.time.Duration.Companion.seconds

/** Serves the API calls for batch jobs. */
internal class JobCalls(
    private val self: VmId,
    private val jobs: JobStore,
) {
    /** Accepts the job in [body], admitted by the manifest [manifestVersion] and received at [nowMillis] (Unix). */
    suspend fun submit(
        call: HttpCall,
        admission: Admission,
        body: ByteArray,
        manifestVersion: Long,
        nowMillis: Long,
    ) {
        val id = CallerProtocol.requestId(call)?.value?.let { JobId(it) }
        if (id == null || !isStorable(id.value)) return call.respondNotServed(BAD_ID)
        val items = parseJob(body).getOrElse { return call.respondNotServed(it) }
        val row =
            JobRow(
                id = id,
                workspace = admission.workspace?.id,
                host = admission.route.host,
                route = admission.route.name,
                receivedAtMillis = nowMillis,
                acceptedBy = self,
                items = items.map { JobRowItem(it.id, it.path, it.tokens) },
                manifestVersion = manifestVersion,
                rules = admission.route.jobs,
            )
        val accepted = jobs.accept(row, body, items, admission.route.jobs?.maxWaitingTokens ?: 0)
        log("job_submitted", row.ref, accepted, "items" to items.size, "manifest" to manifestVersion)
        when (accepted) {
            is Outcome.Ok -> call.respond(STATUS_ACCEPTED, JSON, "{}".encodeToByteArray())
            is Outcome.Failed -> call.respondNotServed(accepted.failure)
        }
    }

    suspend fun results(
        call: HttpCall,
        job: JobRef,
        after: Int,
    ) {
        val row = jobs.find(job).getOrElse { return refuse(call, "job_read", job, it) }
        val results =
            jobs.results(job, after).getOrElse { return refuse(call, "job_read", job, it) }
        call.respond(STATUS_OK, JSON, encodeResults(row.items.size, results, after + results.size))
    }

    suspend fun itemBody(
        call: HttpCall,
        job: JobRef,
        item: ItemId,
    ) {
        jobs.find(job).getOrElse { return refuse(call, "item_read", job, it) }
        val read = withTimeoutOrNull(CallerProtocol.callerTimeout(call)) { jobs.items(job) }
        val items = (read ?: PENDING).getOrElse { return refuse(call, "item_read", job, it) }
        val body =
            items[item]?.body ?: return call.respondNotServed(Failure(ErrorKind.UNKNOWN_JOB, "there is no such item"))
        call.respond(STATUS_OK, BYTES, body)
    }

    suspend fun end(
        call: HttpCall,
        job: JobRef,
    ) {
        jobs.find(job).getOrElse { return refuse(call, "job_end", job, it) }
        val ended = jobs.end(job)
        log("job_ended", job, ended)
        when (ended) {
            is Outcome.Ok -> call.respond(STATUS_OK, JSON, "{}".encodeToByteArray())
            is Outcome.Failed -> call.respondNotServed(ended.failure)
        }
    }

    private suspend fun refuse(
        call: HttpCall,
        event: String,
        job: JobRef,
        failure: Failure,
    ) {
        log(event, job, Outcome.Failed(failure))
        call.respondNotServed(failure)
    }

    private fun log(
        event: String,
        job: JobRef,
        outcome: Outcome<*>,
        vararg more: Pair<String, Any?>,
    ) {
        val result = if (outcome is Outcome.Failed) outcome.failure.kind.code else "done"
        EventLog.info(event, "job" to job.id, "workspace" to job.workspace, "outcome" to result, *more)
    }

    private fun isStorable(id: String): Boolean =
        id.length <= MAX_ID_CHARS && id.all { it.isLetterOrDigit() || it in "-_" }

    private companion object {
        const val STATUS_OK = 200
        const val STATUS_ACCEPTED = 202
        const val JSON = "application/json"
        const val BYTES = "application/octet-stream"

        // Row keys have up to 200 bytes and may hold the ids of a job and an item.
        const val MAX_ID_CHARS = 80
        val PENDING_RETRY_DELAY = 1.seconds
        val PENDING =
            Outcome.Failed(
                Failure(
                    ErrorKind.PLATFORM_UNAVAILABLE,
                    "the bodies of the job are still being read",
                    PENDING_RETRY_DELAY,
                ),
            )
        val BAD_ID = Failure(ErrorKind.MALFORMED_REQUEST, "the id of the job is missing or has other characters")
    }
}
