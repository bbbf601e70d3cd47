package org.agatestream.core.fairness

import io.kotest.core.spec.style.FunSpec
import io.kotest.matchers.collections.shouldBeEmpty
import io.kotest.matchers.collections.shouldContainExactly
import io.kotest.matchers.doubles.shouldBeLessThanOrEqual
import io.kotest.matchers.shouldBe
import io.kotest.matchers.types.shouldBeInstanceOf
import org.agatestream.core.CallId
import org.agatestream.core.DispatchAction
import org.agatestream.core.Dispatcher
import org.agatestream.core.ItemOutcome
import org.agatestream.core.MonotonicTime
import org.agatestream.core.RunOutcome
import org.agatestream.core.START
import org.agatestream.core.VM_A
import org.agatestream.core.WorkspaceId
import org.agatestream.core.dispatcherOf
import org.agatestream.core.jobOf
import org.agatestream.core.manifestOf
import org.agatestream.core.placed
import org.agatestream.core.placement.PromptShape
import org.agatestream.core.requestOf
import org.agatestream.core.serverOf
import org.agatestream.core.started
import kotlin.random.Random
import kotlin.time.Duration
import kotlin.time.Duration.Companion.milliseconds
import kotlin.time.Duration.Companion.seconds

private val ONE = WorkspaceId("one")
private val OTHER = WorkspaceId("other")
private val UNBOUNDED = Capacity(1e9, 1e12)

/** Starts [starts] requests while each workspace always has ten waiting; returns the work granted at each start. */
private fun grants(
    weights: Map<WorkspaceId, Double>,
    starts: Int,
    prompt: (WorkspaceId) -> Int,
    priority: (WorkspaceId) -> Int,
): List<Pair<WorkspaceId, Double>> {
    val queue = FairQueue(weights::getValue, START)
    var number = 0L

    fun add(workspace: WorkspaceId) {
        val shape = PromptShape(promptTokens = prompt(workspace), outputTokens = 1)
        val request = requestOf(number, priority = priority(workspace)).copy(workspace = workspace, prompt = shape)
        queue.onAsked(request, START)
        queue.add(request, number++, START)
    }
    weights.keys.forEach { id -> repeat(10) { add(id) } }
    return List(starts) {
        val next = queue.next(UNBOUNDED, START)!!
        queue.start(next)
        queue.onEnded(next.group.workspace)
        val workspace = next.group.workspace!!
        add(workspace)
        workspace to next.work
    }
}

class FairQueueTest :
    FunSpec({
        // Guards against a share that priority, long prompts or weights let a workspace exceed for longer.
        test("between two workspaces that always ask, granted work by weight differs by a bound in any interval") {
            val random = Random(7)
            repeat(20) {
                val weights = (1..5).associate { WorkspaceId("w$it") to random.nextInt(1, 4).toDouble() }
                val longest = 18_000
                val granted =
                    grants(weights, 600, { random.nextInt(1, longest) }, { it.value.last().digitToInt() % 3 })
                // 2 s of 40 servers are 640 runs; all intervals are tried from every 20th start on.
                val bound = 2 * (FairQueue.MAX_LEAD + RunWork.of(PromptShape(promptTokens = longest, outputTokens = 1)))
                for (from in granted.indices step 20) {
                    val sums = weights.keys.associateWithTo(HashMap()) { 0.0 }
                    for ((workspace, work) in granted.drop(from)) {
                        sums.merge(workspace, work / weights.getValue(workspace), Double::plus)
                        sums.values.max() - sums.values.min() shouldBeLessThanOrEqual bound
                    }
                }
            }
        }

        test("shares follow the weights") {
            val runs = grants(mapOf(ONE to 1.0, OTHER to 3.0), 400, { 450 }, { 0 }).groupingBy { it.first }.eachCount()
            runs shouldBe mapOf(ONE to 100, OTHER to 300)
        }

        test("what a workspace does not demand is shared by the others") {
            val demands = listOf(10.0, 100.0, 300.0).map { WeightedDemand(it, 1.0) }
            ShareLevel.of(demands, 1_000.0) shouldBe ShareLevel.UNLIMITED
            ShareLevel.of(demands, 150.0) shouldBe 70.0
        }

        // Guards against state that grows with each workspace that ever asked.
        test("idle workspaces are forgotten") {
            val queue = FairQueue({ 1.0 }, START)
            repeat(1_000) { queue.onAsked(requestOf(1).copy(workspace = WorkspaceId("w$it")), START) }
            queue.forgetIdle(START + FairQueue.RETENTION * 2)
            queue.trackedGroups shouldBe 0
            val shares = ItemShares()
            repeat(1_000) { shares.onStarted(WorkspaceId("w$it"), 1.0) }
            shares.onStarted(ONE, 1.0)
            shares.onStarted(ONE, 1.0)
            (shares.tracked <= 1) shouldBe true
        }

        fun Dispatcher.retryAfter(
            number: Long,
            now: MonotonicTime = START,
        ): Duration {
            val request = requestOf(number).copy(queueDeadline = now + 1.milliseconds)
            return place(request, now).single().shouldBeInstanceOf<DispatchAction.Refuse>().retryAfter
        }

        // Guards against promises of a wait that count slots which get no work.
        test("the expected wait counts only the slots of servers that may be used") {
            val dispatcher = dispatcherOf(manifestOf(), serverOf("s1", slots = 4), serverOf("s2", slots = 4))
            (1L..12L).forEach { dispatcher.place(requestOf(it), START) }
            dispatcher.retryAfter(13) shouldBe 350.milliseconds
            val paused = dispatcherOf(manifestOf(), serverOf("s1", slots = 4), serverOf("s2", slots = 4))
            paused.place(requestOf(1), START)
            paused.release(CallId(VM_A, 1), RunOutcome.NOT_RUN, null, START)
            // The slots were counted less than 10 ms before the pause.
            val later = START + 20.milliseconds
            (2L..9L).forEach { paused.place(requestOf(it), later) }
            paused.retryAfter(10, later) shouldBe 700.milliseconds
        }

        test("the expected wait grows with the prompts of the waiting requests") {
            val dispatcher = dispatcherOf(manifestOf(), serverOf("s1", slots = 4))
            val long = PromptShape(promptTokens = 450 + 3 * RunWork.UNKNOWN.toInt(), outputTokens = 20)
            dispatcher.place(requestOf(0), START)
            val later = START + 700.milliseconds
            dispatcher.release(CallId(VM_A, 0), RunOutcome.ANSWERED, null, later)
            (1L..8L).forEach { dispatcher.place(requestOf(it, later).copy(prompt = long), later) }
            dispatcher.retryAfter(9, later) shouldBe 2_800.milliseconds
        }

        // Guards against a priority that only orders requests of one workspace, or that exceeds a share for long.
        test("a higher priority goes first across workspaces by a bounded lead beyond the share") {
            val order = grants(mapOf(ONE to 1.0, OTHER to 1.0), 400, { 450 }, { if (it == ONE) 0 else 1 })
            val lead = (FairQueue.MAX_LEAD / order.first().second).toInt()
            order.take(lead).map { it.first }.toSet() shouldBe setOf(ONE)
            (order.count { it.first == ONE } - order.count { it.first == OTHER } in 0..lead + 1) shouldBe true
        }

        // Guards against a workspace whose jobs wait until those submitted earlier by another one are done.
        test("JobsOfTwo: the items of two workspaces take turns, whichever job arrived first") {
            val dispatcher = dispatcherOf(manifestOf(), serverOf("s1", slots = 3))
            val first = dispatcher.onJob(jobOf("early", 20), emptySet(), START).started().toMutableList()
            dispatcher.onJob(jobOf("late", 20, dueIn = 20.seconds).copy(workspace = OTHER), emptySet(), START)
            val next =
                (1..6).flatMap {
                    val run = first.removeFirst()
                    dispatcher.onItem(run.item, run.call, ItemOutcome.LISTED, START)
                    dispatcher.release(run.call, RunOutcome.ANSWERED, null, START).started().also { first += it }
                }
            next.groupingBy { it.item.job.id.value }.eachCount().getValue("late") shouldBe 3
        }

        // Guards against online requests that wait for the jobs of another workspace. The earlier code passes, too.
        test("JobsBesideOnline: online requests of one workspace preempt the items of another") {
            val dispatcher = dispatcherOf(manifestOf(), serverOf("s1", slots = 8))
            dispatcher.onJob(jobOf("j", 100), emptySet(), START)
            val placed = (1L..8L).flatMap { dispatcher.place(requestOf(it).copy(workspace = OTHER), START).placed() }
            placed shouldContainExactly (1L..8L).toList()
            dispatcher.release(CallId(VM_A, 99), RunOutcome.STOPPED, null, START).shouldBeEmpty()
        }
    })
