package org.agatestream.server

import io.kotest.assertions.nondeterministic.eventually
import io.kotest.core.spec.style.FunSpec
import io.kotest.matchers.collections.shouldBeEmpty
import io.kotest.matchers.collections.shouldHaveSize
import io.kotest.matchers.comparables.shouldBeGreaterThan
import io.kotest.matchers.comparables.shouldBeLessThan
import io.kotest.matchers.nulls.shouldBeNull
import io.kotest.matchers.nulls.shouldNotBeNull
import io.kotest.matchers.types.shouldBeInstanceOf
import kotlinx.coroutines.cancelAndJoin
import kotlinx.coroutines.coroutineScope
import org.agatestream.core.ItemId
import org.agatestream.core.ItemRef
import org.agatestream.core.JobId
import org.agatestream.core.JobPlan
import org.agatestream.core.JobRef
import org.agatestream.core.JobRules
import org.agatestream.core.MonotonicTime
import org.agatestream.core.Outcome
import org.agatestream.core.StoreTime
import org.agatestream.core.VmId
import org.agatestream.core.WorkspaceId
import org.agatestream.platform.parseJob
import java.util.concurrent.CopyOnWriteArrayList
import kotlin.time.Duration
import kotlin.time.Duration.Companion.hours
import kotlin.time.Duration.Companion.minutes
import kotlin.time.Duration.Companion.seconds

private val TEAM = WorkspaceId("team")
private val JOB = JobRef(TEAM, JobId("job"))
private val CONTENT = """{"Requests":[{"Id":"i1","Path":"/b/1","Body":"YQ==","Tokens":60}]}""".encodeToByteArray()
private val RULES = JobRules(completionTarget = 18.seconds, retention = 36.seconds, maxWaitingTokens = 0)
private val START = StoreTime(1_000_000)

/** Accepts a job at a VM whose time of day is [clockError] ahead of the true time. */
private suspend fun FakeRowStore.acceptJob(
    clockError: Duration,
    rules: JobRules? = null,
) {
    val receivedAt = System.currentTimeMillis() + clockError.inWholeMilliseconds
    val jobItems = listOf(JobRowItem(ItemId("i1"), "/b/1", 60))
    val row = JobRow(JOB.id, TEAM, "h", "r", receivedAt, VmId("v"), jobItems, rules = rules)
    val items = (parseJob(CONTENT) as Outcome.Ok).value
    JobStore(this, 65_536, UNCONFINED).accept(row, CONTENT, items, 0).shouldBeInstanceOf<Outcome.Ok<JobRow>>()
}

/** Returns the job as a coordinator plans it that starts now. */
private suspend fun FakeRowStore.plan(): JobPlan =
    coroutineScope {
        val seen = CopyOnWriteArrayList<JobPlan>()
        val watch =
            JobWatcher(
                PolledStore(this@plan),
                { RULES },
                { plan, _, _ -> seen += plan },
                { _, _ -> },
            ).start(this)
        try {
            eventually(3.seconds) { seen shouldHaveSize 1 }
        } finally {
            watch.cancelAndJoin()
        }
        seen.single()
    }

class JobClockTest :
    FunSpec({
        for (clockError in listOf((-1).hours, (-15).minutes, (-30).seconds, 30.seconds, 1.hours)) {
            test("a job accepted by a VM whose time of day is off by $clockError keeps its deadline and retention") {
                val store = FakeRowStore()
                store.now = START
                store.acceptJob(clockError)
                store.now = START + 9.seconds
                val plan = store.plan()
                val now = MonotonicTime.now()
                plan.lifetime.expiresAt.shouldNotBeNull() shouldBeGreaterThan now + 20.seconds
                plan.lifetime.expiresAt.shouldNotBeNull() shouldBeLessThan now + 30.seconds
                plan.lifetime.deadline shouldBeGreaterThan now + 5.seconds
                plan.lifetime.deadline shouldBeLessThan now + 10.seconds
            }

            test("a finished job accepted by a VM whose time of day is off by $clockError is deleted in time") {
                val store = FakeRowStore()
                val jobs = JobStore(store, 65_536, UNCONFINED)
                store.now = START
                store.acceptJob(clockError)
                jobs.appendResult(ItemRef(JOB, ItemId("i1")), "done")
                val cleaner = JobCleaner(store, jobs, retention = 120.seconds)
                store.now = START + 120.seconds
                cleaner.clean()
                store.rows.keys.filter { it.table == FleetTables.JOBS } shouldHaveSize 1
                store.now = START + 200.seconds
                cleaner.clean()
                store.rows.keys
                    .filter { it.table == FleetTables.JOBS }
                    .shouldBeEmpty()
            }
        }

        // Guards against a job that never expires since the coordinator did not know its route yet.
        test("StaleManifest: a job keeps the limits under which it was accepted") {
            val store = FakeRowStore()
            store.now = START
            store.acceptJob(clockError = 0.seconds, rules = RULES.copy(retention = 10.seconds))
            store
                .plan()
                .lifetime.expiresAt
                .shouldNotBeNull() shouldBeLessThan MonotonicTime.now() + 12.seconds
        }

        test("a job that records only a time of day is neither expired nor deleted") {
            val store = FakeRowStore()
            store.acceptJob(clockError = (-1).hours)
            store.now = START + 1.hours
            store
                .plan()
                .lifetime.expiresAt
                .shouldBeNull()
            val jobs = JobStore(store, 65_536, UNCONFINED)
            jobs.appendResult(ItemRef(JOB, ItemId("i1")), "done")
            JobCleaner(store, jobs, retention = 120.seconds).clean()
            store.rows.keys.filter { it.table == FleetTables.JOBS } shouldHaveSize 1
        }
    })
