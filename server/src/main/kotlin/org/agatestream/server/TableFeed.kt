package org.agatestream.server

import kotlinx.coroutines.delay
import org.agatestream.core.RowPage
import org.agatestream.core.RowStore
import org.agatestream.core.StoreRead
import org.agatestream.core.StoredRow
import kotlin.time.Duration.Companion.milliseconds
import kotlin.time.Duration.Companion.seconds

/** Follows a table of the store: reads it whole, then its changes, and again from the start after any gap. */
internal class TableFeed<S>(
    private val store: RowStore,
    private val table: String,
    /** Reads the whole table and the version from which its changes go on; null if the store does not answer. */
    private val readWhole: suspend () -> Pair<S, Long>?,
    private val onWhole: (S, Long) -> Unit,
    private val onChanges: (List<StoredRow>, Long) -> Unit,
) {
    suspend fun run() {
        while (true) {
            val read = readWhole()
            if (read == null) {
                delay(RETRY_PAUSE)
                continue
            }
            onWhole(read.first, read.second)
            follow(read.second)
        }
    }

    /** Returns once changes may have been missed, as after a feed that was away. */
    private suspend fun follow(from: Long) {
        var version = from
        while (true) {
            when (val read = store.changes(table, version, FEED_WAIT)) {
                is StoreRead.Found -> {
                    if (read.value.rows.isNotEmpty()) onChanges(read.value.rows, read.value.version)
                    version = maxOf(version, read.value.version)
                }

                is StoreRead.Gone -> {
                    EventLog.info("feed_reset", "table" to table, "after" to version, "reason" to "history_dropped")
                    return
                }

                is StoreRead.Unavailable -> {
                    EventLog.warn("feed_lost", "table" to table, "after" to version, "reason" to read.reason)
                    delay(RETRY_PAUSE)
                    return
                }
            }
        }
    }

    companion object {
        // Half of the shortest bound on a change of the manifest, so that a silent connection shows in time.
        private val FEED_WAIT = 1.seconds
        private val RETRY_PAUSE = 100.milliseconds

        /** A feed of the rows of a table that has only the empty part. */
        fun of(
            store: RowStore,
            table: String,
            onWhole: (List<StoredRow>, Long) -> Unit,
            onChanges: (List<StoredRow>, Long) -> Unit,
        ): TableFeed<List<StoredRow>> {
            val readWhole = suspend { store.readAll(table, "")?.let { it.rows to it.version } }
            return TableFeed(store, table, readWhole, onWhole, onChanges)
        }
    }
}

/** Reads all rows of a part, or returns null if the store does not answer. */
internal suspend fun RowStore.readAll(
    table: String,
    part: String,
    from: String? = null,
    to: String? = null,
): RowPage? {
    val rows = ArrayList<StoredRow>()
    var start = from
    while (true) {
        val page = (rows(table, part, start, to) as? StoreRead.Found)?.value ?: return null
        rows += page.rows
        if (!page.hasMore || page.rows.isEmpty()) return RowPage(rows, page.version, hasMore = false)
        // The key after the last one.
        start = rows.last().name.key + '\u0000'
    }
}
