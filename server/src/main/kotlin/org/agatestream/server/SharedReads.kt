package org.agatestream.server

import kotlinx.coroutines.CoroutineScope
import kotlinx.coroutines.CoroutineStart
import kotlinx.coroutines.Deferred
import kotlinx.coroutines.async
import kotlinx.coroutines.sync.Semaphore
import kotlinx.coroutines.sync.withPermit

/**
 * Reads that several callers may wait for, each made once and at most [maxAtOnce] at the same time.
 *
 * A read goes on in [scope] when a caller stops waiting, so that the next one need not begin it anew. Not thread-safe.
 */
internal class SharedReads<T>(
    private val scope: CoroutineScope,
    maxAtOnce: Int,
) {
    private val reads = HashMap<String, Deferred<T>>()
    private val permits = Semaphore(maxAtOnce)

    /** The number of reads that are not complete, with those that wait for others. */
    val pending: Int get() = reads.size

    /** Returns whether a read of [name] is pending. */
    operator fun contains(name: String): Boolean = name in reads

    /** Returns the result of the pending read of [name], or of [read] if there is none. */
    suspend fun await(
        name: String,
        read: suspend () -> T,
    ): T {
        val pending =
            reads.getOrPut(name) {
                scope.async(start = CoroutineStart.LAZY) {
                    try {
                        permits.withPermit { read() }
                    } finally {
                        reads -= name
                    }
                }
            }
        return pending.await()
    }
}
