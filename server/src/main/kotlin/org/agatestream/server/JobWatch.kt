package org.agatestream.server

import kotlinx.coroutines.CoroutineScope
import kotlinx.coroutines.Job
import kotlinx.coroutines.delay
import kotlinx.coroutines.launch
import kotlin.time.Duration.Companion.milliseconds

/** Follows the store's jobs for one coordinator, and starts over when the coordinator must be confirmed. */
internal class JobWatch(
    private val scope: CoroutineScope,
    /** Reads from the store who coordinates; returns whether the store answered. */
    private val readCoordinator: suspend () -> Boolean,
    /** Returns a watcher that calls its argument whenever it has read all jobs. */
    private val newWatcher: (() -> Unit) -> JobWatcher,
    /** Called with the number of a check that found all jobs read. */
    private val onConfirmed: (Int) -> Unit,
) {
    private var current: Job? = null
    private var isStopped = false
    private var pendingChecks = 0

    /** Starts following the jobs. */
    fun start() {
        replace {}
    }

    /** Reads from the store who coordinates and, if that is still this VM, all jobs. */
    fun confirm(number: Int) {
        scope.launch {
            pendingChecks++
            while (!isStopped && !readCoordinator()) delay(RETRY_INTERVAL)
            pendingChecks--
            if (isStopped) return@launch
            EventLog.info("role_read", "check" to number, "pending" to pendingChecks)
            replace {
                EventLog.info("jobs_loaded", "check" to number)
                onConfirmed(number)
            }
        }
    }

    fun stop() {
        isStopped = true
        current?.cancel()
    }

    private fun replace(onLoaded: () -> Unit) {
        current?.cancel()
        current = newWatcher(onLoaded).start(scope)
    }

    private companion object {
        val RETRY_INTERVAL = 100.milliseconds
    }
}
