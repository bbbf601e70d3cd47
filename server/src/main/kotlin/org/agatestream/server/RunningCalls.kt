package org.agatestream.server

import kotlinx.coroutines.CompletableJob
import kotlinx.coroutines.Job
import org.agatestream.core.Caller
import org.agatestream.core.FleetView
import org.agatestream.core.stillPermits
import java.util.concurrent.ConcurrentHashMap

/** The running requests of callers, so that those whose key is withdrawn can be ended. */
internal class RunningCalls(
    private val coordination: Coordination,
) {
    private val running = ConcurrentHashMap.newKeySet<Entry>()

    init {
        coordination.onChange { endWithdrawn(it.fleet) }
    }

    /** Runs [block] with a job that completes when the key of [caller] is withdrawn. */
    suspend fun <T> track(
        caller: Caller?,
        block: suspend (withdrawn: Job) -> T,
    ): T {
        if (caller == null) return block(Job())
        val entry = Entry(caller, Job())
        running.add(entry)
        // The key may have been withdrawn between its check and the line above.
        if (!coordination.fleet.stillPermits(caller)) entry.withdrawn.complete()
        try {
            return block(entry.withdrawn)
        } finally {
            running.remove(entry)
        }
    }

    private fun endWithdrawn(fleet: FleetView) {
        running.filter { !fleet.stillPermits(it.caller) }.forEach { it.withdrawn.complete() }
    }

    private class Entry(
        val caller: Caller,
        val withdrawn: CompletableJob,
    )
}
