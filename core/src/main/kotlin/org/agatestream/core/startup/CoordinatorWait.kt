package org.agatestream.core.startup

import org.agatestream.core.ErrorKind
import kotlin.time.Duration
import kotlin.time.Duration.Companion.seconds

/** A request that a VM without a coordinator can't place within its own share of the limits. */
public data class CoordinatorWait(
    val refusal: ErrorKind,
    /** When this VM's own share allows the request. */
    val retryAfter: Duration,
    /** The time left until the request is refused if it has no slot. */
    val timeLeft: Duration,
    /** For how long this VM has had no coordinator. */
    val missingFor: Duration,
    /** The number of requests that wait already. */
    val held: Int,
)

/**
 * Returns how long the request waits for a coordinator or for this VM's share, or null if it is refused at once.
 *
 * After all VMs restart at once, the share of a single VM admits less than one request of most workspaces, although the
 * fleet is far below their rates. A coordinator that is missing for longer is probably out of this VM's reach.
 */
public fun CoordinatorWait.holdTime(): Duration? {
    val isPassing = refusal == ErrorKind.RATE_EXCEEDED && missingFor < MAX_MISSING
    if (!isPassing || held >= MAX_HELD) return null
    return minOf(retryAfter, timeLeft, MAX_MISSING).takeIf { it.isPositive() }
}

// A coordinator is claimed, named and heard within about 1 s after the first VM serves again; small VMs take longer.
private val MAX_MISSING = 2.seconds

// Each held request keeps its connection's buffers of some kilobytes.
private const val MAX_HELD = 128
