package org.agatestream.core

import kotlin.time.Duration

/** The phase of a VM's shutdown. */
public sealed interface ShutdownState {
    /** The VM accepts requests. */
    public data object Running : ShutdownState

    /** The VM is no longer in new address lists, but accepts callers that still use its address until [openUntil]. */
    public data class Draining(
        val openUntil: MonotonicTime,
        val closeAt: MonotonicTime,
    ) : ShutdownState

    /** The VM refuses new requests and waits for requests in flight until [closeAt]. */
    public data class Closing(
        val closeAt: MonotonicTime,
    ) : ShutdownState

    /** The process may exit. */
    public data object Closed : ShutdownState
}

/** The state of a VM; the names are the states of the chart `vm`. */
public enum class VmState {
    SERVING,
    DRAINING,
    CLOSING,
    CLOSED,
}

/** An event of a VM; the names are the events of the chart `vm`. */
public enum class VmEvent {
    TERMINATE,

    /** No caller uses this VM's address any longer. */
    ENTRY_TTL_OVER,

    /** No request is in flight, or the time limit for them has passed. */
    CALLS_DONE,
}

/** Starts a shutdown: the VM stays open for [entryTtl], then waits up to [grace] for requests in flight. */
public fun ShutdownState.begin(
    now: MonotonicTime,
    entryTtl: Duration,
    grace: Duration,
): ShutdownState =
    when (vmChart.next(toVmState(), VmEvent.TERMINATE)) {
        is Step.Moved -> ShutdownState.Draining(now + entryTtl, now + entryTtl + grace)
        Step.Ignored, Step.Refused -> this
    }

/** Returns whether a request that may take up to [atMost] can end before the VM closes if it is accepted at [now]. */
public fun ShutdownState.admits(
    now: MonotonicTime,
    atMost: Duration,
): Boolean =
    when (this) {
        is ShutdownState.Running -> true
        is ShutdownState.Draining -> atMost <= closeAt - now
        is ShutdownState.Closing, ShutdownState.Closed -> false
    }

/** Advances a shutdown; [runningCalls] is the number of requests in flight. */
public fun ShutdownState.advance(
    now: MonotonicTime,
    runningCalls: Int,
): ShutdownState {
    val event = eventAt(now, runningCalls) ?: return this
    return when (val step = vmChart.next(toVmState(), event)) {
        is Step.Moved -> enter(step.state).advance(now, runningCalls)
        Step.Ignored, Step.Refused -> this
    }
}

private val vmChart: TypedChart<VmState, VmEvent> = TypedChart.load("vm")

private fun ShutdownState.toVmState(): VmState =
    when (this) {
        is ShutdownState.Running -> VmState.SERVING
        is ShutdownState.Draining -> VmState.DRAINING
        is ShutdownState.Closing -> VmState.CLOSING
        is ShutdownState.Closed -> VmState.CLOSED
    }

private fun ShutdownState.eventAt(
    now: MonotonicTime,
    runningCalls: Int,
): VmEvent? =
    when (this) {
        is ShutdownState.Draining -> VmEvent.ENTRY_TTL_OVER.takeIf { now >= openUntil }
        is ShutdownState.Closing -> VmEvent.CALLS_DONE.takeIf { runningCalls == 0 || now >= closeAt }
        is ShutdownState.Running, ShutdownState.Closed -> null
    }

private fun ShutdownState.enter(state: VmState): ShutdownState =
    if (state == VmState.CLOSING && this is ShutdownState.Draining) {
        ShutdownState.Closing(closeAt)
    } else {
        ShutdownState.Closed
    }
