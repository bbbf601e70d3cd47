package org.agatestream.server

import org.agatestream.core.MonotonicTime
import org.agatestream.core.VmId

/** Identifies one share of an owned limit; [count] is how many shares the limit has. */
public data class OwnedShare(
    val key: String,
    val share: Int = 0,
    val count: Int = 1,
)

/** Who owns the shares of limits, and since when this VM may act as owner. */
public interface ShareRights {
    /** Returns the owner of each of the [count] shares of [key]; empty while there is no plan. */
    public fun owners(
        key: String,
        count: Int,
    ): List<VmId>

    /**
     * Returns since when this VM has owned [share] without a break, or null if it may not act as its owner at [now].
     *
     * An owner that gets a later time than before has lost the share in between and starts anew.
     */
    public fun ownedSince(
        share: OwnedShare,
        now: MonotonicTime,
    ): MonotonicTime?

    /** Returns whether the platform's VM list has shown [vm] and shows it no more. */
    public fun isGone(vm: VmId): Boolean
}
