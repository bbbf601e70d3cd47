package org.agatestream.core.placement

/** Decides whether runs fit in the memory of a server, in tokens. */
internal object TokenCapacity {
    /** Returns whether a run of [tokens] fits beside runs that occupy [used]; always if [memory] is not known. */
    fun fits(
        tokens: Int,
        used: Long,
        memory: Int?,
    ): Boolean {
        if (memory == null || tokens == 0) return true
        if (used == 0L) return tokens <= memory
        return used + tokens <= memory * USABLE_SHARE
    }

    /** Returns whether a run of [tokens] fits in no server, as each has [memory]. */
    fun exceeds(
        tokens: Int,
        memory: Int?,
    ): Boolean = memory != null && tokens > memory

    // Expected output sizes are correct at the median only; the reserve holds the excess of a few long outputs.
    private const val USABLE_SHARE = 0.9
}
