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

/** The state of a VM in the chart `vm`. */
public enum class VmState {
    SERVING,
    DRAINING,
    CLOSING,
    CLOSED,
}

/** What moves a VM on in the chart `vm`. */
public enum class VmEvent {
    TERMINATE,

    /** No caller holds this VM's address any more. */
    ENTRY_TTL_OVER,

    /** No request runs, or the time for them is over. */
    CALLS_DONE,
}

/** Begins a shutdown that keeps the VM open for [entryTtl] and then waits up to [grace] for running requests. */
public fun ShutdownState.begin(
    now: MonotonicTime,
    entryTtl: Duration,
    grace: Duration,
): ShutdownState =
    when (vmChart.next(toVmState(), VmEvent.TERMINATE)) {
        is Step.Moved -> ShutdownState.Draining(now + entryTtl, now + entryTtl + grace)
        Step.Ignored, Step.Refused -> this
    }

/** Moves a shutdown on; [runningCalls] is the number of requests that have not been answered in full. */
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
