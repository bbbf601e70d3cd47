package org.agatestream.standin

import kotlin.time.Duration
import kotlin.time.Duration.Companion.milliseconds

/** Timing and capacity of an engine. */
internal data class EngineLimits(
    /** Duration of a step of an empty batch. */
    val stepBase: Duration = 10.milliseconds,
    /** Added to the duration of a step for each running request. */
    val stepPerRequest: Duration = 1.milliseconds,
    /** Prefill time of a prompt whose prefix is not cached. */
    val prefill: Duration = 40.milliseconds,
    val maxRunning: Int = 32,
    val coldSlots: Int = 2,
    val cachedPrefixes: Int = 64,
    /** Maximum number of streams that are kept for a resume after they left the batch. */
    val maxHeldStreams: Int = 256,
)

/** A stream that is in the batch of an engine or held for a resume. */
internal class EngineStream(
    val id: String,
    val model: String,
    val prompt: String,
    val maxTokens: Int,
) {
    /** Tokens generated so far. */
    var produced = 0

    /** Remaining prefill time. */
    var prefillLeft = Duration.ZERO

    val isComplete: Boolean get() = produced == maxTokens
}

/** The result of admitting a request to an engine. */
internal enum class EngineAdmission {
    ACCEPTED,

    /** The engine exceeded its capacity while cold and restarted. */
    FELL_OVER,
}

/** The continuous batch of an engine; [step] advances it, without any I/O or clock. */
internal class EngineBatch(
    private val limits: EngineLimits,
    startsCold: Boolean,
) {
    private val prefixCache = PrefixCache(limits.cachedPrefixes)
    private val runningStreams = LinkedHashMap<String, EngineStream>()
    private val waitingStreams = LinkedHashMap<String, EngineStream>()
    private val heldStreams = LinkedHashMap<String, EngineStream>()
    private var capacity = if (startsCold) limits.coldSlots else limits.maxRunning

    /** Number of restarts; part of the incarnation. */
    var restarts = 0
        private set
    var fallOvers = 0
        private set
    val running: Int get() = runningStreams.size
    val waiting: Int get() = waitingStreams.size
    val isCold: Boolean get() = capacity < limits.maxRunning

    /** Returns the duration of the next step. */
    fun stepDuration(): Duration = limits.stepBase + limits.stepPerRequest * running

    /** Adds a new or resumed stream to the batch; a complete one occupies no slot. */
    fun admit(stream: EngineStream): EngineAdmission {
        if (stream.isComplete) return EngineAdmission.ACCEPTED
        if (isCold && running + waiting >= capacity) {
            fallOvers++
            restart()
            return EngineAdmission.FELL_OVER
        }
        stream.prefillLeft = if (prefixCache.touch(stream.prompt)) Duration.ZERO else limits.prefill
        waitingStreams[stream.id] = stream
        fillBatch()
        return EngineAdmission.ACCEPTED
    }

    /** Generates one token for each running stream whose prefill is done. */
    fun step() {
        val duration = stepDuration()
        runningStreams.values.forEach { stream ->
            if (stream.prefillLeft > Duration.ZERO) stream.prefillLeft -= duration else stream.produced++
        }
        val done = runningStreams.values.filter { it.isComplete }
        done.forEach { runningStreams.remove(it.id) }
        capacity = minOf(limits.maxRunning, capacity + done.size)
        fillBatch()
    }

    /** Removes a stream from the batch and holds it for a resume; returns false if it is unknown. */
    fun cancel(id: String): Boolean {
        (runningStreams[id] ?: waitingStreams[id])?.let { hold(it) }
        return id in heldStreams
    }

    /** Holds a stream whose reader disconnected, whether or not it is still in the batch. */
    fun hold(stream: EngineStream) {
        runningStreams.remove(stream.id)
        waitingStreams.remove(stream.id)
        heldStreams[stream.id] = stream
        if (heldStreams.size > limits.maxHeldStreams) heldStreams.remove(heldStreams.keys.first())
        fillBatch()
    }

    /** Removes and returns the held stream [id], or returns null. */
    fun removeHeld(id: String): EngineStream? = heldStreams.remove(id)

    /** Returns whether [stream] is in the batch or complete. */
    fun isLive(stream: EngineStream): Boolean =
        stream.isComplete || runningStreams[stream.id] === stream || waitingStreams[stream.id] === stream

    /** Drops all streams and cached prefixes and makes the engine cold. */
    fun restart() {
        restarts++
        makeCold()
        runningStreams.clear()
        waitingStreams.clear()
        heldStreams.clear()
        prefixCache.clear()
    }

    fun makeCold() {
        capacity = limits.coldSlots
    }

    fun makeWarm() {
        capacity = limits.maxRunning
    }

    private fun fillBatch() {
        while (running < limits.maxRunning && waitingStreams.isNotEmpty()) {
            val next = waitingStreams.remove(waitingStreams.keys.first()) ?: return
            runningStreams[next.id] = next
        }
    }
}
