package org.agatestream.core.placement

import kotlinx.serialization.Serializable

/** What it costs to send a request to another failure domain. */
@Serializable
public data class PlacementSettings(
    /** The latency between failure domains in milliseconds, there and back. */
    val domainLatencyMillis: Double = 1.0,
    /** The delay of a request, in milliseconds, that is worth as much as a megabyte between failure domains. */
    val domainMillisPerMegabyte: Double = 0.0,
)
