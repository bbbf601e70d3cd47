package org.agatestream.server

import kotlinx.coroutines.CoroutineScope
import org.agatestream.core.Caller
import org.agatestream.core.CallerKey
import org.agatestream.core.ErrorKind
import org.agatestream.core.Failure
import org.agatestream.core.KeyHash
import org.agatestream.core.KeyId
import org.agatestream.core.MonotonicTime
import org.agatestream.core.OnlineRoute
import org.agatestream.core.RequestClass
import org.agatestream.core.RequestId
import org.agatestream.core.RunState
import org.agatestream.core.findOnlineRoute
import org.agatestream.core.getOrElse
import org.agatestream.http.HttpClient
import java.util.UUID

/** Runs batch items on the same slots as online requests, at a lower priority. */
public class BackendItemRunner(
    private val coordination: Coordination,
    slots: BackendSlots,
    client: HttpClient,
    atMostOnceCalls: AtMostOnceCalls,
    scope: CoroutineScope,
    private val clock: () -> MonotonicTime = MonotonicTime::now,
) : ItemRunner {
    private val forwarder = Forwarder(client, slots, scope, clock)
    private val completions = CompletionCalls(forwarder, client)
    private val services = ServiceCalls(forwarder, atMostOnceCalls)

    override suspend fun run(call: ItemCall): ItemOutcome {
        val routing = coordination.fleet.findOnlineRoute("POST", call.target.substringBefore('?'))
        val route = routing?.getOrElse { return it.toItemOutcome() }
        val caller = findCaller(call) ?: return ItemOutcome.Impossible("forbidden", "the workspace is gone")
        val context = CallContext(RequestId(UUID.randomUUID().toString()), caller, clock(), call.deadline)
        return when (route) {
            is OnlineRoute.Completion -> runCompletion(call, context, route.chat)
            is OnlineRoute.Service -> runService(call, context, route)
            else -> ItemOutcome.Impossible("unknown_route", "an item can't run on this path")
        }
    }

    private fun findCaller(call: ItemCall): Caller? {
        val workspace = coordination.fleet.workspaces[call.workspace] ?: return null
        return Caller(CallerKey(KeyId(""), workspace.id), KeyHash(""), workspace)
    }

    private suspend fun runCompletion(
        call: ItemCall,
        context: CallContext,
        chat: Boolean,
    ): ItemOutcome {
        val planned = coordination.fleet.planCompletion(checkNotNull(context.caller), call.body, chat)
        val plan = planned.getOrElse { return it.toItemOutcome() }
        return completions.runBuffered(plan.toBackendRequest(context, RequestClass.BATCH)).toItemOutcome()
    }

    private suspend fun runService(
        call: ItemCall,
        context: CallContext,
        route: OnlineRoute.Service,
    ): ItemOutcome {
        val target =
            call.target
                .substringAfter("/services/")
                .removePrefix(route.id.value)
                .ifEmpty { "/" }
        val key = "${call.job}/${call.item}"
        val headers = listOf("content-type" to "application/json", "idempotency-key" to key)
        val service = ServiceCall(route, "POST", target, headers, call.body.encodeToByteArray(), key)
        return services.run(service, context, RequestClass.BATCH).toItemOutcome()
    }
}

private fun Attempt<BufferedResponse>.toItemOutcome(): ItemOutcome =
    when (this) {
        is Attempt.Finished -> value.toItemOutcome()
        is Attempt.NotRun -> failure.toItemOutcome()
        is Attempt.Lost -> failure.toItemOutcome()
        is Attempt.Revoked -> ItemOutcome.Preempted
    }

private fun BufferedResponse.toItemOutcome(): ItemOutcome {
    val text = body.decodeToString()
    return when (status) {
        in 200..299 -> {
            ItemOutcome.Done(text)
        }

        408, 425, 429 -> {
            ItemOutcome.Failed("the backend server answered $status")
        }

        in 400..499 -> {
            ItemOutcome.Impossible(
                parseRefusalCode(text) ?: "status_$status",
                parseRefusalMessage(text) ?: "",
            )
        }

        else -> {
            ItemOutcome.Failed("the backend server answered $status")
        }
    }
}

private fun Failure.toItemOutcome(): ItemOutcome =
    when {
        kind.status == STATUS_UNAVAILABLE && kind.run == RunState.NOT_RUN -> ItemOutcome.Preempted
        kind == ErrorKind.OUTCOME_UNKNOWN -> ItemOutcome.Impossible(kind.code, message)
        kind == ErrorKind.IN_PROGRESS -> ItemOutcome.Failed(message)
        kind.status in 400..499 -> ItemOutcome.Impossible(kind.code, message)
        else -> ItemOutcome.Failed(message)
    }

private const val STATUS_UNAVAILABLE = 503
