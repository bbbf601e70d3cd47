package org.agatestream.core

import kotlin.time.Duration
import kotlin.time.Duration.Companion.milliseconds
import kotlin.time.Duration.Companion.seconds

/** The inputs of a VM's decision whether to claim the coordinator role. */
public data class CoordinatorClaimInput(
    /** The coordinator named in the store, or null if there is none. */
    val namedCoordinator: VmId?,
    /** Since when this VM has not received responses from the named coordinator; null if it does. */
    val unreachableSince: MonotonicTime?,
    /** True if the named coordinator asks to be replaced. */
    val isResigning: Boolean,
    /** True if the named process has ended, because another process runs on its VM. */
    val isReplaced: Boolean,
    /** The number of peers that responded to the query whether they can reach the named coordinator. */
    val peersResponding: Int,
    /** How many of those peers can reach it. */
    val peersReachingIt: Int,
    /** The number of known peers. */
    val peersKnown: Int,
    /** When the store last named another coordinator, or when this VM started to observe the store. */
    val namedAt: MonotonicTime,
    /** True if this VM has less CPU than a coordinator should have. */
    val isSmallVm: Boolean,
)

/**
 * Returns whether this VM should claim the coordinator role in the store.
 *
 * A partitioned VM must not replace a coordinator that its peers can reach. If no peer responds, this VM may be the
 * only one left, so it claims the role after a longer timeout, at most once per [LONE_CLAIM_INTERVAL].
 */
public fun CoordinatorClaimInput.shouldClaim(now: MonotonicTime): Boolean {
    val delay = if (isSmallVm) SMALL_VM_DELAY else Duration.ZERO
    if (namedCoordinator == null) return now - namedAt >= delay
    if (isResigning || isReplaced) return now - (unreachableSince ?: namedAt) >= delay
    val since = unreachableSince ?: return false
    val silence = now - since - delay
    return when {
        peersReachingIt > 0 -> false
        peersResponding > 0 || peersKnown == 0 -> silence >= CLAIM_TIMEOUT
        else -> silence >= LONE_CLAIM_TIMEOUT && now - namedAt >= LONE_CLAIM_INTERVAL
    }
}

// One report without a response within 200 ms, and the next one.
private val CLAIM_TIMEOUT: Duration = 300.milliseconds

// Lets larger VMs claim first; they check again after 100 to 450 ms.
private val SMALL_VM_DELAY: Duration = 500.milliseconds

// Longer than a simultaneous restart of all VMs takes until the first of them responds.
private val LONE_CLAIM_TIMEOUT: Duration = 1500.milliseconds

// A partition of a single VM lasts a few seconds; one unnecessary change of coordinator in that time is acceptable.
private val LONE_CLAIM_INTERVAL: Duration = 8.seconds
