package org.agatestream.server

import kotlinx.coroutines.CoroutineScope
import kotlinx.coroutines.withTimeoutOrNull
import org.agatestream.core.MonotonicTime
import org.agatestream.core.RowStore
import org.agatestream.core.StoreRead
import kotlin.time.Duration.Companion.milliseconds
import kotlin.time.Duration.Companion.seconds

/**
 * Objects that this VM reads from the store for others, which fetch them piece by piece.
 *
 * A piece is small, so that it takes a slow link little time and holds up no other message between two VMs for long.
 */
internal class RelayedObjects(
    private val store: RowStore,
    scope: CoroutineScope,
) {
    private class Held(
        val content: ByteArray,
        var usedAt: MonotonicTime,
    )

    private val held = HashMap<String, Held>()
    private val reads = SharedReads<String, StoreRead<ByteArray>>(scope, MAX_OBJECTS)

    /**
     * Returns the piece of the object [name] that begins at [from], or that the object is pending.
     *
     * Null if the store is not available, or if the object has no such position.
     */
    suspend fun piece(
        name: String,
        from: Int,
        now: MonotonicTime,
    ): PeerResponse? {
        held.values.removeAll { now - it.usedAt > RETENTION }
        val known = held[name]
        if (known != null) {
            known.usedAt = now
            return pieceOf(name, known.content, from)
        }
        if (name !in reads && held.size + reads.pending >= MAX_OBJECTS) return PENDING
        val read = withTimeoutOrNull(MAX_WAIT) { reads.await(name) { read(name) } } ?: return PENDING
        return if (read is StoreRead.Found) pieceOf(name, read.value, from) else read.toRelayed { PENDING }
    }

    private suspend fun read(name: String): StoreRead<ByteArray> {
        val read = store.getObject(name)
        if (read is StoreRead.Found) held[name] = Held(read.value, MonotonicTime.now())
        return read
    }

    private fun pieceOf(
        name: String,
        content: ByteArray,
        from: Int,
    ): RelayedRead? {
        if (from !in 0..content.size) return null
        val end = minOf(from + PIECE_BYTES, content.size)
        if (end == content.size) held -= name
        return RelayedRead(bytes = content.copyOfRange(from, end), total = content.size)
    }

    private companion object {
        const val PIECE_BYTES = 64 * 1024

        // Objects have up to 8 MiB, of a heap of 128 MB.
        const val MAX_OBJECTS = 2

        // Half of the time for which a VM waits for the answer of a relay.
        val MAX_WAIT = 500.milliseconds

        // A VM asks for the next piece at once; after this time it has gone to another relay.
        val RETENTION = 3.seconds
        val PENDING = RelayedRead(isPending = true)
    }
}
