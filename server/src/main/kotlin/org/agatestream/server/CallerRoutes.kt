package org.agatestream.server

import org.agatestream.core.ErrorKind
import org.agatestream.core.Failure
import org.agatestream.core.JobRef
import org.agatestream.core.MonotonicTime
import org.agatestream.core.RouteKind
import org.agatestream.core.WorkspaceId
import org.agatestream.core.admit
import org.agatestream.core.authenticate
import org.agatestream.core.getOrElse
import org.agatestream.http.HttpCall
import org.agatestream.http.readBody
import org.agatestream.platform.CallerProtocol
import org.agatestream.platform.CallerRequest
import kotlin.random.Random
import kotlin.time.Duration
import kotlin.time.Duration.Companion.milliseconds

/** Serves the calls of callers and the platform's readiness probe. */
internal class CallerRoutes(
    private val config: PlatformVmConfig,
    private val view: PlatformView,
    private val membership: FleetMembership,
    private val forwarder: RouteForwarder,
    private val jobs: JobCalls,
    private val shutdown: GracefulShutdown,
    private val gate: StartupGate,
    /** The TTL of an answer with the entry addresses. */
    private val entryTtl: Duration,
) {
    /** Serves [call], on any of this VM's addresses for callers and the platform. */
    suspend fun serve(call: HttpCall) {
        when (val request = CallerProtocol.parse(call)) {
            is CallerRequest.Readiness -> respondReadiness(call)
            is CallerRequest.EntryAddresses -> respondAddresses(call)
            is CallerRequest.RouteRequest -> serveRoute(call)
            is CallerRequest.Results -> serveJob(call) { jobs.results(call, JobRef(it, request.job), request.after) }
            is CallerRequest.ItemBody -> serveJob(call) { jobs.itemBody(call, JobRef(it, request.job), request.item) }
            is CallerRequest.EndJob -> serveJob(call) { jobs.end(call, JobRef(it, request.job)) }
        }
    }

    private suspend fun serveRoute(call: HttpCall) {
        val now = MonotonicTime.now()
        if (shutdown.isRefusingRequests()) return call.respondNotServed(SHUTTING_DOWN)
        gate.await(CallerProtocol.callerTimeout(call), seedOf(call))
        val manifest = view.manifest ?: return call.respondNotServed(notReady(call))
        val admission =
            manifest
                .admit(CallerProtocol.host(call), call.path, CallerProtocol.key(call))
                .getOrElse { return refuse(call, unlessOutdated(it)) }
        val isOnline = admission.route.kind != RouteKind.BATCH
        val timeout = forwarder.timeoutOf(call, admission)
        if (isOnline && !shutdown.admits(now, timeout)) {
            return refuse(call, SHUTTING_DOWN, "timeout" to timeout, "time_left" to shutdown.timeLeft(now))
        }
        val body = call.readBody(manifest.maxBodyBytes).getOrElse { return refuse(call, it) }
        if (isOnline) {
            forwarder.forward(call, admission, body, manifest.version, now)
        } else {
            jobs.submit(call, admission, body, manifest.version, System.currentTimeMillis())
        }
    }

    private suspend fun serveJob(
        call: HttpCall,
        block: suspend (WorkspaceId?) -> Unit,
    ) {
        gate.await(CallerProtocol.callerTimeout(call), seedOf(call))
        val manifest = view.manifest ?: return call.respondNotServed(notReady(call))
        val workspace =
            manifest.authenticate(CallerProtocol.key(call)).getOrElse { return refuse(call, unlessOutdated(it)) }
        block(workspace?.id)
    }

    /** Returns a value that differs between callers; a request without an id gets a random one. */
    private fun seedOf(call: HttpCall): Int = CallerProtocol.requestId(call)?.hashCode() ?: Random.nextInt()

    /** Returns [failure], or another one that callers repeat elsewhere if the manifest may have been replaced. */
    private fun unlessOutdated(failure: Failure): Failure =
        if (view.areOperatorsCurrent(MonotonicTime.now())) failure else OUTDATED

    private fun notReady(call: HttpCall): Failure =
        Failure(ErrorKind.NOT_CURRENT, "this VM knows no manifest yet", gate.retryAfter(seedOf(call)))

    private suspend fun respondReadiness(call: HttpCall) {
        val isReady = view.manifest != null && !shutdown.hasBegun
        call.respond(if (isReady) STATUS_OK else ErrorKind.NOT_CURRENT.status, TEXT, ByteArray(0))
    }

    private suspend fun respondAddresses(call: HttpCall) {
        val own = if (!shutdown.hasBegun) listOf(config.callerAddress) else emptyList()
        val others = membership.servingVms.filter { it.name != config.name }.map { it.caller }
        val addresses = (own + others).distinct().shuffled()
        call.respond(STATUS_OK, JSON, CallerProtocol.encodeEntryAddresses(addresses, entryTtl))
    }

    private suspend fun refuse(
        call: HttpCall,
        failure: Failure,
        vararg details: Pair<String, Any?>,
    ) {
        EventLog.info(
            "request",
            "id" to CallerProtocol.requestId(call),
            "outcome" to "refused",
            "detail" to failure.kind.code,
            "manifest" to view.manifest?.version,
            *details,
        )
        call.respondNotServed(failure)
    }

    private companion object {
        const val STATUS_OK = 200
        const val JSON = "application/json"
        const val TEXT = "text/plain"

        // Callers repeat the request at another VM, which most likely is current.
        val OUTDATED_RETRY_AFTER = 100.milliseconds
        val OUTDATED =
            Failure(ErrorKind.NOT_CURRENT, "the manifest of this VM may be outdated", OUTDATED_RETRY_AFTER)
    }
}

/** Refuses a request that can't end before this VM stops, so that its caller goes to another one at once. */
internal val SHUTTING_DOWN: Failure = Failure(ErrorKind.SHUTTING_DOWN, "this VM is about to stop", 10.milliseconds)

/** Responds with the status of [failure], unless a response has begun. */
internal suspend fun HttpCall.respondNotServed(failure: Failure) {
    if (isResponseStarted) return
    val body = "${failure.kind.code}: ${failure.message}\n".encodeToByteArray()
    respond(failure.kind.status, "text/plain", body, CallerProtocol.errorHeaders(failure))
}
