package org.agatestream.server

import kotlinx.coroutines.CompletableJob
import kotlinx.coroutines.Job
import org.agatestream.core.Caller
import org.agatestream.core.FleetView
import org.agatestream.core.isStillAuthorized
import java.util.concurrent.ConcurrentHashMap

/** Tracks the callers' requests in flight, so that those whose key is withdrawn can be cancelled. */
internal class RunningCalls(
    private val coordination: Coordination,
) {
    private val running = ConcurrentHashMap.newKeySet<Entry>()

    init {
        coordination.onChange { cancelWithdrawn(it.fleet) }
    }

    /** Runs [block] with a job that completes when the key of [caller] is withdrawn. */
    suspend fun <T> runTracked(
        caller: Caller?,
        block: suspend (keyWithdrawn: Job) -> T,
    ): T {
        if (caller == null) return block(Job())
        val entry = Entry(caller, Job())
        running.add(entry)
        // The key may have been withdrawn between its check and the line above.
        if (!coordination.fleet.isStillAuthorized(caller)) entry.keyWithdrawn.complete()
        try {
            return block(entry.keyWithdrawn)
        } finally {
            running.remove(entry)
        }
    }

    private fun cancelWithdrawn(fleet: FleetView) {
        running.filter { !fleet.isStillAuthorized(it.caller) }.forEach { it.keyWithdrawn.complete() }
    }

    private class Entry(
        val caller: Caller,
        val keyWithdrawn: CompletableJob,
    )
}
