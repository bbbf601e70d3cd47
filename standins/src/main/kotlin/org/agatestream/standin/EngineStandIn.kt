package org.agatestream.standin

import kotlinx.coroutines.delay
import kotlinx.coroutines.flow.MutableStateFlow
import kotlinx.coroutines.flow.first
import kotlinx.coroutines.launch
import org.agatestream.core.MonotonicTime
import org.agatestream.http.BodyWriter
import java.util.UUID
import java.util.concurrent.atomic.AtomicInteger
import kotlin.time.Duration
import kotlin.time.Duration.Companion.milliseconds

/** Configuration of an engine stand-in. */
internal data class EngineOptions(
    val limits: EngineLimits = EngineLimits(),
    val cold: Boolean = false,
    val checksFencing: Boolean = false,
    val loadLag: Duration = 500.milliseconds,
    val reloadTime: Duration = 2_000.milliseconds,
)

/** A test engine with continuous batching and a prefix cache; it restarts when overloaded while cold. */
internal class EngineStandIn(
    private val options: EngineOptions = EngineOptions(),
) : AutoCloseable {
    private val server = StandInServer(::handle)
    private val bootId = UUID.randomUUID().toString().take(BOOT_ID_CHARS)
    private val batch = EngineBatch(options.limits, options.cold)
    private val steps = MutableStateFlow(0L)
    private val load = LaggedValue(EngineLoad(0, 0, "$bootId-0"), MonotonicTime.now())
    private val failures = AtomicInteger()
    private val breakAfterTokens = AtomicInteger()
    private var fencing = 0L
    private var reloadEndsAt: MonotonicTime? = null

    @Volatile
    private var delayMillis = 0L

    private val incarnation: String get() = "$bootId-${batch.restarts}"

    fun listen(port: Int): Int {
        server.scope.launch { runSteps() }
        return server.listen(port)
    }

    override fun close() {
        server.close()
    }

    private suspend fun runSteps() {
        while (true) {
            delay(synchronized(batch) { batch.stepDuration() })
            synchronized(batch) {
                batch.step()
                load.set(EngineLoad(batch.running, batch.waiting, incarnation), MonotonicTime.now())
            }
            steps.value += 1
        }
    }

    private suspend fun handle(call: StandInCall) {
        val path = call.path
        when {
            call.route == "POST /v1/completions" -> complete(call)
            call.route == "GET /load" -> reportLoad(call)
            call.route == "POST /orders" -> handleOrder(call)
            path.startsWith(STREAMS) && path.endsWith("/cancel") -> cancel(call)
            path.startsWith(STREAMS) && path.endsWith("/resume") -> resume(call)
            call.route == "POST /standin/engine" -> control(call)
            call.route == "GET /standin/engine" -> reportState(call)
            else -> call.respondError(STATUS_NOT_FOUND, "unknown", "no such call")
        }
    }

    private suspend fun complete(call: StandInCall) {
        val request = call.parse(CompletionRequest.serializer())
        val id = call.header(REQUEST_ID_HEADER) ?: UUID.randomUUID().toString()
        if (failures.decrementIfPositive()) return call.respondError(STATUS_FAILED, "failed", "told to fail")
        run(call, EngineStream(id, request.model, request.prompt, request.maxTokens), request.stream, 0)
    }

    private suspend fun resume(call: StandInCall) {
        val from = call.parse(ResumeRequest.serializer()).from
        val held = synchronized(batch) { batch.removeHeld(streamId(call)) }
        if (held == null || from > held.produced) {
            return call.respondError(STATUS_NOT_FOUND, "unknown", "the stream is not held")
        }
        run(call, held, true, from)
    }

    private suspend fun run(
        call: StandInCall,
        stream: EngineStream,
        streamed: Boolean,
        from: Int,
    ) {
        delay(delayMillis.milliseconds)
        if (!admit(stream)) {
            return call.respondError(STATUS_UNAVAILABLE, "reloading", "the engine loads its model")
        }
        // A disconnect removes the stream from the batch but keeps it for a resume.
        val watcher =
            server.scope.launch {
                call.httpCall.callerDisconnected.join()
                synchronized(batch) { batch.hold(stream) }
            }
        val abortedWriter =
            try {
                if (streamed) respondStream(call, stream, from) else respondWhole(call, stream)
            } finally {
                // A later disconnect must not affect the stream, which another caller may have resumed.
                watcher.cancel()
            }
        abortedWriter?.abort()
    }

    private fun admit(stream: EngineStream): Boolean =
        synchronized(batch) {
            val now = MonotonicTime.now()
            val endsAt = reloadEndsAt
            if (endsAt != null && now < endsAt) return false
            reloadEndsAt = null
            val admission = batch.admit(stream)
            if (admission == EngineAdmission.FELL_OVER) reloadEndsAt = now + options.reloadTime
            admission == EngineAdmission.ACCEPTED
        }

    private suspend fun respondWhole(
        call: StandInCall,
        stream: EngineStream,
    ): BodyWriter? {
        while (!stream.isComplete) {
            awaitProduced(stream, stream.maxTokens) ?: call.dropConnection()
        }
        val text = EngineTokens(stream.prompt).text(stream.maxTokens)
        val completion = completion(stream, text, FINISHED)
        call.respondJson(STATUS_OK, Completion.serializer(), completion, incarnationHeader())
        return null
    }

    /** Streams the response; returns the writer if the response must be aborted. */
    private suspend fun respondStream(
        call: StandInCall,
        stream: EngineStream,
        from: Int,
    ): BodyWriter? {
        val tokens = EngineTokens(stream.prompt)
        val breakAt = breakAfterTokens.getAndSet(0)
        val writer = call.httpCall.startStream(STATUS_OK, "text/event-stream", incarnationHeader())
        var next = from
        while (next < stream.maxTokens) {
            val produced = awaitProduced(stream, next + 1) ?: return writer
            while (next < produced) {
                writer.writeEvent(completion(stream, tokens.token(next), null))
                next++
                if (next == breakAt) {
                    synchronized(batch) { batch.hold(stream) }
                    return writer
                }
            }
        }
        writer.writeEvent(completion(stream, "", FINISHED))
        writer.write("data: [DONE]\n\n".encodeToByteArray())
        writer.finish()
        return null
    }

    /** Waits until [stream] has [count] tokens and returns its token count, or null if it left the batch. */
    private suspend fun awaitProduced(
        stream: EngineStream,
        count: Int,
    ): Int? {
        while (true) {
            val seen = steps.value
            synchronized(batch) {
                if (stream.produced >= count) return stream.produced
                if (!batch.isLive(stream)) return null
            }
            steps.first { it != seen }
        }
    }

    private suspend fun cancel(call: StandInCall) {
        val known = synchronized(batch) { batch.cancel(streamId(call)) }
        if (known) call.respondEmpty() else call.respondError(STATUS_NOT_FOUND, "unknown", "no such stream")
    }

    private suspend fun reportLoad(call: StandInCall) {
        val lagged = load.get(MonotonicTime.now(), options.loadLag)
        call.respondJson(STATUS_OK, EngineLoad.serializer(), lagged)
    }

    private suspend fun handleOrder(call: StandInCall) {
        val order = call.parse(EngineOrder.serializer())
        val isAccepted =
            synchronized(batch) {
                val isCurrent = order.fencing >= fencing
                fencing = maxOf(fencing, order.fencing)
                isCurrent || !options.checksFencing
            }
        if (isAccepted) call.respondEmpty() else call.respondError(STATUS_CONFLICT, "fenced", "an old fencing number")
    }

    private suspend fun control(call: StandInCall) {
        val change = call.parse(EngineControl.serializer())
        change.delayMillis?.let { delayMillis = it }
        change.failNext?.let { failures.set(it) }
        change.breakStreamAfterTokens?.let { breakAfterTokens.set(it) }
        synchronized(batch) {
            if (change.restart) batch.restart()
            change.cold?.let { if (it) batch.makeCold() else batch.makeWarm() }
        }
        call.respondEmpty()
    }

    private suspend fun reportState(call: StandInCall) {
        val state =
            synchronized(batch) {
                EngineState(incarnation, batch.running, batch.waiting, batch.isCold, batch.fallOvers, fencing)
            }
        call.respondJson(STATUS_OK, EngineState.serializer(), state)
    }

    private fun streamId(call: StandInCall): String =
        call.path
            .removePrefix(STREAMS)
            .substringBeforeLast('/')

    private fun incarnationHeader(): Map<String, String> = mapOf("x-engine-incarnation" to incarnation)

    private fun completion(
        stream: EngineStream,
        text: String,
        finishReason: String?,
    ): Completion =
        Completion(stream.id, "text_completion", stream.model, listOf(CompletionChoice(0, text, finishReason)))

    private suspend fun BodyWriter.writeEvent(event: Completion) {
        val json = standInJson.encodeToString(Completion.serializer(), event)
        write("data: $json\n\n".encodeToByteArray())
    }

    private companion object {
        const val STREAMS = "/v1/streams/"
        const val REQUEST_ID_HEADER = "x-request-id"
        const val FINISHED = "length"
        const val STATUS_FAILED = 500
        const val BOOT_ID_CHARS = 8
    }
}
