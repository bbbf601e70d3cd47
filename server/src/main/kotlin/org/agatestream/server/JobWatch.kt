package org.agatestream.server

import kotlinx.coroutines.CoroutineScope
import kotlinx.coroutines.Job

/**
 * Follows the store's jobs for one coordinator, and starts over when the coordinator must be confirmed.
 *
 * A check is part of the watch that it starts, and each watch ends the one before it: work that an earlier pause began
 * does not outlive the next pause, in whichever order the store answers.
 */
internal class JobWatch(
    private val scope: CoroutineScope,
    /** Reads from the store who coordinates; returns whether the store answered. */
    private val readCoordinator: suspend () -> Boolean,
    /** Returns a watcher with the given checks; see [JobWatcher]. */
    private val newWatcher: (beforeRead: suspend () -> Boolean, onLoaded: () -> Unit) -> JobWatcher,
    /** Called with the number of a check that found all jobs read. */
    private val onConfirmed: (Int) -> Unit,
) {
    private var current: Job? = null
    private var isStopped = false

    /** Starts following the jobs. */
    fun start() {
        replace(newWatcher({ true }, {}))
    }

    /** Reads from the store who coordinates and, if that is still this VM, all jobs, until the store has answered. */
    fun confirm(number: Int) {
        replace(
            newWatcher(
                { readCoordinator().also { EventLog.info("role_read", "check" to number, "answered" to it) } },
                {
                    EventLog.info("jobs_loaded", "check" to number)
                    onConfirmed(number)
                },
            ),
        )
    }

    fun stop() {
        isStopped = true
        current?.cancel()
    }

    private fun replace(watcher: JobWatcher) {
        if (isStopped) return
        current?.cancel()
        current = watcher.start(scope)
    }
}
