package org.agatestream.cli

import kotlinx.serialization.Serializable

/** The load description file, in JSON with comments. */
@Serializable
internal data class LoadMix(
    val streams: List<LoadStream>,
)

/** The requests of one workspace. */
@Serializable
internal data class LoadStream(
    /** The name of the stream in the report. */
    val name: String,
    /** The environment variable with the caller's key. */
    val keyVariable: String,
    val model: String,
    val ratePerSecond: Double,
    /** Factor applied to the rate during bursts. */
    val burstFactor: Double = 1.0,
    /** Time between the starts of consecutive bursts; 0 disables bursts. */
    val burstEverySeconds: Double = 0.0,
    val burstSeconds: Double = 0.0,
    val maxTokens: Int = 16,
    val promptWords: Int = 32,
    /** Number of prompt prefixes; each prompt starts with a random one of them. */
    val prefixes: Int = 4,
)
