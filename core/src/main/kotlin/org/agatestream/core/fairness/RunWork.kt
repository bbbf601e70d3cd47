package org.agatestream.core.fairness

import org.agatestream.core.placement.PromptShape

/** The work of runs, in the time that a server takes for one prompt token. */
internal object RunWork {
    // Requests of the load profiles have about 450 prompt tokens and 20 events; used where a caller does not say.
    private const val USUAL_PROMPT_TOKENS = 450
    private const val USUAL_OUTPUT_TOKENS = 20

    // 450 prompt tokens take about 70 ms and an output token about 22 ms, during which the run holds its slot.
    private const val PROMPT_TOKENS_PER_OUTPUT_TOKEN = 140.0

    // About a hundred usual runs; a caller's figure is no more than an upper bound of what is generated.
    private const val MAX_WORK = 325_000.0

    /** The work of a run whose size is not known. */
    val UNKNOWN: Double = of(PromptShape.UNKNOWN)

    /** Returns the work of a run with a prompt of [shape]. */
    fun of(shape: PromptShape): Double {
        val prompt = if (shape.promptTokens > 0) shape.promptTokens else USUAL_PROMPT_TOKENS
        val output = if (shape.outputTokens > 0) shape.outputTokens else USUAL_OUTPUT_TOKENS
        return minOf(prompt + output * PROMPT_TOKENS_PER_OUTPUT_TOKEN, MAX_WORK)
    }
}
