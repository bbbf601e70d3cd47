package org.agatestream.server

import kotlinx.coroutines.CoroutineScope
import kotlinx.coroutines.Job
import kotlinx.coroutines.withTimeoutOrNull
import kotlinx.serialization.json.Json
import kotlinx.serialization.json.add
import kotlinx.serialization.json.addJsonObject
import kotlinx.serialization.json.buildJsonObject
import kotlinx.serialization.json.put
import kotlinx.serialization.json.putJsonArray
import org.agatestream.core.Caller
import org.agatestream.core.EntryAddresses
import org.agatestream.core.ErrorKind
import org.agatestream.core.Failure
import org.agatestream.core.FleetView
import org.agatestream.core.KeyHasher
import org.agatestream.core.MonotonicTime
import org.agatestream.core.OnlineRoute
import org.agatestream.core.Outcome
import org.agatestream.core.RequestClass
import org.agatestream.core.RequestId
import org.agatestream.core.authenticate
import org.agatestream.core.findEntryAddresses
import org.agatestream.core.findOnlineRoute
import org.agatestream.core.getOrElse
import org.agatestream.core.isEntriesPath
import org.agatestream.core.isOnlinePath
import org.agatestream.core.listModels
import org.agatestream.core.toFailed
import org.agatestream.core.toOk
import org.agatestream.http.HttpCall
import org.agatestream.http.HttpClient
import org.agatestream.http.readBody
import org.agatestream.http.respondFailure
import java.util.UUID
import kotlin.time.Duration
import kotlin.time.Duration.Companion.milliseconds
import kotlin.time.Duration.Companion.seconds

/** Serves the online routes: completions, models, plain services and the entry addresses. */
public class OnlineRoutes(
    private val coordination: Coordination,
    private val limits: WorkspaceLimits,
    slots: BackendSlots,
    client: HttpClient,
    private val keyHasher: KeyHasher,
    atMostOnceCalls: AtMostOnceCalls,
    private val leavingVms: LeavingVms,
    private val entryTtlSeconds: Int,
    scope: CoroutineScope,
    private val clock: () -> MonotonicTime = MonotonicTime::now,
) : HttpRoutes {
    private val running = RunningCalls(coordination)
    private val forwarder = Forwarder(client, slots, scope, clock)
    private val completions = CompletionCalls(forwarder, client)
    private val services = ServiceCalls(forwarder, atMostOnceCalls)

    override suspend fun handle(call: HttpCall): Boolean {
        if (!isOnlinePath(call.path)) return false
        val failure = runUntilCompleted(call.callerDisconnected) { ServeResult(serve(call)) }?.failure
        if (failure != null && !call.isResponseStarted) call.respondFailure(failure)
        return true
    }

    private suspend fun serve(call: HttpCall): Failure? {
        // Checked before the settings are read, so that these are at least as recent as the check.
        val isCurrent = coordination.isCurrent(clock())
        val fleet = coordination.fleet
        if (!isCurrent && !isEntriesPath(call.path)) return NOT_CURRENT_FAILURE
        val route = checkNotNull(fleet.findOnlineRoute(call.method, call.path)).getOrElse { return it }
        if (route is OnlineRoute.Entries) return respondEntries(call, fleet)
        val open = route is OnlineRoute.Service && route.setting.open
        val caller = if (open) null else authenticate(call, fleet).getOrElse { return it }
        val timeout = call.findTimeout().getOrElse { return it }
        val now = clock()
        val context = CallContext(RequestId(UUID.randomUUID().toString()), caller, now, now + timeout)
        val failure = running.runTracked(caller) { keyWithdrawn -> dispatch(call, fleet, route, context, keyWithdrawn) }
        log(context, failure)
        return failure
    }

    private suspend fun dispatch(
        call: HttpCall,
        fleet: FleetView,
        route: OnlineRoute,
        context: CallContext,
        keyWithdrawn: Job,
    ): Failure? =
        when (route) {
            is OnlineRoute.Entries -> null
            is OnlineRoute.Models -> respondModels(call, fleet, checkNotNull(context.caller))
            is OnlineRoute.Completion -> handleCompletion(call, fleet, route, context, keyWithdrawn)
            is OnlineRoute.Service -> handleService(call, route, context)
        }

    private fun log(
        context: CallContext,
        failure: Failure?,
    ) {
        EventLog.info(
            "request",
            "id" to context.id,
            "workspace" to context.workspace,
            "result" to (failure?.kind?.code ?: "ok"),
            "total_ms" to (clock() - context.arrivedAt).inWholeMilliseconds,
        )
    }

    private fun authenticate(
        call: HttpCall,
        fleet: FleetView,
    ): Outcome<Caller> = fleet.authenticate(call.header("authorization"), keyHasher)

    private suspend fun respondEntries(
        call: HttpCall,
        fleet: FleetView,
    ): Failure? {
        val entries = fleet.findEntryAddresses(coordination.vms, leavingVms.current(), entryTtlSeconds)
        call.respondJson(Json.encodeToString(EntryAddresses.serializer(), entries))
        return null
    }

    private suspend fun respondModels(
        call: HttpCall,
        fleet: FleetView,
        caller: Caller,
    ): Failure? {
        val models = fleet.listModels(caller.workspace.setting)
        val body =
            buildJsonObject {
                put("object", "list")
                putJsonArray("data") {
                    models.forEach {
                        addJsonObject {
                            put("id", it.value)
                            put("object", "model")
                        }
                    }
                }
            }
        call.respondJson(body.toString())
        return null
    }

    private suspend fun handleCompletion(
        call: HttpCall,
        fleet: FleetView,
        route: OnlineRoute.Completion,
        context: CallContext,
        keyWithdrawn: Job,
    ): Failure? {
        val body = readBody(call, context).getOrElse { return it }
        val caller = checkNotNull(context.caller)
        val plan = fleet.planCompletion(caller, body.decodeToString(), route.chat).getOrElse { return it }
        limits.admit(caller.workspace.id, context.deadline).getOrElse { return it }
        return completions.answer(call, context, plan, keyWithdrawn)
    }

    private suspend fun handleService(
        call: HttpCall,
        route: OnlineRoute.Service,
        context: CallContext,
    ): Failure? {
        val body = readBody(call, context).getOrElse { return it }
        val key = call.header("idempotency-key")
        if (key != null && key.length !in 1..MAX_IDEMPOTENCY_KEY_CHARS) return BAD_IDEMPOTENCY_KEY
        val service =
            ServiceCall(route, call.method, call.targetWithinService(route), call.forwardedHeaders(), body, key)
        context.workspace?.let { limits.admit(it, context.deadline).getOrElse { failure -> return failure } }
        val attempt = services.run(service, context, RequestClass.ONLINE)
        if (attempt !is Attempt.Finished) return attempt.toFailure()
        call.respondBuffered(attempt.value, context)
        return null
    }

    private suspend fun readBody(
        call: HttpCall,
        context: CallContext,
    ): Outcome<ByteArray> {
        val left = context.deadline - clock()
        val body = withTimeoutOrNull(left) { call.readBody(MAX_BODY_BYTES) } ?: return SLOW_BODY
        val bytes = body.getOrElse { return Outcome.Failed(it) }
        call.checkContainsNoKey(bytes).getOrElse { return Outcome.Failed(it) }
        return bytes.toOk()
    }

    private fun HttpCall.findTimeout(): Outcome<Duration> {
        val text = header(TIMEOUT_HEADER) ?: return DEFAULT_TIMEOUT.toOk()
        val millis = text.toLongOrNull()
        if (millis == null || millis !in 1..MAX_TIMEOUT.inWholeMilliseconds) {
            val limit = MAX_TIMEOUT.inWholeMilliseconds
            return ErrorKind.MALFORMED_REQUEST.toFailed("$TIMEOUT_HEADER must be a whole number from 1 to $limit")
        }
        return millis.milliseconds.toOk()
    }

    private class ServeResult(
        val failure: Failure?,
    )

    private companion object {
        const val MAX_BODY_BYTES = 1_048_576
        const val MAX_IDEMPOTENCY_KEY_CHARS = 255
        val DEFAULT_TIMEOUT = 60.seconds
        val MAX_TIMEOUT = 600.seconds
        val SLOW_BODY = ErrorKind.REQUEST_TIMEOUT.toFailed("the body did not arrive in time")
        val BAD_IDEMPOTENCY_KEY =
            Failure(ErrorKind.MALFORMED_REQUEST, "an idempotency key has 1 to $MAX_IDEMPOTENCY_KEY_CHARS characters")
        val NOT_CURRENT_FAILURE = Failure(ErrorKind.NOT_CURRENT, "this VM has lost touch with the fleet")
    }
}

/** Responds with status 200 and a JSON body. */
internal suspend fun HttpCall.respondJson(body: String): Unit =
    respond(200, "application/json", body.encodeToByteArray())

/** Returns the path and query of this call relative to its service route, unmodified. */
private fun HttpCall.targetWithinService(route: OnlineRoute.Service): String {
    val below = target.substringAfter("/services/").removePrefix(route.id.value)
    return if (below.startsWith("/")) below else "/$below"
}
