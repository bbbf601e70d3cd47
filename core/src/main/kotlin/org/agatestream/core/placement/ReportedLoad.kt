package org.agatestream.core.placement

import kotlinx.serialization.Serializable

/** The load that a backend server reports with an answer. */
@Serializable
public data class ReportedLoad(
    val running: Int,
    val waiting: Int,
    val slots: Int,
    /** How long work takes at the server at this moment, in percent of the usual; null if it does not say. */
    val durationPercent: Int? = null,
)
