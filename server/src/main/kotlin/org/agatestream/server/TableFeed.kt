package org.agatestream.server

import kotlinx.coroutines.delay
import org.agatestream.core.RowPage
import org.agatestream.core.RowStore
import org.agatestream.core.StoreRead
import org.agatestream.core.StoreTime
import org.agatestream.core.StoredRow
import kotlin.time.Duration.Companion.milliseconds
import kotlin.time.Duration.Companion.seconds

/** Follows a table of the store: reads it in full, then its changes, and starts over after any gap. */
internal class TableFeed<S>(
    private val store: RowStore,
    private val table: String,
    /** Returns the full table and the version from which to follow its changes; null if the store does not answer. */
    private val readSnapshot: suspend () -> Pair<S, Long>?,
    private val onSnapshot: (S, Long) -> Unit,
    private val onChanges: (RowPage) -> Unit,
) {
    suspend fun run() {
        while (true) {
            val read = readSnapshot()
            if (read == null) {
                delay(RETRY_DELAY)
                continue
            }
            onSnapshot(read.first, read.second)
            follow(read.second)
        }
    }

    /** Follows the changes after version [from]; returns once some may have been missed, as after a failed call. */
    private suspend fun follow(from: Long) {
        var version = from
        while (true) {
            when (val read = store.changes(table, version, LONG_POLL_TIMEOUT)) {
                is StoreRead.Found -> {
                    if (read.value.rows.isNotEmpty()) onChanges(read.value)
                    version = maxOf(version, read.value.version)
                }

                is StoreRead.Gone -> {
                    EventLog.info("feed_reset", "table" to table, "after" to version, "reason" to "history_dropped")
                    return
                }

                is StoreRead.Unavailable -> {
                    EventLog.warn("feed_lost", "table" to table, "after" to version, "reason" to read.reason)
                    delay(RETRY_DELAY)
                    return
                }
            }
        }
    }

    companion object {
        // Half of the shortest time in which a manifest change must take effect, to detect a dead connection in time.
        private val LONG_POLL_TIMEOUT = 1.seconds
        private val RETRY_DELAY = 100.milliseconds

        /** Returns a feed of a table that has only the empty partition. */
        fun of(
            store: RowStore,
            table: String,
            onSnapshot: (List<StoredRow>, Long) -> Unit,
            onChanges: (List<StoredRow>, Long) -> Unit,
        ): TableFeed<List<StoredRow>> {
            val readSnapshot = suspend { store.readAll(table, "")?.let { it.rows to it.version } }
            return TableFeed(store, table, readSnapshot, onSnapshot) { onChanges(it.rows, it.version) }
        }
    }
}

/** Returns all rows of a partition, from key [from] until before [to], or null if the store does not answer. */
internal suspend fun RowStore.readAll(
    table: String,
    partition: String,
    from: String? = null,
    to: String? = null,
): RowPage? {
    val rows = ArrayList<StoredRow>()
    var readAt: StoreTime? = null
    var start = from
    while (true) {
        val page = (rows(table, partition, start, to) as? StoreRead.Found)?.value ?: return null
        rows += page.rows
        readAt = readAt ?: page.readAt
        if (!page.hasMore || page.rows.isEmpty()) return RowPage(rows, page.version, hasMore = false, readAt)
        // The smallest key after the last one.
        start = rows.last().name.key + '\u0000'
    }
}
