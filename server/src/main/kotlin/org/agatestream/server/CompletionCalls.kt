package org.agatestream.server

import kotlinx.coroutines.Job
import kotlinx.serialization.json.JsonObject
import kotlinx.serialization.json.JsonPrimitive
import org.agatestream.core.BackendServerId
import org.agatestream.core.Caller
import org.agatestream.core.CompletionRequest
import org.agatestream.core.ErrorKind
import org.agatestream.core.Failure
import org.agatestream.core.FleetView
import org.agatestream.core.Outcome
import org.agatestream.core.RequestClass
import org.agatestream.core.checkLimits
import org.agatestream.core.findEngines
import org.agatestream.core.getOrElse
import org.agatestream.core.parseJsonObject
import org.agatestream.core.toChatCompletion
import org.agatestream.core.toOk
import org.agatestream.http.HttpCall
import org.agatestream.http.HttpClient

/** A validated completion request and the engines that can run it. */
internal class CompletionPlan(
    val completion: CompletionRequest,
    val engines: Set<BackendServerId>,
)

/** Parses a completion request of [caller] and validates it against the settings; fails with the first fault. */
internal fun FleetView.planCompletion(
    caller: Caller,
    body: String,
    chat: Boolean,
): Outcome<CompletionPlan> {
    val completion = CompletionRequest.parse(body, chat).getOrElse { return Outcome.Failed(it) }
    val engines = findEngines(caller.workspace.setting, completion.model).getOrElse { return Outcome.Failed(it) }
    completion.checkLimits(models.getValue(completion.model)).getOrElse { return Outcome.Failed(it) }
    return CompletionPlan(completion, engines).toOk()
}

/** Runs completions on engines and responds with a single body or a stream. */
internal class CompletionCalls(
    private val forwarder: Forwarder,
    private val client: HttpClient,
) {
    /**
     * Responds to [call] with the completion and returns null, or returns the failure.
     *
     * The failure has been sent to the caller only if a stream had been started.
     */
    suspend fun answer(
        call: HttpCall,
        context: CallContext,
        plan: CompletionPlan,
        keyWithdrawn: Job,
    ): Failure? {
        val request = plan.toBackendRequest(context, RequestClass.ONLINE)
        return if (plan.completion.stream) {
            respondStreaming(call, context, request, plan.completion.chat, keyWithdrawn)
        } else {
            respondBuffered(call, context, request, plan.completion.chat, keyWithdrawn)
        }
    }

    /** Runs [request] and returns the engine's complete response; completions are idempotent. */
    suspend fun runBuffered(request: BackendRequest): Attempt<BufferedResponse> =
        forwarder.forward(request) { exchange ->
            val response = exchange.readBufferedResponse()
            if (response == null ||
                !response.isValidCompletion()
            ) {
                Attempt.Lost(BROKEN_FAILURE)
            } else {
                Attempt.Finished(response)
            }
        }

    private suspend fun respondBuffered(
        call: HttpCall,
        context: CallContext,
        request: BackendRequest,
        chat: Boolean,
        keyWithdrawn: Job,
    ): Failure? {
        val attempt = runUntilCompleted(keyWithdrawn) { runBuffered(request) } ?: return WITHDRAWN_FAILURE
        if (attempt !is Attempt.Finished) return attempt.toFailure()
        call.respondBuffered(if (chat) attempt.value.toChatResponse() else attempt.value, context)
        return null
    }

    private suspend fun respondStreaming(
        call: HttpCall,
        context: CallContext,
        request: BackendRequest,
        chat: Boolean,
        keyWithdrawn: Job,
    ): Failure? {
        val relay = StreamRelay(call, chat, client)
        var refusal: BufferedResponse? = null
        val attempt =
            runUntilCompleted(keyWithdrawn) {
                forwarder.forward(request) { exchange ->
                    if (exchange.response.status == STATUS_OK) return@forward relay.relay(exchange)
                    refusal = exchange.readBufferedResponse()
                    if (refusal == null) Attempt.Lost(BROKEN_FAILURE) else Attempt.Finished(StreamEnd.WHOLE)
                }
            }
        refusal?.takeIf { attempt is Attempt.Finished }?.let {
            call.respondBuffered(it, context)
            return null
        }
        val failure = if (attempt == null) WITHDRAWN_FAILURE else attempt.toFailure()
        if (failure != null) relay.fail(failure)
        return failure
    }

    private fun BufferedResponse.isValidCompletion(): Boolean =
        status != STATUS_OK || parseJsonObject(body.decodeToString()) is Outcome.Ok

    private fun BufferedResponse.toChatResponse(): BufferedResponse {
        if (status != STATUS_OK) return this
        val json = parseJsonObject(body.decodeToString()).getOrElse { return this }
        return BufferedResponse(status, contentType, headers, json.toChatCompletion().toString().encodeToByteArray())
    }

    private companion object {
        const val STATUS_OK = 200
        val BROKEN_FAILURE = Failure(ErrorKind.BACKEND_FAILED, "the backend server broke the answer off")
        val WITHDRAWN_FAILURE = Failure(ErrorKind.KEY_WITHDRAWN, "the key was withdrawn while the request ran")
    }
}

/** Builds the request to an engine for this completion. */
internal fun CompletionPlan.toBackendRequest(
    context: CallContext,
    requestClass: RequestClass,
): BackendRequest {
    val slot =
        SlotRequest(
            candidates = engines,
            requestClass = requestClass,
            workspace = context.workspace,
            prefixHash = completion.prefixHash,
            deadline = context.deadline,
        )
    val streamed = completion.stream && requestClass == RequestClass.ONLINE
    val engineBody = JsonObject(completion.body + ("stream" to JsonPrimitive(streamed)))
    return BackendRequest(
        id = context.id,
        slot = slot,
        method = "POST",
        target = "/v1/completions",
        headers = listOf("content-type" to "application/json"),
        body = engineBody.toString().encodeToByteArray(),
        idempotent = true,
    )
}

/** Returns the failure to send to the caller, or null if the request finished. */
internal fun Attempt<*>.toFailure(): Failure? =
    when (this) {
        is Attempt.Finished -> null
        is Attempt.NotRun -> failure
        is Attempt.Lost -> failure
        is Attempt.Revoked -> Failure(ErrorKind.NO_CAPACITY, "the request gave way to other requests")
    }

/** Responds with the response of a backend server. */
internal suspend fun HttpCall.respondBuffered(
    response: BufferedResponse,
    context: CallContext,
) {
    val idHeader = mapOf(REQUEST_ID_HEADER to context.id.value)
    respond(response.status, response.contentType, response.body, response.headers + idHeader)
}
