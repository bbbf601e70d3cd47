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

/** How an engine stand-in is set up. */
internal data class EngineOptions(
    val limits: EngineLimits = EngineLimits(),
    val cold: Boolean = false,
    val checksFencing: Boolean = false,
    val loadLag: Duration = 500.milliseconds,
    val reload: Duration = 2_000.milliseconds,
)

/** A model engine of tests: batches continuously, caches prefixes, and falls over when cold and overloaded. */
internal class EngineStandIn(
    private val options: EngineOptions = EngineOptions(),
) : AutoCloseable {
    private val server = StandInServer(::handle)
    private val boot = UUID.randomUUID().toString().take(BOOT_CHARS)
    private val batch = EngineBatch(options.limits, options.cold)
    private val steps = MutableStateFlow(0L)
    private val load = LaggedValue(EngineLoad(0, 0, "$boot-0"), MonotonicTime.now())
    private val failures = AtomicInteger()
    private val breakAfter = AtomicInteger()
    private var fencing = 0L
    private var reloadEnds: MonotonicTime? = null

    @Volatile
    private var delayMillis = 0L

    private val incarnation: String get() = "$boot-${batch.restarts}"

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
            call.route == "POST /orders" -> takeOrder(call)
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
        if (failures.takeOne()) return call.respondError(STATUS_FAILED, "failed", "told to fail")
        run(call, EngineStream(id, request.model, request.prompt, request.maxTokens), request.stream, 0)
    }

    private suspend fun resume(call: StandInCall) {
        val from = call.parse(ResumeRequest.serializer()).from
        val held = synchronized(batch) { batch.takeHeld(streamId(call)) }
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
        // The caller's leaving takes the stream out of the batch; it stays held for a resume.
        val watcher =
            server.scope.launch {
                call.call.callerGone.join()
                synchronized(batch) { batch.leave(stream) }
            }
        val broken =
            try {
                if (streamed) answerStream(call, stream, from) else answerWhole(call, stream)
            } finally {
                // Only the reader of this answer takes the stream out, not one that follows after a resume.
                watcher.cancel()
            }
        broken?.abort()
    }

    private fun admit(stream: EngineStream): Boolean =
        synchronized(batch) {
            val now = MonotonicTime.now()
            val ends = reloadEnds
            if (ends != null && now < ends) return false
            reloadEnds = null
            val admission = batch.admit(stream)
            if (admission == EngineAdmission.FELL_OVER) reloadEnds = now + options.reload
            admission == EngineAdmission.ACCEPTED
        }

    private suspend fun answerWhole(
        call: StandInCall,
        stream: EngineStream,
    ): BodyWriter? {
        while (!stream.complete) {
            awaitProduced(stream, stream.maxTokens) ?: call.dropAnswer()
        }
        val text = EngineTokens(stream.prompt).text(stream.maxTokens)
        val completion = completion(stream, text, FINISHED)
        call.respondJson(STATUS_OK, Completion.serializer(), completion, incarnationHeader())
        return null
    }

    /** Streams the answer; returns the writer if it has to break off. */
    private suspend fun answerStream(
        call: StandInCall,
        stream: EngineStream,
        from: Int,
    ): BodyWriter? {
        val tokens = EngineTokens(stream.prompt)
        val breakAt = breakAfter.getAndSet(0)
        val writer = call.call.startStream(STATUS_OK, "text/event-stream", incarnationHeader())
        var next = from
        while (next < stream.maxTokens) {
            val produced = awaitProduced(stream, next + 1) ?: return writer
            while (next < produced) {
                writer.writeEvent(completion(stream, tokens.token(next), null))
                next++
                if (next == breakAt) {
                    synchronized(batch) { batch.leave(stream) }
                    return writer
                }
            }
        }
        writer.writeEvent(completion(stream, "", FINISHED))
        writer.write("data: [DONE]\n\n".encodeToByteArray())
        writer.finish()
        return null
    }

    /** Waits until [stream] has [count] tokens and returns how many it has, or null once it is out of the batch. */
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

    private suspend fun takeOrder(call: StandInCall) {
        val order = call.parse(EngineOrder.serializer())
        val taken =
            synchronized(batch) {
                val current = order.fencing >= fencing
                fencing = maxOf(fencing, order.fencing)
                current || !options.checksFencing
            }
        if (taken) call.respondEmpty() else call.respondError(STATUS_CONFLICT, "fenced", "an old fencing number")
    }

    private suspend fun control(call: StandInCall) {
        val change = call.parse(EngineControl.serializer())
        change.delayMillis?.let { delayMillis = it }
        change.failNext?.let { failures.set(it) }
        change.breakStreamAfterTokens?.let { breakAfter.set(it) }
        synchronized(batch) {
            if (change.restart) batch.restart()
            change.cold?.let { if (it) batch.makeCold() else batch.makeWarm() }
        }
        call.respondEmpty()
    }

    private suspend fun reportState(call: StandInCall) {
        val state =
            synchronized(batch) {
                EngineState(incarnation, batch.running, batch.waiting, batch.cold, batch.fallOvers, fencing)
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
        const val BOOT_CHARS = 8
    }
}
