package org.agatestream.core

/** One worked-out figure of the capacity page. */
public data class CapacityLine(
    val role: String,
    val quantity: String,
    val value: Double,
    val unit: String,
    /** The most that is allowed, or null if nothing limits it. */
    val limit: Double? = null,
) {
    /** False if the value is over its limit. */
    public val fits: Boolean
        get() = limit == null || value <= limit
}
