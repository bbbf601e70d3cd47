package org.agatestream.http

import java.util.concurrent.atomic.AtomicLong

/**
 * The number of bytes of unfinished answers that a VM may hold at once, over all its connections to servers.
 *
 * A limit for each answer alone does not bound memory: many servers in trouble may send without end at the same time.
 */
public class BufferBudget(
    private val maxBytes: Long,
) {
    private val used = AtomicLong()

    /** The number of bytes in use. */
    public val usedBytes: Long get() = used.get()

    /** Changes a holding from [from] to [to] bytes; returns false, and changes nothing, if that exceeds the budget. */
    public fun tryResize(
        from: Int,
        to: Int,
    ): Boolean {
        val change = (to - from).toLong()
        val after = used.addAndGet(change)
        if (change <= 0 || after <= maxBytes) return true
        used.addAndGet(-change)
        return false
    }

    /** Returns [bytes] to the budget. */
    public fun release(bytes: Int) {
        used.addAndGet(-bytes.toLong())
    }

    public companion object {
        /** A budget without a limit. */
        public fun unlimited(): BufferBudget = BufferBudget(Long.MAX_VALUE)
    }
}
