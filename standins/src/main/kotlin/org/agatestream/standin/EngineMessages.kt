package org.agatestream.standin

import kotlinx.serialization.SerialName
import kotlinx.serialization.Serializable

/** The body of a completion request. */
@Serializable
internal data class CompletionRequest(
    val model: String,
    val prompt: String,
    @SerialName("max_tokens") val maxTokens: Int = 16,
    val stream: Boolean = false,
)

/** A complete response, or one event of a streamed response. */
@Serializable
internal data class Completion(
    val id: String,
    @SerialName("object") val kind: String,
    val model: String,
    val choices: List<CompletionChoice>,
)

@Serializable
internal data class CompletionChoice(
    val index: Int,
    val text: String,
    @SerialName("finish_reason") val finishReason: String?,
)

/** Resumes a held stream from token [from] on. */
@Serializable
internal data class ResumeRequest(
    val from: Int,
)

/** An engine's load, as reported with a lag. */
@Serializable
internal data class EngineLoad(
    val running: Int,
    val waiting: Int,
    val incarnation: String,
)

/** An order from an operator or the system to an engine. */
@Serializable
internal data class EngineOrder(
    val fencing: Long,
    val order: String,
    val model: String? = null,
)

/** Changes the behavior of the engine stand-in; omitted fields keep their value. */
@Serializable
public data class EngineControl(
    val cold: Boolean? = null,
    /** Delay before the head of each response, in milliseconds. */
    val delayMillis: Long? = null,
    /** Number of upcoming requests that fail with status 500 without being run. */
    val failNext: Int? = null,
    /** Number of tokens after which the next stream is aborted. */
    val breakStreamAfterTokens: Int? = null,
    /** Restarts the engine silently: streams are aborted, the engine is cold and responses have a new incarnation. */
    val restart: Boolean = false,
)

/** The state of the engine stand-in. */
@Serializable
public data class EngineState(
    val incarnation: String,
    val running: Int,
    val waiting: Int,
    val cold: Boolean,
    /** Number of restarts caused by exceeding the capacity while cold. */
    val fallOvers: Int,
    /** The highest fencing number received in an order. */
    val fencing: Long,
)
