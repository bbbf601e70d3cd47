package org.agatestream.server

import org.agatestream.core.BatchConcurrency

/** The items that this VM may run at once, shared by its chunks. */
internal class ItemSlots {
    private var concurrency = BatchConcurrency()
    private var running = 0

    /** Returns whether another item may start. */
    @Synchronized
    fun hasFree(): Boolean = running < concurrency.slots

    /** Takes up to [wanted] slots and returns how many. */
    @Synchronized
    fun take(wanted: Int): Int {
        val taken = minOf(wanted, concurrency.slots - running).coerceAtLeast(0)
        running += taken
        return taken
    }

    /** Gives a slot back after an item ended, or gave way to online requests. */
    @Synchronized
    fun giveBack(yielded: Boolean) {
        concurrency = if (yielded) concurrency.afterYield(running) else concurrency.afterEnd()
        running--
    }
}
