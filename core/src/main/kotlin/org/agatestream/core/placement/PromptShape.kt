package org.agatestream.core.placement

import kotlinx.serialization.Serializable
import org.agatestream.core.PromptPart

/** The size of a request's prompt and of the answer that it expects, in tokens; 0 where the caller did not say. */
@Serializable
public data class PromptShape(
    /** The parts that other requests may share, in order, each with its size in tokens. */
    val shared: List<SizedPart> = emptyList(),
    /** The tokens of the whole prompt. */
    val promptTokens: Int = 0,
    /** The tokens that the answer is expected to have. */
    val outputTokens: Int = 0,
) {
    /** The tokens of the prompt; at least those of its shared parts. */
    val knownPromptTokens: Int get() = maxOf(promptTokens, shared.sumOf { it.tokens })

    /** The tokens that a run is expected to occupy in the memory of its server; 0 if not known. */
    val totalTokens: Int get() = knownPromptTokens + outputTokens

    public companion object {
        /** The shape of a request that says nothing about its prompt. */
        public val UNKNOWN: PromptShape = PromptShape()
    }
}

/** A prompt part and its size in tokens. */
@Serializable
public data class SizedPart(
    val part: PromptPart,
    val tokens: Int,
)
