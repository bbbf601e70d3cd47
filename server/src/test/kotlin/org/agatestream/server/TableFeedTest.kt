package org.agatestream.server

import io.kotest.assertions.nondeterministic.eventually
import io.kotest.core.spec.style.FunSpec
import io.kotest.matchers.comparables.shouldBeGreaterThan
import io.kotest.matchers.shouldBe
import kotlinx.coroutines.cancelAndJoin
import kotlinx.coroutines.coroutineScope
import kotlinx.coroutines.delay
import kotlinx.coroutines.launch
import org.agatestream.core.MonotonicTime
import org.agatestream.core.RowChange
import org.agatestream.core.RowName
import org.agatestream.core.RowPage
import org.agatestream.core.RowStore
import org.agatestream.core.StoreRead
import org.agatestream.core.StoredRow
import java.util.concurrent.CopyOnWriteArrayList
import java.util.concurrent.atomic.AtomicBoolean
import kotlin.time.Duration
import kotlin.time.Duration.Companion.milliseconds
import kotlin.time.Duration.Companion.seconds

private val NAME = RowName("table", "", "key")

private suspend fun FakeRowStore.put(
    text: String,
    name: RowName = NAME,
) = write(emptyMap(), listOf(RowChange(name, text.encodeToByteArray())))

/** Returns one row a page, as the platform's store does for large rows; [beforeSecondPage] runs between two pages. */
private class PagedStore(
    private val rows: FakeRowStore,
    private val beforeSecondPage: suspend () -> Unit = {},
) : RowStore by rows {
    override suspend fun rows(
        table: String,
        partition: String,
        from: String?,
        to: String?,
        limit: Int?,
    ): StoreRead<RowPage> {
        if (from != null) beforeSecondPage()
        return rows.rows(table, partition, from, to, limit = 1)
    }

    override suspend fun changes(
        table: String,
        after: Long,
        wait: Duration,
    ): StoreRead<RowPage> {
        delay(5.milliseconds)
        val page = (rows.changes(table, after, wait) as StoreRead.Found).value
        return StoreRead.Found(RowPage(page.rows.take(1), page.version, page.rows.size > 1))
    }
}

class TableFeedTest :
    FunSpec({
        // Guards against a manifest that is never applied, as it changed between two pages of the operators' rows.
        test("the rows of several pages count as those of the first page's version") {
            val store = FakeRowStore()
            store.put("one")
            store.put("two", NAME.copy(key = "other"))
            val read = PagedStore(store) { store.put("changed") }.readAll("table", "")
            read?.rows?.size shouldBe 2
            read?.version shouldBe 2
        }

        // Guards against rows that are never seen, as more had changed than a page of changes holds.
        test("a feed reads on after the last row of a page that does not have all changes") {
            val store = FakeRowStore()
            val seen = CopyOnWriteArrayList<String>()
            val apply = { rows: List<StoredRow>, _: Long -> seen += rows.mapNotNull { it.value?.decodeToString() } }
            val feed =
                TableFeed.of(
                    PagedStore(store),
                    "table",
                    { _, _ -> seen += "read" },
                    { rows, it -> apply(rows, it) },
                )
            coroutineScope {
                val run = launch { feed.run() }
                try {
                    eventually(3.seconds) { seen.toList() shouldBe listOf("read") }
                    for (key in listOf("a", "b", "c")) store.put(key, NAME.copy(key = key))
                    eventually(3.seconds) { seen.toList() shouldBe listOf("read", "a", "b", "c") }
                } finally {
                    run.cancelAndJoin()
                }
            }
        }

        // Guards against a VM that was paused and takes the answer that waited for it for the present state.
        test("an answer that is read late tells the state of the time at which the store gave it") {
            val late =
                object : RowStore by FakeRowStore() {
                    override suspend fun changes(
                        table: String,
                        after: Long,
                        wait: Duration,
                    ): StoreRead<RowPage> {
                        delay(wait + 1.seconds)
                        return StoreRead.Found(RowPage(emptyList(), after, hasMore = false))
                    }
                }
            val current = CopyOnWriteArrayList<MonotonicTime>()
            val feed = TableFeed.of(late, "table", { _, _ -> }, { _, _ -> }, onCurrent = { current += it })
            coroutineScope {
                val run = launch { feed.run() }
                try {
                    eventually(5.seconds) { current.size shouldBe 2 }
                    (MonotonicTime.now() - current.last()) shouldBeGreaterThan 900.milliseconds
                } finally {
                    run.cancelAndJoin()
                }
            }
        }

        // Guards against a row that ends the feed of its table for good.
        test("a feed goes on after rows that its reader fails on") {
            val store = FakeRowStore()
            store.put("odd")
            val isOddRead = AtomicBoolean()
            val seen = CopyOnWriteArrayList<String>()
            val feed =
                TableFeed.of(
                    PolledStore(store),
                    "table",
                    { rows, _ ->
                        val texts = rows.mapNotNull { it.value?.decodeToString() }
                        if ("odd" in texts) {
                            isOddRead.set(true)
                            error("odd row")
                        }
                        seen += texts
                    },
                    { rows, _ -> seen += rows.mapNotNull { it.value?.decodeToString() } },
                )
            coroutineScope {
                val run = launch { feed.run() }
                try {
                    eventually(3.seconds) { isOddRead.get() shouldBe true }
                    store.put("sound")
                    eventually(3.seconds) { seen.last() shouldBe "sound" }
                    store.put("later")
                    eventually(3.seconds) { seen.last() shouldBe "later" }
                } finally {
                    run.cancelAndJoin()
                }
            }
        }
    })
