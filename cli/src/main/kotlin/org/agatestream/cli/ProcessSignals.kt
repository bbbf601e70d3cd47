package org.agatestream.cli

import kotlinx.coroutines.CompletableDeferred
import org.agatestream.server.EventLog
import sun.misc.Signal
import java.util.concurrent.CountDownLatch
import kotlin.concurrent.thread

/**
 * Runs [start], waits for SIGTERM or SIGINT, runs [stop] and ends the process.
 *
 * A signal that comes before [start] has returned takes effect once it has. If [start] fails, nothing is stopped, and the
 * exception is passed on.
 */
internal suspend fun runUntilTerminated(
    start: suspend () -> Unit,
    stop: suspend () -> Unit,
) {
    val signalled = CompletableDeferred<Unit>()
    val stopped = CountDownLatch(1)
    // The JVM exits when the hook returns, so the hook waits for the shutdown.
    val hook =
        thread(start = false) {
            signalled.complete(Unit)
            stopped.await()
            Runtime.getRuntime().halt(ExitStatus.DONE.code)
        }
    Runtime.getRuntime().addShutdownHook(hook)
    try {
        start()
    } catch (e: Throwable) {
        withdraw(hook)
        stopped.countDown()
        throw e
    }
    signalled.await()
    stop()
    EventLog.close()
    stopped.countDown()
}

private fun withdraw(hook: Thread) {
    try {
        Runtime.getRuntime().removeShutdownHook(hook)
    } catch (_: IllegalStateException) {
        // The process ends already.
    }
}

/** Runs [reload] on each SIGHUP, which would otherwise terminate the process. */
internal fun onHangUp(reload: () -> Unit) {
    Signal.handle(Signal("HUP")) { reload() }
}
