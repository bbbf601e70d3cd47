package org.agatestream.server

import io.kotest.core.spec.style.FunSpec
import io.kotest.matchers.collections.shouldContainExactly
import io.kotest.matchers.collections.shouldContainExactlyInAnyOrder
import io.kotest.matchers.collections.shouldHaveSize
import io.kotest.matchers.shouldBe
import io.kotest.matchers.types.shouldBeInstanceOf
import kotlinx.coroutines.async
import kotlinx.coroutines.awaitAll
import kotlinx.coroutines.coroutineScope
import org.agatestream.core.ErrorKind
import org.agatestream.core.ItemId
import org.agatestream.core.ItemRef
import org.agatestream.core.JobId
import org.agatestream.core.Outcome
import org.agatestream.core.StoreTime
import org.agatestream.core.VmId
import org.agatestream.core.WorkspaceId
import org.agatestream.platform.ListedResult
import org.agatestream.platform.parseJob
import kotlin.time.Duration.Companion.seconds

private val TEAM = WorkspaceId("team")
private val JOB = JobId("job")

private val CONTENT =
    """{"Requests":[{"Id":"i1","Path":"/b/1","Body":"YQ==","Tokens":60},{"Id":"i2","Path":"/b/2","Tokens":40}]}"""
        .encodeToByteArray()

private fun rowOf(job: JobId = JOB): JobRow {
    val items = listOf(JobRowItem(ItemId("i1"), "/b/1", 60), JobRowItem(ItemId("i2"), "/b/2", 40))
    return JobRow(job, TEAM, "h", "r", 0, VmId("v"), items)
}

private suspend fun JobStore.submit(
    row: JobRow = rowOf(),
    maxTokens: Long = 0,
): Outcome<JobRow> = accept(row, CONTENT, (parseJob(CONTENT) as Outcome.Ok).value, maxTokens)

private suspend fun JobStore.read(after: Int = 0): List<ListedResult> =
    results(TEAM, JOB, after).shouldBeInstanceOf<Outcome.Ok<List<ListedResult>>>().value

private fun Outcome<*>.kind(): ErrorKind = shouldBeInstanceOf<Outcome.Failed>().failure.kind

class JobStoreTest :
    FunSpec({
        test("every VM finds an accepted job with its bodies") {
            val store = FakeRowStore()
            JobStore(store, 65_536).submit().shouldBeInstanceOf<Outcome.Ok<JobRow>>()
            val other = JobStore(store, 65_536)
            other.find(TEAM, JOB).shouldBeInstanceOf<Outcome.Ok<JobRow>>()
            val items = other.items(TEAM, JOB).shouldBeInstanceOf<Outcome.Ok<Map<ItemId, Any>>>().value
            items.keys.map { it.value } shouldContainExactlyInAnyOrder listOf("i1", "i2")
        }

        test("a repeated submission of a job is accepted and stored once") {
            val store = FakeRowStore()
            repeat(2) { JobStore(store, 65_536).submit().shouldBeInstanceOf<Outcome.Ok<JobRow>>() }
            store.rows.keys.filter { it.table == FleetTables.JOBS } shouldHaveSize 1
        }

        test("a job whose confirmation was lost is accepted if the store has it") {
            val store = FakeRowStore()
            store.faults += StoreFault.ANSWER_LOST
            JobStore(store, 65_536).submit().shouldBeInstanceOf<Outcome.Ok<JobRow>>()
        }

        test("a job that the store may still write fails with an unknown outcome") {
            val store = FakeRowStore()
            store.faults += StoreFault.SILENT
            JobStore(store, 65_536).submit().kind() shouldBe ErrorKind.OUTCOME_UNKNOWN
        }

        test("a job that the store refused fails as unavailable") {
            val store = FakeRowStore()
            store.faults += StoreFault.REFUSED
            JobStore(store, 65_536).submit().kind() shouldBe ErrorKind.PLATFORM_UNAVAILABLE
            store.rows.keys.filter { it.table == FleetTables.JOBS } shouldHaveSize 0
        }

        test("a workspace has no more tokens waiting than its route allows, and finished items release tokens") {
            val store = FakeRowStore()
            val jobs = JobStore(store, 65_536)
            jobs.submit(maxTokens = 150).shouldBeInstanceOf<Outcome.Ok<JobRow>>()
            jobs.submit(rowOf(JobId("second")), maxTokens = 150).kind() shouldBe ErrorKind.RATE_EXCEEDED
            jobs.appendResult(TEAM, ItemRef(JOB, ItemId("i1")), "text")
            jobs.submit(rowOf(JobId("second")), maxTokens = 150).shouldBeInstanceOf<Outcome.Ok<JobRow>>()
        }

        test("an ended job releases its tokens") {
            val jobs = JobStore(FakeRowStore(), 65_536)
            jobs.submit(maxTokens = 150)
            jobs.end(TEAM, JOB)
            jobs.submit(rowOf(JobId("second")), maxTokens = 150).shouldBeInstanceOf<Outcome.Ok<JobRow>>()
        }

        test("each result has one position, even if several VMs store it and answers are lost") {
            val store = FakeRowStore()
            JobStore(store, 65_536).submit()
            store.faults += listOf(StoreFault.ANSWER_LOST, StoreFault.SILENT, StoreFault.ANSWER_LOST)
            coroutineScope {
                listOf("i1", "i2", "i1", "i2")
                    .map { item ->
                        async { JobStore(store, 65_536).appendResult(TEAM, ItemRef(JOB, ItemId(item)), item) }
                    }.awaitAll()
            }
            val results = JobStore(store, 65_536).read()
            results.map { it.item.value } shouldContainExactlyInAnyOrder listOf("i1", "i2")
            JobStore(store, 65_536).read(after = 1).map { it.item } shouldContainExactly listOf(results[1].item)
        }

        test("an output that exceeds a row is read back in full") {
            val store = FakeRowStore()
            val jobs = JobStore(store, 1_000)
            jobs.submit()
            val text = "x".repeat(5_000)
            jobs.appendResult(TEAM, ItemRef(JOB, ItemId("i1")), text)
            jobs.read().single().output shouldBe text
        }

        test("a job missing from the store is unknown, and unavailable while the store is down") {
            val store = FakeRowStore()
            val jobs = JobStore(store, 65_536)
            jobs.find(TEAM, JOB).kind() shouldBe ErrorKind.UNKNOWN_JOB
            store.isDown = true
            jobs.find(TEAM, JOB).kind() shouldBe ErrorKind.PLATFORM_UNAVAILABLE
        }

        test("an expired job is deleted with its rows and objects once it is finished or ended") {
            val store = FakeRowStore()
            val jobs = JobStore(store, 1_000)
            val cleaner = JobCleaner(store, jobs, 120.seconds)
            store.now = StoreTime(0)
            jobs.submit()
            jobs.appendResult(TEAM, ItemRef(JOB, ItemId("i1")), "x".repeat(5_000))
            store.now = StoreTime(200_000)
            cleaner.clean()
            store.rows.keys.filter { it.table == FleetTables.JOBS } shouldHaveSize 1
            jobs.appendResult(TEAM, ItemRef(JOB, ItemId("i2")), null)
            store.now = StoreTime(130_000)
            cleaner.clean()
            store.rows.keys.filter { it.table == FleetTables.JOBS } shouldHaveSize 1
            store.now = StoreTime(200_000)
            cleaner.clean()
            store.rows.size shouldBe 0
            store.objects.size shouldBe 0
        }

        test("a job of another workspace is unknown") {
            val store = FakeRowStore()
            JobStore(store, 65_536).submit()
            JobStore(store, 65_536).find(WorkspaceId("other"), JOB).kind() shouldBe ErrorKind.UNKNOWN_JOB
        }
    })
