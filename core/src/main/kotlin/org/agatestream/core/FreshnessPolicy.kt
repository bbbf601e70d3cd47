package org.agatestream.core

import kotlin.time.Duration
import kotlin.time.Duration.Companion.milliseconds
import kotlin.time.Duration.Companion.seconds

/** The time bounds for freshness and ownership; they must be the same on all VMs. */
public data class FreshnessPolicy(
    /** The maximum age of a VM's knowledge, by its own clock, with which it may serve. */
    val maxAge: Duration = 3.seconds,
    /** The assumed maximum rate error of a monotonic clock, as a fraction. */
    val drift: Double = 0.01,
    /** The validity of a peer's confirmation of a change, and the time for which a restarted VM ignores peers. */
    val ackWindow: Duration = 2.seconds,
    /** How long after a decision an owner's response may take effect: the longest timeout of a request to an owner. */
    val responseMargin: Duration = 250.milliseconds,
    /** The fraction of the planned VMs that a majority must exceed. */
    val majority: Double = 0.5,
    /** How long after its process started a VM ignores evidence from peers. */
    val restartWait: Duration = atLeastOnAnyClock(ackWindow, drift),
    /** How long after a plan became effective new owners wait for the previous owners to stop. */
    val takeoverWait: Duration = atLeastOnAnyClock(maxAge, drift) + responseMargin,
) {
    /** Returns whether [count] of [total] VMs form a majority. */
    public fun isMajority(
        count: Int,
        total: Int,
    ): Boolean = count > total * majority

    private companion object {
        /** Returns the span on one clock that lasts at least as long as [span] on any other clock. */
        fun atLeastOnAnyClock(
            span: Duration,
            drift: Double,
        ): Duration = span * ((1 + drift) / (1 - drift))
    }
}
