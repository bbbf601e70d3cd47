package org.agatestream.core

/** The limit on a VM's concurrent batch items: additive increase as items end, halved when one is preempted. */
public data class BatchConcurrency(
    private val limit: Double = INITIAL_SLOTS,
    private val max: Int = MAX_SLOTS,
) {
    /** The number of items that may run at once. */
    public val slots: Int
        get() = limit.toInt()

    /** Returns the limit after an item ended without being preempted. */
    public fun afterEnd(): BatchConcurrency = copy(limit = (limit + 1 / limit).coerceAtMost(max.toDouble()))

    /** Returns the limit after an item was preempted while [running] items ran. */
    public fun afterYield(running: Int): BatchConcurrency =
        copy(limit = (minOf(limit, running.toDouble()) / 2).coerceAtLeast(1.0))

    private companion object {
        const val INITIAL_SLOTS = 8.0
        const val MAX_SLOTS = 64
    }
}
