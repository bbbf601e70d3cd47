package org.agatestream.server

import io.kotest.core.spec.style.FunSpec
import io.kotest.matchers.collections.shouldBeEmpty
import io.kotest.matchers.collections.shouldContainExactly
import io.kotest.matchers.collections.shouldContainExactlyInAnyOrder
import io.kotest.matchers.collections.shouldHaveSize
import io.kotest.matchers.longs.shouldBeInRange
import io.kotest.matchers.shouldBe
import io.kotest.matchers.types.shouldBeInstanceOf
import kotlinx.coroutines.CompletableDeferred
import kotlinx.coroutines.async
import kotlinx.coroutines.awaitAll
import kotlinx.coroutines.cancelAndJoin
import kotlinx.coroutines.coroutineScope
import kotlinx.coroutines.launch
import kotlinx.coroutines.withTimeout
import kotlinx.coroutines.yield
import org.agatestream.core.ErrorKind
import org.agatestream.core.ItemId
import org.agatestream.core.ItemRef
import org.agatestream.core.JobId
import org.agatestream.core.JobRef
import org.agatestream.core.Outcome
import org.agatestream.core.RowChange
import org.agatestream.core.RowName
import org.agatestream.core.RowStore
import org.agatestream.core.StoreTime
import org.agatestream.core.VmId
import org.agatestream.core.WorkspaceId
import org.agatestream.core.WriteResult
import org.agatestream.platform.ListedResult
import org.agatestream.platform.SubmittedItem
import org.agatestream.platform.parseJob
import java.util.Base64
import kotlin.time.Duration.Companion.seconds

private val TEAM = WorkspaceId("team")
private val JOB = JobRef(TEAM, JobId("job"))

private val SECOND = JobRef(TEAM, JobId("second"))

private val CONTENT =
    """{"Requests":[{"Id":"i1","Path":"/b/1","Body":"YQ==","Tokens":60},{"Id":"i2","Path":"/b/2","Tokens":40}]}"""
        .encodeToByteArray()

/** Pairs of jobs whose workspaces and ids give the same text if they are joined or escaped carelessly. */
private val JOINED_NAMES =
    listOf(
        JobRef(WorkspaceId("ta"), JobId("b-7c")) to JobRef(WorkspaceId("ta-b"), JobId("7c")),
        JobRef(null, JobId("ta-7c")) to JobRef(WorkspaceId("ta"), JobId("7c")),
        JobRef(WorkspaceId("t.a"), JobId("b")) to JobRef(WorkspaceId("t"), JobId("a-b")),
        JobRef(WorkspaceId("t_2d"), JobId("b")) to JobRef(WorkspaceId("t-"), JobId("b")),
    )

private fun contentOf(item: String): ByteArray =
    """{"Requests":[{"Id":"$item","Path":"/b/1","Body":"YQ==","Tokens":60}]}""".encodeToByteArray()

private fun parse(content: ByteArray): List<SubmittedItem> = (parseJob(content) as Outcome.Ok).value

private fun rowOf(job: JobRef = JOB): JobRow {
    val items = listOf(JobRowItem(ItemId("i1"), "/b/1", 60), JobRowItem(ItemId("i2"), "/b/2", 40))
    return JobRow(job.id, job.workspace, "h", "r", 0, VmId("v"), items)
}

private suspend fun JobStore.submit(
    row: JobRow = rowOf(),
    maxTokens: Long = 0,
    content: ByteArray = CONTENT,
): Outcome<JobRow> = accept(row, content, parse(content), maxTokens)

private suspend fun JobStore.read(
    after: Int = 0,
    job: JobRef = JOB,
): List<ListedResult> = results(job, after).shouldBeInstanceOf<Outcome.Ok<List<ListedResult>>>().value

private fun Outcome<*>.kind(): ErrorKind = shouldBeInstanceOf<Outcome.Failed>().failure.kind

/** A store whose writes can be cancelled. */
private class CancellableWrites(
    private val rows: FakeRowStore,
) : RowStore by rows {
    override suspend fun write(
        expected: Map<RowName, Long>,
        changes: List<RowChange>,
    ): WriteResult {
        yield()
        return rows.write(expected, changes)
    }
}

class JobStoreTest :
    FunSpec({
        test("every VM finds an accepted job with its bodies") {
            val store = FakeRowStore()
            JobStore(store, 65_536, UNCONFINED).submit().shouldBeInstanceOf<Outcome.Ok<JobRow>>()
            val other = JobStore(store, 65_536, UNCONFINED)
            other.find(JOB).shouldBeInstanceOf<Outcome.Ok<JobRow>>()
            val items = other.items(JOB).shouldBeInstanceOf<Outcome.Ok<Map<ItemId, Any>>>().value
            items.keys.map { it.value } shouldContainExactlyInAnyOrder listOf("i1", "i2")
        }

        // Guards against a link that is too slow for the same object many times, so that no item gets its body.
        test("the items of a job that start at the same time share one read of its object") {
            val store = FakeRowStore()
            JobStore(store, 65_536, UNCONFINED).submit()
            store.objectsArrive = CompletableDeferred()
            val jobs = JobStore(store, 65_536, UNCONFINED)
            val items = List(10) { UNCONFINED.async { jobs.items(JOB) } }
            store.objectsArrive?.complete(Unit)
            items.awaitAll().forEach { it.shouldBeInstanceOf<Outcome.Ok<*>>() }
            store.objectReads shouldHaveSize 1
        }

        // Guards against a read that begins anew each time an online request takes the slot of its item.
        test("a read of bodies goes on if the run that began it is stopped") {
            val store = FakeRowStore()
            JobStore(store, 65_536, UNCONFINED).submit()
            store.objectsArrive = CompletableDeferred()
            val jobs = JobStore(store, 65_536, UNCONFINED)
            UNCONFINED.launch { jobs.items(JOB) }.cancelAndJoin()
            jobs.bodyReads shouldBe 1
            val next = UNCONFINED.async { jobs.items(JOB) }
            store.objectsArrive?.complete(Unit)
            next.await().shouldBeInstanceOf<Outcome.Ok<*>>()
            store.objectReads shouldHaveSize 1
        }

        test("a read that failed is made again by the next run") {
            val store = FakeRowStore()
            JobStore(store, 65_536, UNCONFINED).submit()
            store.isDown = true
            val jobs = JobStore(store, 65_536, UNCONFINED)
            jobs.items(JOB).kind() shouldBe ErrorKind.PLATFORM_UNAVAILABLE
            store.isDown = false
            jobs.items(JOB).shouldBeInstanceOf<Outcome.Ok<*>>()
        }

        // Guards against a heap that is full of the bodies of large jobs.
        test("a VM holds a bounded number of bytes of bodies") {
            val body = Base64.getEncoder().encodeToString(ByteArray(3_000_000))
            val content = """{"Requests":[{"Id":"i1","Path":"/b/1","Body":"$body","Tokens":60}]}""".encodeToByteArray()
            val items = (parseJob(content) as Outcome.Ok).value
            val jobs = JobStore(FakeRowStore(), 65_536, UNCONFINED)
            repeat(20) { jobs.accept(rowOf(JobRef(TEAM, JobId("job-$it"))), content, items, 0) }
            jobs.cachedBodyBytes shouldBeInRange 12_000_000L..16L * 1024 * 1024
            jobs.items(JobRef(TEAM, JobId("job-0"))).shouldBeInstanceOf<Outcome.Ok<*>>()
        }

        test("a repeated submission of a job is accepted and stored once") {
            val store = FakeRowStore()
            repeat(2) { JobStore(store, 65_536, UNCONFINED).submit().shouldBeInstanceOf<Outcome.Ok<JobRow>>() }
            store.rows.keys.filter { it.table == FleetTables.JOBS } shouldHaveSize 1
        }

        test("a job whose confirmation was lost is accepted if the store has it") {
            val store = FakeRowStore()
            store.faults += StoreFault.ANSWER_LOST
            JobStore(store, 65_536, UNCONFINED).submit().shouldBeInstanceOf<Outcome.Ok<JobRow>>()
        }

        test("a job that the store may still write fails with an unknown outcome") {
            val store = FakeRowStore()
            store.faults += StoreFault.SILENT
            JobStore(store, 65_536, UNCONFINED).submit().kind() shouldBe ErrorKind.OUTCOME_UNKNOWN
        }

        test("a job that the store refused fails as unavailable") {
            val store = FakeRowStore()
            store.faults += StoreFault.REFUSED
            JobStore(store, 65_536, UNCONFINED).submit().kind() shouldBe ErrorKind.PLATFORM_UNAVAILABLE
            store.rows.keys.filter { it.table == FleetTables.JOBS } shouldHaveSize 0
        }

        test("a workspace has no more tokens waiting than its route allows, and finished items release tokens") {
            val store = FakeRowStore()
            val jobs = JobStore(store, 65_536, UNCONFINED)
            jobs.submit(maxTokens = 150).shouldBeInstanceOf<Outcome.Ok<JobRow>>()
            jobs.submit(rowOf(SECOND), maxTokens = 150).kind() shouldBe ErrorKind.RATE_EXCEEDED
            jobs.appendResult(ItemRef(JOB, ItemId("i1")), "text")
            jobs.submit(rowOf(SECOND), maxTokens = 150).shouldBeInstanceOf<Outcome.Ok<JobRow>>()
        }

        test("an ended job releases its tokens") {
            val jobs = JobStore(FakeRowStore(), 65_536, UNCONFINED)
            jobs.submit(maxTokens = 150)
            jobs.end(JOB)
            jobs.submit(rowOf(SECOND), maxTokens = 150).shouldBeInstanceOf<Outcome.Ok<JobRow>>()
        }

        test("each result has one position, even if several VMs store it and answers are lost") {
            val store = FakeRowStore()
            JobStore(store, 65_536, UNCONFINED).submit()
            store.faults += listOf(StoreFault.ANSWER_LOST, StoreFault.SILENT, StoreFault.ANSWER_LOST)
            coroutineScope {
                listOf("i1", "i2", "i1", "i2")
                    .map { item ->
                        async {
                            JobStore(
                                store,
                                65_536,
                                UNCONFINED,
                            ).appendResult(ItemRef(JOB, ItemId(item)), item)
                        }
                    }.awaitAll()
            }
            val results = JobStore(store, 65_536, UNCONFINED).read()
            results.map { it.item.value } shouldContainExactlyInAnyOrder listOf("i1", "i2")
            JobStore(store, 65_536, UNCONFINED).read(after = 1).map { it.item } shouldContainExactly
                listOf(results[1].item)
        }

        test("an output that exceeds a row is read back in full") {
            val store = FakeRowStore()
            val jobs = JobStore(store, 1_000, UNCONFINED)
            jobs.submit()
            val text = "x".repeat(5_000)
            jobs.appendResult(ItemRef(JOB, ItemId("i1")), text)
            jobs.read().single().output shouldBe text
        }

        test("a job missing from the store is unknown, and unavailable while the store is down") {
            val store = FakeRowStore()
            val jobs = JobStore(store, 65_536, UNCONFINED)
            jobs.find(JOB).kind() shouldBe ErrorKind.UNKNOWN_JOB
            store.isDown = true
            jobs.find(JOB).kind() shouldBe ErrorKind.PLATFORM_UNAVAILABLE
        }

        test("an expired job is deleted with its rows and objects once it is finished or ended") {
            val store = FakeRowStore()
            val jobs = JobStore(store, 1_000, UNCONFINED)
            val cleaner = JobCleaner(store, jobs, 120.seconds)
            store.now = StoreTime(0)
            jobs.submit()
            jobs.appendResult(ItemRef(JOB, ItemId("i1")), "x".repeat(5_000))
            store.now = StoreTime(200_000)
            cleaner.clean()
            store.rows.keys.filter { it.table == FleetTables.JOBS } shouldHaveSize 1
            jobs.appendResult(ItemRef(JOB, ItemId("i2")), null)
            store.now = StoreTime(130_000)
            cleaner.clean()
            store.rows.keys.filter { it.table == FleetTables.JOBS } shouldHaveSize 1
            store.now = StoreTime(200_000)
            cleaner.clean()
            store.rows.size shouldBe 0
            store.objects.size shouldBe 0
        }

        // Callers got the total, and lost the items, of another workspace's job whose names run together with theirs.
        for ((one, other) in JOINED_NAMES) {
            test("NamesJoined: the job ${one.id} of ${one.workspace} has bodies of its own beside ${other.id}") {
                val store = FakeRowStore()
                val contents = listOf(one to "1", other to "2").associate { (job, name) -> job to contentOf(name) }
                for ((job, content) in contents) {
                    JobStore(
                        store,
                        65_536,
                        UNCONFINED,
                    ).submit(rowOf(job), content = content)
                }
                val reader = JobStore(store, 65_536, UNCONFINED)
                for ((job, content) in contents) {
                    val items = reader.items(job).shouldBeInstanceOf<Outcome.Ok<Map<ItemId, Any>>>().value
                    items.keys shouldBe parse(content).map { it.id }.toSet()
                    reader
                        .find(job)
                        .shouldBeInstanceOf<Outcome.Ok<JobRow>>()
                        .value.ref shouldBe job
                }
            }

            test("NamesJoined: outputs of ${one.id} of ${one.workspace} and of ${other.id} are stored apart") {
                val store = FakeRowStore()
                val jobs = JobStore(store, 100, UNCONFINED)
                val outputs = mapOf(one to "1".repeat(200), other to "2".repeat(200))
                outputs.forEach { (job, text) -> jobs.appendResult(ItemRef(job, ItemId("i")), text) }
                for ((job, text) in outputs) jobs.read(job = job).single().output shouldBe text
            }
        }

        test("NamesJoined: outputs of items whose ids run together with those of their jobs are stored apart") {
            val jobs = JobStore(FakeRowStore(), 100, UNCONFINED)
            val items =
                listOf("j" to "a-b", "j-a" to "b").map { (job, item) ->
                    ItemRef(JobRef(TEAM, JobId(job)), ItemId(item))
                }
            items.forEach { jobs.appendResult(it, "$it ".repeat(20)) }
            for (item in items) jobs.read(job = item.job).single().output shouldBe "$item ".repeat(20)
        }

        // Results were written to taken positions without end, as the marks of such items were not counted.
        test("ItemIds: items whose ids begin with any character are listed by every VM, and deleted") {
            val store = FakeRowStore()
            val items = listOf("~1", "é2", "/3", "4").map { ItemRef(JOB, ItemId(it)) }
            JobStore(store, 65_536, UNCONFINED).submit()
            for (item in items) {
                withTimeout(
                    3.seconds,
                ) { JobStore(CancellableWrites(store), 65_536, UNCONFINED).appendResult(item, "text") }
            }
            val jobs = JobStore(store, 65_536, UNCONFINED)
            jobs.read().map { it.item } shouldContainExactly items.map { it.item }
            jobs.delete(rowOf())
            store.rows.size shouldBe 0
        }

        // Guards against a name that a call of the store cuts, or takes for another one.
        test("names of objects hold no character that a call must escape") {
            val job = JobRef(WorkspaceId("a/b c?d%2F.é_"), JobId("j"))
            val names = listOf(FleetTables.bodies(job), FleetTables.output(ItemRef(job, ItemId("i/../i"))))
            names.filterNot { Regex("[A-Za-z0-9._-]+").matches(it) }.shouldBeEmpty()
        }

        // Guards against jobs that are lost when a fleet is updated.
        test("the bodies of a job whose row does not name their object are found by the name of earlier builds") {
            val store = FakeRowStore()
            val row = FleetTables.encode(JobRow.serializer(), rowOf())
            store.write(emptyMap(), listOf(RowChange(FleetTables.job(JOB), row)))
            store.putObject("job-team-job", CONTENT)
            val jobs = JobStore(store, 65_536, UNCONFINED)
            jobs
                .items(JOB)
                .shouldBeInstanceOf<Outcome.Ok<Map<ItemId, Any>>>()
                .value.keys shouldHaveSize 2
            jobs.delete(rowOf())
            store.objects.size shouldBe 0
        }

        test("a job of another workspace is unknown") {
            val store = FakeRowStore()
            JobStore(store, 65_536, UNCONFINED).submit()
            JobStore(store, 65_536, UNCONFINED).find(JOB.copy(workspace = WorkspaceId("other"))).kind() shouldBe
                ErrorKind.UNKNOWN_JOB
        }
    })
