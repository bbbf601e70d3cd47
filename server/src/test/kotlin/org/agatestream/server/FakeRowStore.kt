package org.agatestream.server

import kotlinx.coroutines.CompletableDeferred
import kotlinx.coroutines.CoroutineScope
import kotlinx.coroutines.Dispatchers
import org.agatestream.core.RowChange
import org.agatestream.core.RowName
import org.agatestream.core.RowPage
import org.agatestream.core.RowStore
import org.agatestream.core.StoreRead
import org.agatestream.core.StoreTime
import org.agatestream.core.StoredRow
import org.agatestream.core.WriteResult
import kotlin.time.Duration

/** Runs what a store's user leaves behind, on the thread that continues it. */
internal val UNCONFINED = CoroutineScope(Dispatchers.Unconfined)

/** A fault of one write to a [FakeRowStore]. */
internal enum class StoreFault {
    /** The write takes effect, but its answer is lost. */
    ANSWER_LOST,

    /** The write does not take effect, and no answer arrives. */
    SILENT,

    /** The store refuses the write. */
    REFUSED,
}

/** An in-memory store with the semantics of the platform's, which fails on demand. */
internal class FakeRowStore : RowStore {
    val rows = LinkedHashMap<RowName, StoredRow>()
    val objects = HashMap<String, ByteArray>()
    val faults = ArrayDeque<StoreFault>()
    var isDown = false

    /** The objects that were asked for, in order. */
    val objectReads = ArrayList<String>()

    /** Completes the reads of objects; null if they need not wait. */
    var objectsArrive: CompletableDeferred<Unit>? = null

    /** The store's clock; null if its answers do not tell the time. */
    var now: StoreTime? = null
    private var version = 0L

    override suspend fun rows(
        table: String,
        partition: String,
        from: String?,
        to: String?,
        limit: Int?,
    ): StoreRead<RowPage> {
        if (isDown) return StoreRead.Unavailable("down")
        val all =
            rows.values
                .filter { it.name.table == table && it.name.partition == partition }
                .filter { (from == null || it.name.key >= from) && (to == null || it.name.key < to) }
                .sortedBy { it.name.key }
        val page = all.take(limit ?: all.size)
        return StoreRead.Found(RowPage(page, version, page.size < all.size, now))
    }

    override suspend fun partitions(table: String): StoreRead<List<String>> =
        if (isDown) {
            StoreRead.Unavailable("down")
        } else {
            StoreRead.Found(
                rows.keys
                    .filter { it.table == table }
                    .map { it.partition }
                    .distinct()
                    .sorted(),
            )
        }

    override suspend fun changes(
        table: String,
        after: Long,
        wait: Duration,
    ): StoreRead<RowPage> {
        if (isDown) return StoreRead.Unavailable("down")
        val changed = rows.values.filter { it.name.table == table && it.version > after }.sortedBy { it.version }
        return StoreRead.Found(RowPage(changed, version, false, now))
    }

    override suspend fun write(
        expected: Map<RowName, Long>,
        changes: List<RowChange>,
    ): WriteResult {
        if (isDown) return WriteResult.NotDone("down")
        val fault = faults.removeFirstOrNull()
        if (fault == StoreFault.SILENT) return WriteResult.Unknown("silent")
        if (fault == StoreFault.REFUSED) return WriteResult.NotDone("refused")
        val result = apply(expected, changes)
        return if (fault == StoreFault.ANSWER_LOST) WriteResult.Unknown("lost") else result
    }

    override suspend fun putObject(
        name: String,
        bytes: ByteArray,
    ): WriteResult {
        if (isDown) return WriteResult.NotDone("down")
        objects.putIfAbsent(name, bytes)
        return WriteResult.Written
    }

    override suspend fun getObject(name: String): StoreRead<ByteArray> {
        objectReads += name
        objectsArrive?.await()
        return if (isDown) {
            StoreRead.Unavailable("down")
        } else {
            objects[name]?.let { StoreRead.Found(it) }
                ?: StoreRead.Gone
        }
    }

    override suspend fun deleteObject(name: String): WriteResult {
        objects -= name
        return WriteResult.Written
    }

    private fun apply(
        expected: Map<RowName, Long>,
        changes: List<RowChange>,
    ): WriteResult {
        if (expected.any { (name, wanted) -> (rows[name]?.version ?: 0L) != wanted }) {
            return WriteResult.Conflict(expected.keys.mapNotNull { rows[it] })
        }
        version++
        for (change in changes) {
            if (change.value == null) {
                rows -= change.name
            } else {
                rows[change.name] = StoredRow(change.name, version, change.value)
            }
        }
        return WriteResult.Written
    }
}
