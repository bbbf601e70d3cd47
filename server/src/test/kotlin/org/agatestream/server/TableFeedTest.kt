package org.agatestream.server

import io.kotest.assertions.nondeterministic.eventually
import io.kotest.core.spec.style.FunSpec
import io.kotest.matchers.shouldBe
import kotlinx.coroutines.cancelAndJoin
import kotlinx.coroutines.coroutineScope
import kotlinx.coroutines.launch
import org.agatestream.core.RowChange
import org.agatestream.core.RowName
import java.util.concurrent.CopyOnWriteArrayList
import java.util.concurrent.atomic.AtomicBoolean
import kotlin.time.Duration.Companion.seconds

private val NAME = RowName("table", "", "key")

private suspend fun FakeRowStore.put(text: String) =
    write(emptyMap(), listOf(RowChange(NAME, text.encodeToByteArray())))

class TableFeedTest :
    FunSpec({
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
