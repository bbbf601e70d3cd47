package org.agatestream.server

import kotlinx.coroutines.Job
import kotlinx.coroutines.delay
import org.agatestream.core.ErrorKind
import org.agatestream.core.Failure
import org.agatestream.core.MonotonicTime
import org.agatestream.core.ShutdownState
import org.agatestream.core.admits
import org.agatestream.core.advance
import org.agatestream.core.begin
import kotlin.time.Duration
import kotlin.time.Duration.Companion.milliseconds

/** The failure of a request that outlasts the shutdown; it may have run. */
internal val CUT_BY_SHUTDOWN: Failure =
    Failure(ErrorKind.DEADLINE_EXCEEDED, "the VM stopped before the request ended")

/** Takes a VM out of service without interrupting requests in flight. */
public class GracefulShutdown(
    private val entryTtl: Duration,
    private val grace: Duration,
    private val clock: () -> MonotonicTime = MonotonicTime::now,
) {
    private val hooks = mutableListOf<suspend () -> Unit>()
    private val end = Job()

    /** Completes once the process may exit; what still runs then is to be ended and answered. */
    public val closed: Job get() = end

    /** The phase of the shutdown. */
    @Volatile
    public var state: ShutdownState = ShutdownState.Running
        private set

    /** True once the shutdown has begun. */
    public val hasBegun: Boolean get() = state != ShutdownState.Running

    /** Adds a hook to run before callers are refused, such as a handover of batch chunks; hooks run in order. */
    public fun onDrain(hook: suspend () -> Unit) {
        hooks.add(hook)
    }

    /** Returns whether new requests are refused. */
    public fun isRefusingRequests(): Boolean = state is ShutdownState.Closing || state is ShutdownState.Closed

    /** Returns whether a request that may take up to [atMost] can end before the VM closes if it is accepted at [now]. */
    public fun admits(
        now: MonotonicTime,
        atMost: Duration,
    ): Boolean = state.admits(now, atMost)

    /** Returns how long after [now] the VM closes; null unless it is draining. */
    public fun timeLeft(now: MonotonicTime): Duration? = (state as? ShutdownState.Draining)?.let { it.closeAt - now }

    /** Runs the shutdown to its end; [runningCalls] returns the number of requests in flight. */
    public suspend fun run(runningCalls: () -> Int) {
        enter(state.begin(clock(), entryTtl, grace), runningCalls())
        hooks.forEach { runHook(it) }
        while (state != ShutdownState.Closed) {
            enter(state.advance(clock(), runningCalls()), runningCalls())
            if (state != ShutdownState.Closed) delay(POLL_INTERVAL)
        }
    }

    private fun enter(
        next: ShutdownState,
        runningCalls: Int,
    ) {
        if (next == state) return
        state = next
        when (next) {
            is ShutdownState.Running -> {}

            is ShutdownState.Draining -> {
                log("shutdown_draining", runningCalls, "open_for" to entryTtl, "grace" to grace)
            }

            is ShutdownState.Closing -> {
                log("shutdown_closing", runningCalls)
            }

            is ShutdownState.Closed -> {
                log("shutdown_closed", runningCalls)
                end.complete()
            }
        }
    }

    private fun log(
        event: String,
        runningCalls: Int,
        vararg details: Pair<String, Any?>,
    ) {
        EventLog.info(event, "running" to runningCalls, *details)
    }

    private suspend fun runHook(hook: suspend () -> Unit) {
        try {
            hook()
        } catch (e: Exception) {
            EventLog.error("shutdown_hook_failed", e)
        }
    }

    private companion object {
        val POLL_INTERVAL = 50.milliseconds
    }
}
