package org.agatestream.server

import io.kotest.assertions.nondeterministic.eventually
import io.kotest.core.spec.style.FunSpec
import io.kotest.matchers.collections.shouldContainExactlyInAnyOrder
import kotlinx.coroutines.cancelAndJoin
import kotlinx.coroutines.coroutineScope
import org.agatestream.core.ItemId
import org.agatestream.core.JobId
import org.agatestream.core.JobPlan
import org.agatestream.core.JobRef
import org.agatestream.core.RowChange
import org.agatestream.core.RowStore
import org.agatestream.core.StoreRead
import org.agatestream.core.VmId
import org.agatestream.core.WorkspaceId
import java.util.concurrent.CopyOnWriteArrayList
import kotlin.time.Duration.Companion.seconds

private suspend fun FakeRowStore.addJob(
    workspace: String,
    job: String,
) {
    val row =
        JobRow(JobId(job), WorkspaceId(workspace), "h", "r", 0, VmId("v"), listOf(JobRowItem(ItemId("i"), "/", 1)))
    write(
        emptyMap(),
        listOf(RowChange(FleetTables.job(row.ref), FleetTables.encode(JobRow.serializer(), row))),
    )
}

/** Adds the first job of another workspace right after the first listing of workspaces. */
private class RacingStore(
    private val rows: FakeRowStore,
) : RowStore by PolledStore(rows) {
    private var isAdded = false

    override suspend fun partitions(table: String): StoreRead<List<String>> {
        val partitions = rows.partitions(table)
        if (!isAdded) rows.addJob("late", "late-job")
        isAdded = true
        return partitions
    }
}

class JobWatcherTest :
    FunSpec({
        test("a job in a workspace that was created after the listing is found") {
            val rows = FakeRowStore()
            rows.addJob("early", "early-job")
            val seen = CopyOnWriteArrayList<JobPlan>()
            coroutineScope {
                val watch =
                    JobWatcher(
                        RacingStore(rows),
                        { null },
                        { plan, _, _ -> seen += plan },
                        { _, _ -> },
                    ).start(this)
                try {
                    eventually(3.seconds) {
                        seen.map { it.id.value } shouldContainExactlyInAnyOrder listOf("early-job", "late-job")
                    }
                } finally {
                    watch.cancelAndJoin()
                }
            }
        }

        // Guards against a job that never runs, as another workspace's job has the same id.
        test("JobsOfOneId: jobs of two workspaces with the same id are both found, and end apart") {
            val rows = FakeRowStore()
            listOf("a", "b").forEach { rows.addJob(it, "j") }
            val ended = JobRef(WorkspaceId("a"), JobId("j"))
            rows.write(emptyMap(), listOf(RowChange(FleetTables.end(ended), "{}".encodeToByteArray())))
            val seen = CopyOnWriteArrayList<JobRef>()
            val ends = CopyOnWriteArrayList<JobRef>()
            coroutineScope {
                val watch =
                    JobWatcher(
                        PolledStore(rows),
                        { null },
                        { plan, _, _ -> seen += plan.ref },
                        { job, _ -> ends += job },
                    ).start(this)
                try {
                    eventually(3.seconds) { seen shouldContainExactlyInAnyOrder listOf(ended.copy(WorkspaceId("b"))) }
                    ends.distinct() shouldContainExactlyInAnyOrder listOf(ended)
                } finally {
                    watch.cancelAndJoin()
                }
            }
        }
    })
