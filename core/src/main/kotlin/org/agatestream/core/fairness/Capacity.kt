package org.agatestream.core.fairness

/** What the servers of a service can do at present. */
internal data class Capacity(
    /** The number of slots that may be used, free or occupied. */
    val slots: Double,
    /** The work that they do per second, in units of [RunWork]. */
    val workPerSecond: Double,
    /** The number of slots that online requests use. */
    val used: Int = 0,
)
