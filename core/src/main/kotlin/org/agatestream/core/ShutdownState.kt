package org.agatestream.core

import kotlin.time.Duration

/** How far a VM's shutdown has come. */
public sealed interface ShutdownState {
    /** The VM takes requests. */
    public data object Running : ShutdownState

    /** The VM is out of new entry answers and still serves the callers that hold its address, until [openUntil]. */
    public data class Draining(
        val openUntil: MonotonicTime,
        val closeAt: MonotonicTime,
    ) : ShutdownState

    /** The VM refuses new requests and waits for running ones, until [closeAt]. */
    public data class Closing(
        val closeAt: MonotonicTime,
    ) : ShutdownState

    /** The process may end. */
    public data object Closed : ShutdownState
}

/** Begins a shutdown that keeps the VM open for [entryTtl] and then waits up to [grace] for running requests. */
public fun ShutdownState.begin(
    now: MonotonicTime,
    entryTtl: Duration,
    grace: Duration,
): ShutdownState =
    when (this) {
        is ShutdownState.Running -> ShutdownState.Draining(now + entryTtl, now + entryTtl + grace)
        else -> this
    }

/** Moves a shutdown on; [runningCalls] is the number of requests that have not been answered in full. */
public fun ShutdownState.advance(
    now: MonotonicTime,
    runningCalls: Int,
): ShutdownState =
    when (this) {
        is ShutdownState.Running, ShutdownState.Closed -> {
            this
        }

        is ShutdownState.Draining -> {
            if (now < openUntil) this else ShutdownState.Closing(closeAt).advance(now, runningCalls)
        }

        is ShutdownState.Closing -> {
            if (runningCalls == 0 || now >= closeAt) ShutdownState.Closed else this
        }
    }
