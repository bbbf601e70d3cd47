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

/** A whole answer, or one event of a streamed one. */
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

/** Asks for a held stream from token [from] on. */
@Serializable
internal data class ResumeRequest(
    val from: Int,
)

/** An engine's load as it was some time ago. */
@Serializable
internal data class EngineLoad(
    val running: Int,
    val waiting: Int,
    val incarnation: String,
)

/** An order of an operator or of the system to an engine. */
@Serializable
internal data class EngineOrder(
    val fencing: Long,
    val order: String,
    val model: String? = null,
)

/** Sets how the engine stand-in behaves; a field that is left out stays as it is. */
@Serializable
public data class EngineControl(
    val cold: Boolean? = null,
    /** Time before the head of each answer. */
    val delayMillis: Long? = null,
    /** The next requests that get 500 without being run. */
    val failNext: Int? = null,
    /** The next stream breaks after so many tokens. */
    val breakStreamAfterTokens: Int? = null,
    /** Restarts the engine silently: streams break, it is cold, and answers bear a new incarnation. */
    val restart: Boolean = false,
)

/** What the engine stand-in knows of itself. */
@Serializable
public data class EngineState(
    val incarnation: String,
    val running: Int,
    val waiting: Int,
    val cold: Boolean,
    /** How often the engine fell over, cold and given more than it bears. */
    val fallOvers: Int,
    /** The highest fencing number of an order. */
    val fencing: Long,
)
