package org.agatestream.core

import kotlin.time.Duration
import kotlin.time.Duration.Companion.milliseconds
import kotlin.time.Duration.Companion.seconds

/** The time bounds that freshness and ownership rest on; they are the same on all VMs. */
public data class FreshnessPolicy(
    /** How old a VM's knowledge may be, by its own clock, before it stops serving. */
    val bound: Duration = 3.seconds,
    /** The assumed greatest error of a monotonic clock's rate, as a fraction. */
    val drift: Double = 0.01,
    /** How long a peer's confirmation of a change counts, and how long a restarted VM waits before peers' answers do. */
    val ackWindow: Duration = 2.seconds,
    /** How long after its decision an owner's answer may still take effect: the longest timeout of an ask to an owner. */
    val answerMargin: Duration = 250.milliseconds,
    /** The fraction of the planned VMs that a majority exceeds. */
    val majority: Double = 0.5,
    /** How long after the start of its process a VM doesn't rely on what peers confirm. */
    val restartWait: Duration = onAnyClock(ackWindow, drift),
    /** How long after a plan became effective its owners wait for the owners before them to stop. */
    val takeoverWait: Duration = onAnyClock(bound, drift) + answerMargin,
) {
    /** Returns whether [count] of [total] VMs are a majority. */
    public fun isMajority(
        count: Int,
        total: Int,
    ): Boolean = count > total * majority

    private companion object {
        /** Returns the span on one clock that lasts at least as long as [span] on any other clock. */
        fun onAnyClock(
            span: Duration,
            drift: Double,
        ): Duration = span * ((1 + drift) / (1 - drift))
    }
}
