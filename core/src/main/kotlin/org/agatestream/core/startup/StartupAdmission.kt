package org.agatestream.core.startup

import org.agatestream.core.MonotonicTime
import kotlin.time.Duration
import kotlin.time.Duration.Companion.milliseconds
import kotlin.time.Duration.Companion.seconds

/** What happens to a request at a VM that has not read all tables that placing a request requires. */
public sealed interface StartupAdmission {
    /** The request waits for the tables for at most [atMost]. */
    public data class Hold(
        public val atMost: Duration,
    ) : StartupAdmission

    /** The request is refused; the caller should retry after [retryAfter]. */
    public data class Refuse(
        public val retryAfter: Duration,
    ) : StartupAdmission
}

/** The state of a VM that is starting, and a request that arrives there. */
public data class StartupArrival(
    /** When the process started to read the tables. */
    val startedAt: MonotonicTime,
    /** The number of requests that wait already. */
    val held: Int,
    /** How long the caller waits for a response. */
    val callerTimeout: Duration,
    /** A value that differs between callers, such as a hash of the request's id. */
    val callerSeed: Int,
)

/**
 * Decides on a request that arrives at [now], before the tables are read.
 *
 * A reachable store answers the first reads within [EXPECTED_READ_TIME], which is less than a caller's retry takes.
 */
public fun StartupArrival.decide(now: MonotonicTime): StartupAdmission {
    val left = startedAt + MAX_HOLD_PHASE - now
    val atMost = minOf(left, MAX_HOLD, callerTimeout * HOLD_SHARE_OF_TIMEOUT)
    val mayHold = held < MAX_HELD && atMost.isPositive()
    return if (mayHold) StartupAdmission.Hold(atMost) else StartupAdmission.Refuse(retryAfter(now))
}

/** Returns when the tables are expected, spread over callers so that they do not return at the same moment. */
public fun StartupArrival.retryAfter(now: MonotonicTime): Duration {
    val elapsed = now - startedAt
    // An overdue read probably waits for an outage, so the estimate grows with the time that has passed.
    val estimate = if (elapsed < EXPECTED_READ_TIME) EXPECTED_READ_TIME - elapsed else elapsed / 2
    val base = estimate.coerceIn(MIN_RETRY_AFTER, MAX_RETRY_AFTER)
    return base * (1.0 + callerSeed.mod(SPREAD_STEPS).toDouble() / SPREAD_STEPS)
}

/** In two starts on loopback, the manifest was applied 164 and 186 ms after the VM listened; other VMs are slower. */
public val EXPECTED_READ_TIME: Duration = 300.milliseconds

// Each held request keeps its connection's buffers of some kilobytes.
private const val MAX_HELD = 128
private val MAX_HOLD = 400.milliseconds

// Later the store is probably out of reach, and the caller is better off at another VM.
private val MAX_HOLD_PHASE = 1.seconds
private const val HOLD_SHARE_OF_TIMEOUT = 0.2
private val MIN_RETRY_AFTER = 100.milliseconds
private val MAX_RETRY_AFTER = 1.seconds
private const val SPREAD_STEPS = 64
