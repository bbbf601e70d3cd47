package org.agatestream.server

import org.agatestream.core.MonotonicTime
import org.agatestream.core.VmId

/** Identifies one share of an owned limit; [count] is how many shares the limit has. */
public data class OwnedShare(
    val key: String,
    val share: Int = 0,
    val count: Int = 1,
)

/** Determines the owners of limit shares and since when this VM may act as owner. */
public interface ShareRights {
    /** Returns the owner of each of the [count] shares of [key]; empty while there is no plan. */
    public fun owners(
        key: String,
        count: Int,
    ): List<VmId>

    /**
     * Returns since when this VM has owned [share] without interruption; null if it may not act as owner at [now].
     *
     * If the time is later than the one returned before, ownership was interrupted and the owner must reset its state.
     */
    public fun ownedSince(
        share: OwnedShare,
        now: MonotonicTime,
    ): MonotonicTime?

    /** Returns whether [vm] has been removed from the platform's VM list. */
    public fun isGone(vm: VmId): Boolean
}
