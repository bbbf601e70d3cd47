package org.agatestream.server

import kotlinx.coroutines.delay
import org.agatestream.core.RowPage
import org.agatestream.core.RowStore
import org.agatestream.core.StoreRead
import kotlin.time.Duration
import kotlin.time.Duration.Companion.milliseconds

/** Answers a wait for changes of [rows] after a moment, whether or not there are any. */
internal class PolledStore(
    private val rows: FakeRowStore,
) : RowStore by rows {
    override suspend fun changes(
        table: String,
        after: Long,
        wait: Duration,
    ): StoreRead<RowPage> {
        delay(5.milliseconds)
        return rows.changes(table, after, wait)
    }
}
