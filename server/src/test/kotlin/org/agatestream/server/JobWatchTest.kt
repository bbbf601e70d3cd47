package org.agatestream.server

import io.kotest.assertions.nondeterministic.eventually
import io.kotest.core.spec.style.FunSpec
import io.kotest.matchers.collections.shouldBeEmpty
import io.kotest.matchers.collections.shouldContain
import io.kotest.matchers.collections.shouldContainExactly
import io.kotest.matchers.shouldBe
import kotlinx.coroutines.CompletableDeferred
import kotlinx.coroutines.CoroutineScope
import kotlinx.coroutines.Job
import kotlinx.coroutines.cancelAndJoin
import kotlinx.coroutines.delay
import kotlinx.coroutines.runBlocking
import org.agatestream.core.RowStore
import org.agatestream.core.StoreRead
import java.io.IOException
import kotlin.time.Duration.Companion.milliseconds
import kotlin.time.Duration.Companion.seconds

/** A store whose reads of the coordinator's row, and of the jobs, are answered when the test says so. */
private class HeldReads(
    private val rows: FakeRowStore = FakeRowStore(),
) : RowStore by PolledStore(rows) {
    /** The reads of the coordinator's row, in order; each ends with its answer. */
    val coordinatorReads = ArrayList<CompletableDeferred<Boolean>>()
    val jobsArrive = CompletableDeferred<Unit>()

    suspend fun readCoordinator(): Boolean = CompletableDeferred<Boolean>().also { coordinatorReads += it }.await()

    override suspend fun partitions(table: String): StoreRead<List<String>> {
        jobsArrive.await()
        return rows.partitions(table)
    }
}

private fun withWatch(
    readCoordinator: suspend (HeldReads) -> Boolean = { it.readCoordinator() },
    block: suspend (JobWatch, HeldReads, List<Int>) -> Unit,
) = runBlocking {
    val store = HeldReads()
    val confirmed = ArrayList<Int>()
    val job = Job()
    val watch =
        JobWatch(
            scope = CoroutineScope(coroutineContext + job),
            readCoordinator = { readCoordinator(store) },
            newWatcher = { before, onLoaded ->
                JobWatcher(store, { null }, { _, _, _ -> }, { _, _ -> }, before, onLoaded)
            },
            onConfirmed = { confirmed += it },
        )
    try {
        block(watch, store, confirmed)
    } finally {
        job.cancelAndJoin()
    }
}

class JobWatchTest :
    FunSpec({
        // A coordinator that paused several times in an outage of the store started no item again, for good.
        test(
            "StillCoordinator: the newest check counts, in whichever order the store answers those of several pauses",
        ) {
            withWatch { watch, store, confirmed ->
                watch.start()
                repeat(3) {
                    watch.confirm(it + 1)
                    delay(20.milliseconds)
                }
                store.coordinatorReads.asReversed().forEach {
                    it.complete(true)
                    delay(20.milliseconds)
                }
                store.jobsArrive.complete(Unit)
                eventually(3.seconds) { confirmed shouldContain 3 }
            }
        }

        // Guards against checks of earlier pauses that go on, and call the store, beside the newest one.
        test("StillCoordinator: a check ends those of earlier pauses") {
            withWatch { watch, store, confirmed ->
                watch.start()
                repeat(2) {
                    watch.confirm(it + 1)
                    delay(20.milliseconds)
                }
                store.jobsArrive.complete(Unit)
                store.coordinatorReads.first().complete(true)
                delay(100.milliseconds)
                confirmed.shouldBeEmpty()
                store.coordinatorReads.last().complete(true)
                eventually(3.seconds) { confirmed shouldContainExactly listOf(2) }
            }
        }

        // Guards against a check that a fault ends, with nothing left that would confirm the coordinator.
        test("StillCoordinator: a check that fails is made again") {
            var reads = 0
            withWatch({ if (++reads < 3) throw IOException("fault") else true }) { watch, store, confirmed ->
                store.jobsArrive.complete(Unit)
                watch.confirm(1)
                eventually(5.seconds) { confirmed shouldContain 1 }
            }
        }

        // Guards against a coordinator that was replaced and restarts the watch of its successor.
        test("a watch that has stopped starts no check") {
            withWatch { watch, store, _ ->
                watch.start()
                watch.stop()
                watch.confirm(1)
                delay(50.milliseconds)
                store.coordinatorReads.size shouldBe 0
            }
        }
    })
