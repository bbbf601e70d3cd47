package org.agatestream.core

/** A computed figure of the capacity report. */
public data class CapacityLine(
    val role: String,
    val quantity: String,
    val value: Double,
    val unit: String,
    /** The largest allowed value in [unit], or null if there is no limit. */
    val limit: Double? = null,
) {
    /** False if [value] exceeds [limit]. */
    public val isWithinLimit: Boolean
        get() = limit == null || value <= limit
}
