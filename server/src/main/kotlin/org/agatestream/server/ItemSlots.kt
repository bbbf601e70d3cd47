package org.agatestream.server

import org.agatestream.core.BatchConcurrency

/** Limits the number of items that this VM runs concurrently, over all its chunks. */
internal class ItemSlots {
    private var concurrency = BatchConcurrency()
    private var running = 0

    /** Returns whether another item may start. */
    @Synchronized
    fun hasFreeSlot(): Boolean = running < concurrency.slots

    /** Takes up to [wanted] slots and returns the number taken. */
    @Synchronized
    fun tryAcquire(wanted: Int): Int {
        val taken = minOf(wanted, concurrency.slots - running).coerceAtLeast(0)
        running += taken
        return taken
    }

    /** Releases a slot after its item ended or, if [yielded], was preempted by online requests. */
    @Synchronized
    fun release(yielded: Boolean) {
        concurrency = if (yielded) concurrency.afterYield(running) else concurrency.afterEnd()
        running--
    }
}
