package org.agatestream.server

import kotlinx.coroutines.CancellationException
import kotlinx.coroutines.CoroutineScope
import kotlinx.coroutines.Job
import kotlinx.coroutines.async
import kotlinx.coroutines.coroutineScope
import kotlinx.coroutines.ensureActive

/** Runs [block] and returns its result; cancels it and returns null if [stop] completes first. */
internal suspend fun <T : Any> runUntilCompleted(
    stop: Job,
    block: suspend CoroutineScope.() -> T,
): T? =
    coroutineScope {
        val work = async(block = block)
        val handle = stop.invokeOnCompletion { work.cancel() }
        try {
            work.await()
        } catch (e: CancellationException) {
            ensureActive()
            if (!stop.isCompleted) throw e
            null
        } finally {
            handle.dispose()
        }
    }
