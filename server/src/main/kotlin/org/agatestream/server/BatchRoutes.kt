package org.agatestream.server

import kotlinx.serialization.KSerializer
import kotlinx.serialization.json.Json
import org.agatestream.core.CallerKey
import org.agatestream.core.ErrorKind
import org.agatestream.core.Failure
import org.agatestream.core.JobId
import org.agatestream.core.JobList
import org.agatestream.core.JobStatus
import org.agatestream.core.Outcome
import org.agatestream.core.WorkspaceId
import org.agatestream.core.map
import org.agatestream.http.HttpCall
import org.agatestream.http.query
import org.agatestream.http.readBody
import org.agatestream.http.respondFailure
import kotlin.time.Duration.Companion.seconds

/** Serves `/v1/batches`: submit, list, status, results and cancel of the batch jobs of a caller's workspace. */
public class BatchRoutes(
    private val ports: BatchPorts,
    private val authenticate: (HttpCall) -> Outcome<CallerKey>,
    private val limits: WorkspaceLimits,
) : HttpRoutes {
    private val acceptor = BatchAcceptor(ports)
    private val jobs = BatchJobs(ports)
    private val results = BatchResults(ports)

    override suspend fun handle(call: HttpCall): Boolean {
        val segments = call.path.trim('/').split('/')
        if (segments.size < 2 || segments[0] != "v1" || segments[1] != "batches") return false
        if (!ports.coordination.isCurrent(ports.clock())) {
            call.respondFailure(Failure(ErrorKind.NOT_CURRENT, "this VM has lost touch with the fleet"))
            return true
        }
        when (val key = authenticate(call)) {
            is Outcome.Ok -> dispatch(call, key.value.workspace, segments.drop(2))
            is Outcome.Failed -> call.respondFailure(key.failure)
        }
        return true
    }

    private suspend fun dispatch(
        call: HttpCall,
        workspace: WorkspaceId,
        rest: List<String>,
    ) {
        val job = JobId(rest.firstOrNull().orEmpty())
        val operation = "${call.method} ${rest.drop(1).joinToString("/")}".trim()
        when {
            rest.isEmpty() && operation == "POST" -> submit(call, workspace)
            rest.isEmpty() && operation == "GET" -> list(call, workspace)
            rest.isEmpty() -> call.respondFailure(wrongMethod(call))
            operation == "GET" -> call.respondStatus(jobs.status(workspace, job))
            operation == "GET results" -> stream(call, workspace, job)
            operation == "POST cancel" -> call.respondStatus(jobs.cancel(workspace, job))
            rest.size == 1 || rest[1] in OPERATIONS -> call.respondFailure(wrongMethod(call))
            else -> call.respondFailure(Failure(ErrorKind.UNKNOWN_ROUTE, "there is nothing under this path"))
        }
    }

    private suspend fun submit(
        call: HttpCall,
        workspace: WorkspaceId,
    ) {
        val admitted = limits.admit(workspace, ports.clock() + ADMISSION_TIMEOUT)
        if (admitted is Outcome.Failed) return refuse(call, admitted.failure)
        when (val outcome = acceptor.accept(call, workspace) { authenticate(call).map { } }) {
            is Outcome.Ok -> call.respondJson(STATUS_ACCEPTED, JobStatus.serializer(), outcome.value)
            is Outcome.Failed -> refuse(call, outcome.failure)
        }
    }

    /** Reads part of the remaining body before responding, so that a connection reset does not lose the response. */
    private suspend fun refuse(
        call: HttpCall,
        failure: Failure,
    ) {
        call.readBody(MAX_UNREAD_BYTES)
        call.respondFailure(failure)
    }

    private suspend fun list(
        call: HttpCall,
        workspace: WorkspaceId,
    ) {
        val after = call.query("after")?.let { JobId(it) }
        when (val outcome = jobs.list(workspace, after)) {
            is Outcome.Ok -> call.respondJson(STATUS_OK, JobList.serializer(), outcome.value)
            is Outcome.Failed -> call.respondFailure(outcome.failure)
        }
    }

    private suspend fun stream(
        call: HttpCall,
        workspace: WorkspaceId,
        job: JobId,
    ) {
        when (val record = jobs.find(workspace, job)) {
            is Outcome.Ok -> results.stream(record.value, call) { authenticate(call) is Outcome.Ok }
            is Outcome.Failed -> call.respondFailure(record.failure)
        }
    }

    private suspend fun HttpCall.respondStatus(outcome: Outcome<JobStatus>) {
        when (outcome) {
            is Outcome.Ok -> respondJson(STATUS_OK, JobStatus.serializer(), outcome.value)
            is Outcome.Failed -> respondFailure(outcome.failure)
        }
    }

    private suspend fun <T> HttpCall.respondJson(
        status: Int,
        serializer: KSerializer<T>,
        value: T,
    ) {
        respond(status, "application/json", Json.encodeToString(serializer, value).encodeToByteArray())
    }

    private fun wrongMethod(call: HttpCall): Failure =
        Failure(ErrorKind.METHOD_NOT_ALLOWED, "the path does not take the method ${call.method}")

    private companion object {
        val ADMISSION_TIMEOUT = 5.seconds
        const val STATUS_OK = 200
        const val MAX_UNREAD_BYTES = 1_048_576
        const val STATUS_ACCEPTED = 202
        val OPERATIONS = setOf("results", "cancel")
    }
}
