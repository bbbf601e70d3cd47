package org.agatestream.standin

import kotlin.time.Duration
import kotlin.time.Duration.Companion.milliseconds

/** The speed and size of an engine. */
internal data class EngineLimits(
    /** Duration of a step with no request in it. */
    val stepBase: Duration = 10.milliseconds,
    /** What each running request adds to a step. */
    val stepPerRequest: Duration = 1.milliseconds,
    /** Time to read a prompt whose prefix is not cached. */
    val prefill: Duration = 40.milliseconds,
    val maxRunning: Int = 32,
    val coldSlots: Int = 2,
    val cachedPrefixes: Int = 64,
    /** Streams out of the batch that can still be resumed. */
    val heldStreams: Int = 256,
)

/** A stream in the batch of an engine or held by it. */
internal class EngineStream(
    val id: String,
    val model: String,
    val prompt: String,
    val maxTokens: Int,
) {
    /** Tokens made so far. */
    var produced = 0

    /** Time left to read the prompt. */
    var prefillLeft = Duration.ZERO

    val complete: Boolean get() = produced == maxTokens
}

/** What became of a request that an engine got. */
internal enum class EngineAdmission {
    ACCEPTED,

    /** The engine was cold, got more than it bears and restarted. */
    FELL_OVER,
}

/** The continuous batch of an engine: pure state, moved on by [step]. */
internal class EngineBatch(
    private val limits: EngineLimits,
    cold: Boolean,
) {
    private val prefixes = PrefixCache(limits.cachedPrefixes)
    private val runningStreams = LinkedHashMap<String, EngineStream>()
    private val waitingStreams = LinkedHashMap<String, EngineStream>()
    private val held = LinkedHashMap<String, EngineStream>()
    private var bearable = if (cold) limits.coldSlots else limits.maxRunning

    /** Restarts so far; part of the incarnation. */
    var restarts = 0
        private set
    var fallOvers = 0
        private set
    val running: Int get() = runningStreams.size
    val waiting: Int get() = waitingStreams.size
    val cold: Boolean get() = bearable < limits.maxRunning

    /** Returns how long the next step takes. */
    fun stepDuration(): Duration = limits.stepBase + limits.stepPerRequest * running

    /** Takes a new or a resumed stream in; a complete one takes no room. */
    fun admit(stream: EngineStream): EngineAdmission {
        if (stream.complete) return EngineAdmission.ACCEPTED
        if (cold && running + waiting >= bearable) {
            fallOvers++
            restart()
            return EngineAdmission.FELL_OVER
        }
        stream.prefillLeft = if (prefixes.touch(stream.prompt)) Duration.ZERO else limits.prefill
        waitingStreams[stream.id] = stream
        fill()
        return EngineAdmission.ACCEPTED
    }

    /** Makes one token for each running stream that has read its prompt. */
    fun step() {
        val span = stepDuration()
        runningStreams.values.forEach { stream ->
            if (stream.prefillLeft > Duration.ZERO) stream.prefillLeft -= span else stream.produced++
        }
        val done = runningStreams.values.filter { it.complete }
        done.forEach { runningStreams.remove(it.id) }
        bearable = minOf(limits.maxRunning, bearable + done.size)
        fill()
    }

    /** Takes a stream out of the batch and holds it for a resume; returns false if it is unknown. */
    fun cancel(id: String): Boolean {
        (runningStreams[id] ?: waitingStreams[id])?.let { leave(it) }
        return id in held
    }

    /** Holds a stream whose reader is gone, whether or not it is still in the batch. */
    fun leave(stream: EngineStream) {
        runningStreams.remove(stream.id)
        waitingStreams.remove(stream.id)
        held[stream.id] = stream
        if (held.size > limits.heldStreams) held.remove(held.keys.first())
        fill()
    }

    /** Returns the held stream [id] and forgets it, or null. */
    fun takeHeld(id: String): EngineStream? = held.remove(id)

    /** Returns whether [stream] is still in the batch, or complete. */
    fun isLive(stream: EngineStream): Boolean =
        stream.complete || runningStreams[stream.id] === stream || waitingStreams[stream.id] === stream

    /** Drops every stream and all caches; the engine is cold afterwards. */
    fun restart() {
        restarts++
        makeCold()
        runningStreams.clear()
        waitingStreams.clear()
        held.clear()
        prefixes.clear()
    }

    fun makeCold() {
        bearable = limits.coldSlots
    }

    fun makeWarm() {
        bearable = limits.maxRunning
    }

    private fun fill() {
        while (running < limits.maxRunning && waitingStreams.isNotEmpty()) {
            val next = waitingStreams.remove(waitingStreams.keys.first()) ?: return
            runningStreams[next.id] = next
        }
    }
}
