package org.agatestream.core

/** How many batch items a VM runs at once; it grows slowly with items that end and halves when one gives way. */
public data class BatchConcurrency(
    private val limit: Double = INITIAL,
    private val max: Int = MAX,
) {
    /** The number of items that may run at once. */
    public val slots: Int
        get() = limit.toInt()

    /** Notes that an item ended without giving way. */
    public fun afterEnd(): BatchConcurrency = copy(limit = (limit + 1 / limit).coerceAtMost(max.toDouble()))

    /** Notes that an item gave way while [running] ran. */
    public fun afterYield(running: Int): BatchConcurrency =
        copy(limit = (minOf(limit, running.toDouble()) / 2).coerceAtLeast(1.0))

    private companion object {
        const val INITIAL = 8.0
        const val MAX = 64
    }
}
