package org.agatestream.cli

import kotlinx.serialization.Serializable

/** A file that describes the load: JSON with comments. */
@Serializable
internal data class LoadMix(
    val streams: List<LoadStream>,
)

/** The requests of one workspace. */
@Serializable
internal data class LoadStream(
    /** The name of the stream in the report. */
    val name: String,
    /** The environment variable that holds the caller's key. */
    val keyVariable: String,
    val model: String,
    val ratePerSecond: Double,
    /** Factor by which the rate rises during bursts. */
    val burstFactor: Double = 1.0,
    /** Time from the start of one burst to that of the next. */
    val burstEverySeconds: Double = 0.0,
    val burstSeconds: Double = 0.0,
    val maxTokens: Int = 16,
    val promptWords: Int = 32,
    /** Prompts that share a prefix; each prompt takes one of them. */
    val prefixes: Int = 4,
)
