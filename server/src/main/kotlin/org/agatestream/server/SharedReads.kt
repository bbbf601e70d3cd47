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
internal class SharedReads<K, T>(
    private val scope: CoroutineScope,
    maxAtOnce: Int,
) {
    private val reads = HashMap<K, Deferred<T>>()
    private val permits = Semaphore(maxAtOnce)

    /** The number of reads that are not complete, with those that wait for others. */
    val pending: Int get() = reads.size

    /** Returns whether a read of [key] is pending. */
    operator fun contains(key: K): Boolean = key in reads

    /** Returns the result of the pending read of [key], or of [read] if there is none. */
    suspend fun await(
        key: K,
        read: suspend () -> T,
    ): T {
        val pending =
            reads.getOrPut(key) {
                scope.async(start = CoroutineStart.LAZY) {
                    try {
                        permits.withPermit { read() }
                    } finally {
                        reads -= key
                    }
                }
            }
        return pending.await()
    }
}
