package org.agatestream.server

import kotlinx.coroutines.CancellationException
import kotlinx.coroutines.delay
import org.agatestream.core.Backoff
import org.agatestream.core.MonotonicTime
import org.agatestream.core.RowPage
import org.agatestream.core.RowStore
import org.agatestream.core.StoreRead
import org.agatestream.core.StoreTime
import org.agatestream.core.StoredRow
import kotlin.random.Random
import kotlin.time.Duration
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
    /** Returns how long to collect further changes after some have arrived, before asking for more. */
    private val collectFor: () -> Duration = { Duration.ZERO },
    /** Called with a time up to which all changes have been passed on. */
    private val onCurrent: (MonotonicTime) -> Unit = {},
    private val random: Random = Random.Default,
) {
    private var failures = 0

    suspend fun run() {
        while (true) {
            try {
                readAndFollow()
            } catch (e: CancellationException) {
                throw e
            } catch (e: Exception) {
                EventLog.error("feed_failed", e, "table" to table)
                awaitRetry()
            }
        }
    }

    private suspend fun readAndFollow() {
        val sentAt = MonotonicTime.now()
        val read = readSnapshot() ?: return awaitRetry()
        failures = 0
        onSnapshot(read.first, read.second)
        onCurrent(sentAt)
        follow(read.second)
    }

    private suspend fun awaitRetry() {
        failures++
        delay(RETRY_BACKOFF.delay(failures, random))
    }

    /** Follows the changes after version [from]; returns once some may have been missed, as after a failed call. */
    private suspend fun follow(from: Long) {
        var version = from
        while (true) {
            val sentAt = MonotonicTime.now()
            when (val read = store.changes(table, version, LONG_POLL_TIMEOUT)) {
                is StoreRead.Found -> {
                    val page = read.value.upToLastRow(version)
                    version = maxOf(version, page.version)
                    if (page.rows.isNotEmpty()) {
                        onChanges(page)
                        onCurrent(sentAt)
                        delay(collectFor())
                    } else {
                        // An answer that waited for this VM to run is older than its receipt.
                        onCurrent(sentAt + minOf(MonotonicTime.now() - sentAt, LONG_POLL_TIMEOUT))
                    }
                }

                is StoreRead.Gone -> {
                    EventLog.info("feed_reset", "table" to table, "after" to version, "reason" to "history_dropped")
                    return
                }

                is StoreRead.Unavailable -> {
                    EventLog.warn("feed_lost", "table" to table, "after" to version, "reason" to read.reason)
                    awaitRetry()
                    return
                }
            }
        }
    }

    companion object {
        // Half of the shortest time in which a manifest change must take effect, to detect a dead connection in time.
        private val LONG_POLL_TIMEOUT = 1.seconds

        // An unreachable store costs a VM a few calls a second; its return is noticed within half a second.
        private val RETRY_BACKOFF = Backoff(first = 100.milliseconds, max = 500.milliseconds)

        /** Returns a feed of a table that has only the empty partition. */
        fun of(
            store: RowStore,
            table: String,
            onSnapshot: (List<StoredRow>, Long) -> Unit,
            onChanges: (List<StoredRow>, Long) -> Unit,
            collectFor: () -> Duration = { Duration.ZERO },
            onCurrent: (MonotonicTime) -> Unit = {},
        ): TableFeed<List<StoredRow>> {
            val readSnapshot = suspend { store.readAll(table, "")?.let { it.rows to it.version } }
            return TableFeed(
                store = store,
                table = table,
                readSnapshot = readSnapshot,
                onSnapshot = onSnapshot,
                onChanges = { onChanges(it.rows, it.version) },
                collectFor = collectFor,
                onCurrent = onCurrent,
            )
        }
    }
}

/** Returns this page of changes after version [after] with the version up to which it has all of them. */
private fun RowPage.upToLastRow(after: Long): RowPage {
    val last = rows.lastOrNull()?.version ?: return this
    return if (hasMore && last > after) RowPage(rows, last, hasMore, readAt) else this
}

/**
 * Returns all rows of a partition, from key [from] until before [to], or null if the store does not answer.
 *
 * The version is that of the first page: the feed that follows it also has what changed between two pages.
 */
internal suspend fun RowStore.readAll(
    table: String,
    partition: String,
    from: String? = null,
    to: String? = null,
): RowPage? {
    val rows = ArrayList<StoredRow>()
    var version: Long? = null
    var readAt: StoreTime? = null
    var start = from
    while (true) {
        val page = (rows(table, partition, start, to) as? StoreRead.Found)?.value ?: return null
        rows += page.rows
        val firstVersion = version ?: page.version
        version = firstVersion
        readAt = readAt ?: page.readAt
        if (!page.hasMore || page.rows.isEmpty()) return RowPage(rows, firstVersion, hasMore = false, readAt)
        // The smallest key after the last one.
        start = rows.last().name.key + '\u0000'
    }
}
