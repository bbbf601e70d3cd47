package org.agatestream.core

import kotlin.time.Duration
import kotlin.time.Duration.Companion.milliseconds
import kotlin.time.Duration.Companion.seconds

/** What a VM knows when it decides whether to take the coordinator's place. */
public data class CoordinatorDoubt(
    /** The VM that the store names, or null if it names none. */
    val named: VmId?,
    /** Since when this VM has not heard the named one; null if it hears it. */
    val silentSince: MonotonicTime?,
    /** True if the named VM asks to be replaced. */
    val isResigning: Boolean,
    /** True if the named process has ended, as another one serves in its place. */
    val isReplaced: Boolean,
    /** The number of other VMs that were asked whether they hear the named one, and answered. */
    val peersReached: Int,
    /** How many of those hear it. */
    val peersHearing: Int,
    /** The number of other VMs that are known. */
    val peersKnown: Int,
    /** When the store last named another VM, or when this one began to look. */
    val namedAt: MonotonicTime,
    /** True if this VM has less of a processor than a coordinator should have. */
    val isSmall: Boolean,
)

/**
 * Decides whether this VM should ask the store to name it coordinator.
 *
 * A VM that is cut off must not take the place of one that the others hear. If no other VM answers, this one may be
 * the only one left, so it goes ahead after a longer silence, but not again and again.
 */
public fun CoordinatorDoubt.shouldClaim(now: MonotonicTime): Boolean {
    val delay = if (isSmall) SMALL_DELAY else Duration.ZERO
    if (named == null) return now - namedAt >= delay
    if (isResigning || isReplaced) return now - (silentSince ?: namedAt) >= delay
    val since = silentSince ?: return false
    val silence = now - since - delay
    return when {
        peersHearing > 0 -> false
        peersReached > 0 || peersKnown == 0 -> silence >= CLAIM_SILENCE
        else -> silence >= LONE_CLAIM_SILENCE && now - namedAt >= LONE_CLAIM_INTERVAL
    }
}

// A report that was not answered in 200 ms, and the next one.
private val CLAIM_SILENCE: Duration = 300.milliseconds

// Long enough for the claims of larger VMs, which look again after 100 to 450 ms.
private val SMALL_DELAY: Duration = 500.milliseconds

// Longer than a restart of all VMs at once takes until the first of them answers.
private val LONE_CLAIM_SILENCE: Duration = 1500.milliseconds

// The cut of a single VM lasts some seconds; one needless change of coordinator in that time is borne.
private val LONE_CLAIM_INTERVAL: Duration = 8.seconds
