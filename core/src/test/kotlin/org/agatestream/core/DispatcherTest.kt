package org.agatestream.core

import io.kotest.core.spec.style.FunSpec
import io.kotest.matchers.collections.shouldBeEmpty
import io.kotest.matchers.collections.shouldContainExactly
import io.kotest.matchers.collections.shouldContainExactlyInAnyOrder
import io.kotest.matchers.collections.shouldHaveSize
import io.kotest.matchers.collections.shouldNotContain
import io.kotest.matchers.comparables.shouldBeGreaterThan
import io.kotest.matchers.comparables.shouldBeLessThanOrEqualTo
import io.kotest.matchers.shouldBe
import io.kotest.matchers.types.shouldBeInstanceOf
import kotlin.time.Duration
import kotlin.time.Duration.Companion.milliseconds
import kotlin.time.Duration.Companion.minutes
import kotlin.time.Duration.Companion.seconds

private val TICK = 10.milliseconds
private val LONGEST_PAUSE = 2.seconds

/** Ends [run] at [endedAt] without a result and returns the next run of its item, whose start [onStarted] gets. */
private fun Dispatcher.interrupt(
    run: DispatchAction.StartItem,
    endedAt: MonotonicTime,
    hasNewOutput: Boolean = false,
    onStarted: (MonotonicTime) -> Unit,
): DispatchAction.StartItem {
    release(run.call, RunOutcome.ANSWERED, null, endedAt).started().shouldBeEmpty()
    onItem(run.item, run.call, ItemOutcome.INTERRUPTED, endedAt, hasNewOutput).started().shouldBeEmpty()
    return generateSequence(endedAt) { it + TICK }
        .takeWhile { it <= endedAt + LONGEST_PAUSE }
        .firstNotNullOf { now -> tick(now).started().singleOrNull()?.also { onStarted(now) } }
}

class DispatcherTest :
    FunSpec({
        test("a request gets a slot at the server with the most free ones") {
            val dispatcher = dispatcherOf(manifestOf(), serverOf("s1", slots = 1), serverOf("s2", slots = 3))
            val place = dispatcher.place(requestOf(1), START).single()
            place shouldBe DispatchAction.Place(CallId(VM_A, 1), BackendServerId("s2"))
        }

        test("a request waits while every slot is taken and gets the first one that is freed") {
            val dispatcher = dispatcherOf(manifestOf(), serverOf("s1", slots = 1))
            dispatcher.place(requestOf(1), START).placed() shouldContainExactly listOf(1L)
            dispatcher.place(requestOf(2), START).shouldBeEmpty()
            val freed = dispatcher.release(CallId(VM_A, 1), RunOutcome.ANSWERED, null, START + 10.milliseconds)
            freed.placed() shouldContainExactly listOf(2L)
        }

        test("a request that can meet its latency target goes before one that can't") {
            val dispatcher = dispatcherOf(manifestOf(), serverOf("s1", slots = 1))
            dispatcher.place(requestOf(1), START)
            dispatcher.place(requestOf(2), START)
            val later = START + 500.milliseconds
            dispatcher.place(requestOf(3, at = later), later)
            val freed = dispatcher.release(CallId(VM_A, 1), RunOutcome.ANSWERED, null, later)
            freed.placed() shouldContainExactly listOf(3L)
        }

        test("a request that waited too long is refused and its token refunded") {
            val dispatcher = dispatcherOf(manifestOf(rate = 1.0, burst = 4.0), serverOf("s1", slots = 1))
            dispatcher.place(requestOf(1, meteredWorkspace = TEAM), START)
            dispatcher.place(requestOf(2, meteredWorkspace = TEAM), START)
            val refused = dispatcher.tick(START + 3.seconds).single().shouldBeInstanceOf<DispatchAction.Refuse>()
            refused.kind shouldBe ErrorKind.NO_CAPACITY
            dispatcher.waitingRequests shouldBe 0
        }

        test("a request that every server has turned away is refused at once") {
            val dispatcher = dispatcherOf(manifestOf(), serverOf("s1"), serverOf("s2"))
            val tried = setOf(BackendServerId("s1"), BackendServerId("s2"))
            val refused = dispatcher.place(requestOf(1, excluded = tried), START).single()
            refused.shouldBeInstanceOf<DispatchAction.Refuse>().kind shouldBe ErrorKind.NO_CAPACITY
            dispatcher.place(requestOf(2, excluded = tried.take(1).toSet()), START).placed() shouldContainExactly
                listOf(2L)
        }

        test("a workspace gets its rate and burst and no more") {
            val dispatcher = dispatcherOf(manifestOf(rate = 10.0, burst = 20.0), serverOf("s1", slots = 1_000))
            var placed = 0
            for (millis in 0 until 5_000 step 5) {
                val now = START + millis.milliseconds
                placed += dispatcher.place(requestOf(millis.toLong(), now, TEAM), now).placed().size
            }
            // The tolerance is a tenth plus 20 requests above the rate over 5 s and the burst.
            (placed in 50..70) shouldBe true
        }

        test("a coordinator followed by half of the VMs grants half of a rate") {
            val dispatcher = dispatcherOf(manifestOf(rate = 10.0, burst = 10.0), serverOf("s1", slots = 1_000))
            dispatcher.onFollowers(listOf(VM_A), 2)
            var placed = 0
            for (millis in 0 until 5_000 step 5) {
                val now = START + millis.milliseconds
                placed += dispatcher.place(requestOf(millis.toLong(), now, TEAM), now).placed().size
            }
            (placed in 25..30) shouldBe true
        }

        test("a request over the rate is refused with the time to the next token") {
            val dispatcher = dispatcherOf(manifestOf(rate = 2.0, burst = 2.0), serverOf("s1", slots = 10))
            dispatcher.place(requestOf(1, meteredWorkspace = TEAM), START)
            val refused = dispatcher.place(requestOf(2, meteredWorkspace = TEAM), START).single()
            refused shouldBe DispatchAction.Refuse(CallId(VM_A, 2), ErrorKind.RATE_EXCEEDED, 500.milliseconds)
        }

        test("a cold server gets no more than its rate limit in a second") {
            val dispatcher =
                dispatcherOf(manifestOf(coldRate = 5.0), serverOf("s1", slots = 100, coldTimeLeft = 3.seconds))
            var placed = 0
            for (number in 1L..50L) placed += dispatcher.place(requestOf(number), START).placed().size
            placed shouldBe 5
        }

        test("a request for a service without servers is refused at once") {
            val dispatcher = dispatcherOf(manifestOf())
            val refused = dispatcher.place(requestOf(1), START).single().shouldBeInstanceOf<DispatchAction.Refuse>()
            refused.kind shouldBe ErrorKind.NO_CAPACITY
        }

        test("items use the slots left by online requests") {
            val dispatcher = dispatcherOf(manifestOf(), serverOf("s1", slots = 4))
            dispatcher.place(requestOf(1), START)
            // One slot is kept free for the next online request.
            dispatcher.onJob(jobOf("j", 10), emptySet(), START).started() shouldHaveSize 2
        }

        test("an online request preempts the item with the latest deadline") {
            val dispatcher = dispatcherOf(manifestOf(), serverOf("s1", slots = 3))
            dispatcher.onJob(jobOf("early", 1, dueIn = 5.seconds), emptySet(), START)
            dispatcher.onJob(jobOf("late", 1, dueIn = 9.seconds), emptySet(), START)
            dispatcher.place(requestOf(1), START).placed() shouldContainExactly listOf(1L)
            val actions = dispatcher.place(requestOf(2), START)
            actions.placed() shouldContainExactly listOf(2L)
            val stopped = actions.filterIsInstance<DispatchAction.StopItem>().single()
            stopped.call.number shouldBe 1_001
        }

        test("with more jobs than slots, items that can meet their deadline go before late ones") {
            val dispatcher = dispatcherOf(manifestOf(), serverOf("s1", slots = 2))
            dispatcher.place(requestOf(1), START)
            dispatcher.place(requestOf(2), START)
            dispatcher.onJob(jobOf("overdue", 3, dueIn = 1.seconds), emptySet(), START).started().shouldBeEmpty()
            dispatcher.onJob(jobOf("timely", 1, dueIn = 12.seconds), emptySet(), START).started().shouldBeEmpty()
            val started =
                dispatcher.release(CallId(VM_A, 1), RunOutcome.ANSWERED, null, START).started() +
                    dispatcher.release(CallId(VM_A, 2), RunOutcome.ANSWERED, null, START).started()
            started.map { it.item.job.id.value } shouldContainExactly listOf("timely")
        }

        test("a late item is preempted before one that can meet its deadline") {
            val dispatcher = dispatcherOf(manifestOf(), serverOf("s1", slots = 3))
            dispatcher.onJob(jobOf("overdue", 1, dueIn = 1.seconds), emptySet(), START)
            dispatcher.onJob(jobOf("timely", 1, dueIn = 12.seconds), emptySet(), START)
            dispatcher.place(requestOf(1), START)
            val stopped = dispatcher.place(requestOf(2), START).filterIsInstance<DispatchAction.StopItem>().single()
            stopped.call.number shouldBe 1_000
        }

        test("with more jobs than slots, a nearly finished item goes before one that has not started") {
            val dispatcher = dispatcherOf(manifestOf(), serverOf("s1", slots = 2))
            val begun = dispatcher.onJob(jobOf("begun", 1, dueIn = 18.seconds), emptySet(), START).started().single()
            val later = START + 3.seconds
            dispatcher.place(requestOf(1, later), later)
            dispatcher.place(requestOf(2, later), later)
            dispatcher.release(begun.call, RunOutcome.STOPPED, null, later)
            dispatcher.onItem(begun.item, begun.call, ItemOutcome.INTERRUPTED, later)
            dispatcher.onJob(jobOf("other", 1, dueIn = 12.seconds), emptySet(), later).started().shouldBeEmpty()
            val started =
                dispatcher.release(CallId(VM_A, 1), RunOutcome.ANSWERED, null, later).started() +
                    dispatcher.release(CallId(VM_A, 2), RunOutcome.ANSWERED, null, later).started()
            started.map { it.item.job.id.value } shouldContainExactly listOf("begun")
        }

        test("an item that reached the attempt limit of its route is given up") {
            val dispatcher = dispatcherOf(manifestOf(), serverOf("s1", slots = 4))
            var started = dispatcher.onJob(jobOf("j", 1), emptySet(), START).started()
            var now = START
            repeat(2) {
                val run = started.single()
                dispatcher.release(run.call, RunOutcome.ANSWERED, null, now)
                dispatcher.onItem(run.item, run.call, ItemOutcome.FAILED, now)
                now += 1.seconds
                started = dispatcher.tick(now).started()
            }
            val run = started.single()
            dispatcher.release(run.call, RunOutcome.ANSWERED, null, now)
            val last = dispatcher.onItem(run.item, run.call, ItemOutcome.FAILED, now)
            last shouldContainExactly listOf(DispatchAction.GiveUpItem(run.item, "failed_attempts"))
        }

        // Guards against an item that runs thousands of times a second where no run can bring a result.
        test("an item whose runs bring nothing starts again after growing pauses, and within 2 s at most") {
            val dispatcher = dispatcherOf(manifestOf(), serverOf("s1", slots = 4))
            var run = dispatcher.onJob(jobOf("j", 1), emptySet(), START).started().single()
            var now = START
            val pauses = ArrayList<Duration>()
            repeat(12) {
                val endedAt = now
                run = dispatcher.interrupt(run, endedAt) { now = it }
                pauses += now - endedAt
            }
            pauses.first() shouldBeLessThanOrEqualTo 60.milliseconds
            pauses.forEach { it shouldBeLessThanOrEqualTo LONGEST_PAUSE }
            pauses.forEach { it shouldBeGreaterThan 20.milliseconds }
            pauses.takeLast(4).forEach { it shouldBeGreaterThan 900.milliseconds }
        }

        test("an item whose runs bring output starts again after a short pause each time") {
            val dispatcher = dispatcherOf(manifestOf(), serverOf("s1", slots = 4))
            var run = dispatcher.onJob(jobOf("j", 1), emptySet(), START).started().single()
            var now = START
            repeat(12) {
                val endedAt = now
                run = dispatcher.interrupt(run, endedAt, hasNewOutput = true) { now = it }
                now - endedAt shouldBeLessThanOrEqualTo 60.milliseconds
            }
        }

        // Guards against an item that always goes to the one VM that can't read its body.
        test("an item whose runs bring nothing goes from one VM of its job to the next") {
            val dispatcher = dispatcherOf(manifestOf(), serverOf("s1", slots = 4))
            var run = dispatcher.onJob(jobOf("j", 1), emptySet(), START).started().single()
            var now = START
            val vms = arrayListOf(run.call.vm)
            repeat(5) {
                run = dispatcher.interrupt(run, now) { now = it }
                vms += run.call.vm
            }
            vms shouldContainExactly listOf(VM_A, VM_A, VM_B, VM_B, VM_A, VM_A)
        }

        test("an item that was stopped for an online request starts again as soon as there is a slot") {
            val dispatcher = dispatcherOf(manifestOf(), serverOf("s1", slots = 3))
            val run = dispatcher.onJob(jobOf("j", 1), emptySet(), START).started().single()
            repeat(2) { dispatcher.place(requestOf(it.toLong()), START) }
            val stopped = dispatcher.place(requestOf(2), START).filterIsInstance<DispatchAction.StopItem>().single()
            stopped.call shouldBe run.call
            dispatcher.release(run.call, RunOutcome.STOPPED, null, START)
            dispatcher.onItem(run.item, run.call, ItemOutcome.INTERRUPTED, START).started().shouldBeEmpty()
            dispatcher.release(CallId(VM_A, 0), RunOutcome.ANSWERED, null, START).started().shouldBeEmpty()
            dispatcher.release(CallId(VM_A, 1), RunOutcome.ANSWERED, null, START).started() shouldHaveSize 1
        }

        test("items of a lost VM are rerun on another VM") {
            val dispatcher = dispatcherOf(manifestOf(), serverOf("s1", slots = 4))
            val first = dispatcher.onJob(jobOf("j", 1), emptySet(), START).started().single()
            first.call.vm shouldBe VM_A
            dispatcher.onFollowers(listOf(VM_B), 2)
            val again = dispatcher.onVmLost(VM_A, hasEnded = true, START).started().single()
            again.call.vm shouldBe VM_B
            again.item shouldBe first.item
        }

        test("a run missing from its VM's report frees its slot") {
            val dispatcher = dispatcherOf(manifestOf(), serverOf("s1", slots = 1))
            dispatcher.place(requestOf(1), START)
            dispatcher.onReport(VM_A, emptyList(), emptyList(), START + 2.seconds)
            dispatcher.place(requestOf(2), START + 2.seconds).placed() shouldContainExactly listOf(2L)
        }

        test("a new coordinator counts the runs that VMs report") {
            val dispatcher = dispatcherOf(manifestOf(), serverOf("s1", slots = 1))
            dispatcher.onReport(VM_B, listOf(RunningCall(7, BackendServerId("s1"))), emptyList(), START)
            dispatcher.place(requestOf(1), START).shouldBeEmpty()
        }

        test("a run that its VM sent to another server counts at the server where it runs") {
            val dispatcher = dispatcherOf(manifestOf(), serverOf("s1", slots = 3), serverOf("s2", slots = 1))
            val given = dispatcher.place(requestOf(1), START).single().shouldBeInstanceOf<DispatchAction.Place>()
            given.server shouldBe BackendServerId("s1")
            // The response was lost, so the VM chose a server itself.
            dispatcher.onReport(VM_A, listOf(RunningCall(1, BackendServerId("s2"))), emptyList(), START)
            val free = (2L..5L).flatMap { dispatcher.place(requestOf(it), START) }
            free.filterIsInstance<DispatchAction.Place>().map { it.server.value } shouldContainExactly List(3) { "s1" }
        }

        test("a new coordinator does not start an item that a VM reported before its job was loaded") {
            val dispatcher = dispatcherOf(manifestOf(), serverOf("s1", slots = 4))
            val job = jobOf("j", 1)
            val running = listOf(RunningCall(7, BackendServerId("s1"), ItemRef(job.ref, job.items.single().id)))
            dispatcher.onReport(VM_A, running, emptyList(), START)
            dispatcher.pauseItems()
            dispatcher.onJob(job, emptySet(), START)
            dispatcher.onReport(VM_A, running, emptyList(), START + 250.milliseconds)
            dispatcher.allowItems(START)
            dispatcher.tick(START + 1.seconds).started().shouldBeEmpty()
        }

        test("a server that lost two runs is probed with one run at a time until one succeeds") {
            val dispatcher = dispatcherOf(manifestOf(), serverOf("s1", slots = 8))
            for (number in 1L..4L) dispatcher.place(requestOf(number), START)
            for (number in 1L..2L) dispatcher.release(CallId(VM_A, number), RunOutcome.LOST, null, START)
            val later = START + 2.seconds
            dispatcher.place(requestOf(5, later), later).placed() shouldContainExactly listOf(5L)
            dispatcher.place(requestOf(6, later), later).shouldBeEmpty()
            dispatcher.suspectedServers shouldBe mapOf(BackendServerId("s1") to ServerSuspicion.FAILING)
            val released = dispatcher.release(CallId(VM_A, 5), RunOutcome.ANSWERED, null, later)
            released.placed() shouldContainExactly listOf(6L)
        }

        test(
            "SilentServer: a server whose run waits too long for its first event gets no more until one arrives",
        ) {
            val dispatcher = dispatcherOf(manifestOf(), serverOf("s1", slots = 8))
            dispatcher.place(requestOf(1), START).placed() shouldContainExactly listOf(1L)
            val later = START + 500.milliseconds
            dispatcher.onReport(VM_A, listOf(runningCall(1, "s1", 500)), emptyList(), later)
            dispatcher.place(requestOf(2, later), later).shouldBeEmpty()
            dispatcher.suspectedServers shouldBe mapOf(BackendServerId("s1") to ServerSuspicion.SILENT)
            val begun = runningCall(1, "s1", null).copy(hasBegun = true)
            dispatcher.onReport(VM_A, listOf(begun), emptyList(), later + 250.milliseconds)
            dispatcher.suspectedServers shouldBe emptyMap()
            dispatcher.tick(later + 250.milliseconds).placed() shouldContainExactly listOf(2L)
        }

        test("SilentServer: after its runs are cancelled it is probed with one run at a time") {
            val dispatcher = dispatcherOf(manifestOf(), serverOf("s1", slots = 8))
            for (number in 1L..2L) dispatcher.place(requestOf(number), START)
            val silent = (1L..2L).map { runningCall(it, "s1", 1_900) }
            dispatcher.onReport(VM_A, silent, emptyList(), START + 1_900.milliseconds)
            for (number in 1L..2L) {
                dispatcher.release(CallId(VM_A, number), RunOutcome.STOPPED, null, START + 2.seconds)
            }
            val later = START + 4.seconds
            dispatcher.place(requestOf(5, later), later).placed() shouldContainExactly listOf(5L)
            dispatcher.place(requestOf(6, later), later).shouldBeEmpty()
        }

        test("SilentServer: a run without events is ignored while a run of another VM has received some") {
            val dispatcher = dispatcherOf(manifestOf(), serverOf("s1", slots = 8))
            val later = START + 1.seconds
            dispatcher.onReport(VM_A, listOf(runningCall(7, "s1", 500)), emptyList(), later)
            dispatcher.onReport(VM_B, listOf(runningCall(8, "s1", null).copy(hasBegun = true)), emptyList(), later)
            dispatcher.place(requestOf(1, later), later).placed() shouldContainExactly listOf(1L)
        }

        test("SilentServer: the end of a run that received events is not a failure of the server") {
            val dispatcher = dispatcherOf(manifestOf(), serverOf("s1", slots = 8))
            for (number in 1L..2L) dispatcher.place(requestOf(number), START)
            val begun = runningCall(1, "s1", null).copy(hasBegun = true)
            dispatcher.onReport(VM_A, listOf(begun), emptyList(), START + 250.milliseconds)
            val later = START + 1.seconds
            dispatcher.onReport(VM_A, listOf(begun, runningCall(2, "s1", 500)), emptyList(), later)
            dispatcher.release(CallId(VM_A, 1), RunOutcome.STOPPED, 60.milliseconds, later)
            dispatcher.suspectedServers.values shouldNotContain ServerSuspicion.FAILING
        }

        test("SilentServer: a new coordinator detects it from reports") {
            val dispatcher = dispatcherOf(manifestOf(), serverOf("s1", slots = 8), serverOf("s2", slots = 2))
            dispatcher.onReport(VM_B, listOf(runningCall(7, "s1", 2_000)), emptyList(), START)
            val place = dispatcher.place(requestOf(1), START).single()
            place shouldBe DispatchAction.Place(CallId(VM_A, 1), BackendServerId("s2"))
        }

        test("SilentServer: no item is preempted for a request that could not start there") {
            val dispatcher = dispatcherOf(manifestOf(), serverOf("s1", slots = 2))
            val item = dispatcher.onJob(jobOf("j", 1), emptySet(), START).started().single()
            val later = START + 600.milliseconds
            dispatcher.place(requestOf(9, later), later).placed() shouldContainExactly listOf(9L)
            val silent = RunningCall(item.call.number, item.server, item.item, silentMillis = 600)
            dispatcher.onReport(item.call.vm, listOf(silent), emptyList(), later)
            dispatcher.place(requestOf(1, later), later).shouldBeEmpty()
        }

        // Guards against more runs at a server than it has slots, as none of its items was told to stop.
        test("an item at a paused server keeps its slot until it is told to stop") {
            val dispatcher = dispatcherOf(manifestOf(), serverOf("s1", slots = 3))
            dispatcher.onJob(jobOf("j", 1), emptySet(), START).started().size shouldBe 1
            dispatcher.place(requestOf(1), START)
            dispatcher.place(requestOf(2), START)
            dispatcher.release(CallId(VM_A, 1), RunOutcome.NOT_RUN, null, START)
            dispatcher.place(requestOf(3), START).shouldBeEmpty()
            val later = START + 150.milliseconds
            dispatcher.tick(later).placed() shouldContainExactly listOf(3L)
            val actions = dispatcher.place(requestOf(4, later), later)
            actions.placed() shouldContainExactly listOf(4L)
            actions.filterIsInstance<DispatchAction.StopItem>().size shouldBe 1
        }

        // Guards against online requests that wait for items at a server whose slots became fewer.
        test("items are stopped at a server with more runs than slots until an online request fits") {
            val dispatcher = dispatcherOf(manifestOf(), serverOf("s1", slots = 4))
            dispatcher.onJob(jobOf("j", 3), emptySet(), START).started().size shouldBe 3
            dispatcher.onServers(listOf(serverOf("s1", slots = 1)), START)
            val actions = dispatcher.place(requestOf(1), START) + List(2) { dispatcher.tick(START) }.flatten()
            actions.filterIsInstance<DispatchAction.StopItem>().size shouldBe 3
            actions.placed() shouldContainExactly listOf(1L)
        }

        test("a release that arrives before its request cancels it") {
            val dispatcher = dispatcherOf(manifestOf(), serverOf("s1", slots = 1))
            dispatcher.release(CallId(VM_A, 1), RunOutcome.STOPPED, null, START)
            dispatcher.place(requestOf(1), START).shouldBeEmpty()
            dispatcher.runningCalls shouldBe 0
        }

        // A new coordinator knew that a job had ended and let the runs go on that its predecessor had ordered.
        for (isEndKnownFirst in listOf(true, false)) {
            val order = if (isEndKnownFirst) "after" else "before"
            test("EndedInGap: a run that a VM reports $order the end of its job is stopped by a new coordinator") {
                val dispatcher = dispatcherOf(manifestOf(), serverOf("s1", slots = 4))
                val job = jobOf("j", 1)
                val run = RunningCall(7, BackendServerId("s1"), ItemRef(job.ref, job.items.single().id))
                if (isEndKnownFirst) dispatcher.onJobEnded(job.ref, START)
                val first = dispatcher.onReport(VM_A, listOf(run), emptyList(), START).stopped()
                if (!isEndKnownFirst) dispatcher.onJobEnded(job.ref, START)
                val second = dispatcher.onReport(VM_A, listOf(run), emptyList(), START + 250.milliseconds).stopped()
                if (isEndKnownFirst) first shouldContainExactly listOf(CallId(VM_A, 7))
                second shouldContainExactly listOf(CallId(VM_A, 7))
            }
        }

        // Guards against an end that takes no effect as one message to a VM is lost.
        test("EndedInGap: a stop is sent again with each report that still has the run") {
            val dispatcher = dispatcherOf(manifestOf(), serverOf("s1", slots = 4))
            val started = dispatcher.onJob(jobOf("j", 1), emptySet(), START).started().single()
            dispatcher.onJobEnded(started.item.job, START).stopped() shouldContainExactly listOf(started.call)
            val run = RunningCall(started.call.number, started.server, started.item)
            repeat(2) {
                dispatcher.onReport(started.call.vm, listOf(run), emptyList(), START).stopped() shouldContainExactly
                    listOf(started.call)
            }
            dispatcher.onReport(started.call.vm, emptyList(), emptyList(), START).stopped().shouldBeEmpty()
        }

        // An online request waited for the end of an item whose stop was lost, as its slot counted as nearly free.
        test("LostStop: an item that makes way is stopped again with each report that still has its run") {
            val dispatcher = dispatcherOf(manifestOf(), serverOf("s1", slots = 2))
            val started = dispatcher.onJob(jobOf("j", 1), emptySet(), START).started().single()
            dispatcher.place(requestOf(1), START)
            dispatcher.place(requestOf(2), START).stopped() shouldContainExactly listOf(started.call)
            val run = RunningCall(started.call.number, started.server, started.item)
            dispatcher.onReport(started.call.vm, listOf(run), emptyList(), START).stopped() shouldContainExactly
                listOf(started.call)
        }

        // Guards against ends that a coordinator keeps for as long as its process runs.
        test("the end of a job is forgotten once no run of it can be reported any more") {
            val dispatcher = dispatcherOf(manifestOf(), serverOf("s1", slots = 4))
            val job = jobOf("j", 1)
            val run = RunningCall(7, BackendServerId("s1"), ItemRef(job.ref, job.items.single().id))
            dispatcher.onJobEnded(job.ref, START)
            dispatcher.tick(START + 3.minutes)
            dispatcher.onReport(VM_A, listOf(run), emptyList(), START + 3.minutes).stopped().shouldBeEmpty()
        }

        // The end of a job stopped the items of another workspace's job with the same id, or they never started.
        test("JobsOfOneId: jobs of two workspaces with the same id are kept apart") {
            val dispatcher = dispatcherOf(manifestOf(), serverOf("s1", slots = 8))
            val job = jobOf("j", 2)
            val other = job.copy(workspace = WorkspaceId("other"))
            val started = listOf(job, other).flatMap { dispatcher.onJob(it, emptySet(), START).started() }
            started shouldHaveSize 4
            val stopped = dispatcher.onJobEnded(job.ref, START).filterIsInstance<DispatchAction.StopItem>()
            stopped.map { it.call } shouldContainExactlyInAnyOrder
                started.filter { it.item.job == job.ref }.map { it.call }
            dispatcher.openJobs shouldBe 1
        }

        test("ending a job stops its items and starts no others") {
            val dispatcher = dispatcherOf(manifestOf(), serverOf("s1", slots = 4))
            val started = dispatcher.onJob(jobOf("j", 10), emptySet(), START).started()
            val actions = dispatcher.onJobEnded(JobRef(TEAM, JobId("j")), START)
            actions.filterIsInstance<DispatchAction.StopItem>().map { it.call } shouldContainExactly
                started.map { it.call }
            actions.started().shouldBeEmpty()
        }

        test("runs of an unresponsive VM keep their slots for their expected duration, as servers continue them") {
            val dispatcher = dispatcherOf(manifestOf(), serverOf("s1", slots = 2))
            dispatcher.place(requestOf(1), START)
            dispatcher.place(requestOf(2), START)
            dispatcher.onVmLost(VM_A, hasEnded = false, START + 100.milliseconds)
            val runningCall = requestOf(3).copy(call = CallId(VM_B, 3))
            dispatcher.place(runningCall, START + 100.milliseconds).placed().shouldBeEmpty()
            dispatcher.tick(START + 300.milliseconds).placed().shouldBeEmpty()
            dispatcher.tick(START + 1.seconds).placed() shouldContainExactly listOf(3L)
        }

        test("an item of an unresponsive VM whose job has no time to spare is rerun, and keeps its slot meanwhile") {
            val dispatcher = dispatcherOf(manifestOf(), serverOf("s1", slots = 4))
            dispatcher.onFollowers(listOf(VM_B), 2)
            val job = jobOf("j", 1, dueIn = 5.seconds)
            dispatcher
                .onJob(job, emptySet(), START)
                .started()
                .single()
                .call.vm shouldBe VM_B
            dispatcher.onFollowers(listOf(VM_A), 2)
            val again = dispatcher.onVmLost(VM_B, hasEnded = false, START + 1.seconds).started()
            again.single().call.vm shouldBe VM_A
            val later = START + 2.seconds
            val placed = (1L..4L).flatMap { dispatcher.place(requestOf(it, later), later).placed() }
            // The new run is preempted; one slot is held by the orphaned run.
            placed shouldContainExactly listOf(1L, 2L, 3L)
        }

        test("an item of an unresponsive VM is rerun only once its run should have ended") {
            val dispatcher = dispatcherOf(manifestOf(), serverOf("s1", slots = 4))
            val first = dispatcher.onJob(jobOf("j", 1), emptySet(), START).started().single()
            dispatcher.onFollowers(listOf(VM_B), 2)
            dispatcher.onVmLost(VM_A, hasEnded = false, START + 1.seconds).started().shouldBeEmpty()
            dispatcher.tick(START + 3.seconds).started().shouldBeEmpty()
            val again = dispatcher.tick(START + 5.seconds).started().single()
            again.item shouldBe first.item
            again.call.vm shouldBe VM_B
        }

        test("an item of a VM that was only silent goes on there once the VM reports it again") {
            val dispatcher = dispatcherOf(manifestOf(), serverOf("s1", slots = 4))
            val first = dispatcher.onJob(jobOf("j", 1), emptySet(), START).started().single()
            dispatcher.onVmLost(VM_A, hasEnded = false, START + 1.seconds)
            val back = START + 2.seconds
            val report = listOf(RunningCall(first.call.number, BackendServerId("s1"), first.item))
            dispatcher.onReport(VM_A, report, emptyList(), back).started().shouldBeEmpty()
            dispatcher.tick(START + 8.seconds).started().shouldBeEmpty()
            dispatcher.release(first.call, RunOutcome.ANSWERED, null, START + 9.seconds)
            dispatcher.onItem(first.item, first.call, ItemOutcome.LISTED, START + 9.seconds).started().shouldBeEmpty()
            dispatcher.openJobs shouldBe 0
        }

        test("an item of a VM that returns without it, or restarts, is rerun at once") {
            for (hasRestarted in listOf(false, true)) {
                val dispatcher = dispatcherOf(manifestOf(), serverOf("s1", slots = 4))
                val first = dispatcher.onJob(jobOf("j", 1), emptySet(), START).started().single()
                dispatcher.onVmLost(VM_A, hasEnded = false, START + 1.seconds).started().shouldBeEmpty()
                val back = START + 2.seconds
                val actions =
                    if (hasRestarted) {
                        dispatcher.onVmLost(VM_A, hasEnded = true, back)
                    } else {
                        dispatcher.onReport(VM_A, emptyList(), emptyList(), back)
                    }
                actions.started().single().item shouldBe first.item
            }
        }

        test("the runs of a VM whose process has ended free their slots immediately") {
            val dispatcher = dispatcherOf(manifestOf(), serverOf("s1", slots = 1))
            dispatcher.place(requestOf(1), START)
            dispatcher.onVmLost(VM_A, hasEnded = false, START)
            dispatcher.place(requestOf(2).copy(call = CallId(VM_B, 2)), START).placed().shouldBeEmpty()
            dispatcher.onVmLost(VM_A, hasEnded = true, START).placed() shouldContainExactly listOf(2L)
        }

        test("an unresponsive VM that reports again holds only the slots that it reports") {
            val dispatcher = dispatcherOf(manifestOf(), serverOf("s1", slots = 2))
            dispatcher.place(requestOf(1), START)
            dispatcher.place(requestOf(2), START)
            dispatcher.onVmLost(VM_A, hasEnded = false, START)
            dispatcher.onReport(VM_A, listOf(RunningCall(1, BackendServerId("s1"))), emptyList(), START)
            dispatcher.runningCalls shouldBe 1
            dispatcher.place(requestOf(3).copy(call = CallId(VM_B, 3)), START).placed() shouldContainExactly listOf(3L)
        }

        test("an item is rerun if only the release of its slot arrived and its VM does not report it") {
            val dispatcher = dispatcherOf(manifestOf(), serverOf("s1", slots = 4))
            val first = dispatcher.onJob(jobOf("j", 1), emptySet(), START).started().single()
            dispatcher.release(first.call, RunOutcome.STOPPED, null, START).started().shouldBeEmpty()
            val soon = START + 300.milliseconds
            dispatcher.onReport(first.call.vm, emptyList(), emptyList(), soon).started().shouldBeEmpty()
            val later = START + 2.seconds
            val again = dispatcher.onReport(first.call.vm, emptyList(), emptyList(), later).started()
            again.single().item shouldBe first.item
        }

        test("an item is rerun if a stale report of its run arrives between its outcome and its release") {
            val dispatcher = dispatcherOf(manifestOf(), serverOf("s1", slots = 4))
            val first = dispatcher.onJob(jobOf("j", 1), emptySet(), START).started().single()
            val run = RunningCall(first.call.number, first.server, first.item)
            dispatcher.pauseItems()
            dispatcher.onItem(first.item, first.call, ItemOutcome.INTERRUPTED, START)
            dispatcher.onReport(first.call.vm, listOf(run), emptyList(), START)
            dispatcher.release(first.call, RunOutcome.STOPPED, null, START)
            dispatcher.allowItems(START)
            val later = START + 2.seconds
            val again = dispatcher.onReport(first.call.vm, emptyList(), emptyList(), later).started()
            again.single().item shouldBe first.item
        }

        test("an item whose output its VM no longer holds is rerun, unless its result is stored") {
            val dispatcher = dispatcherOf(manifestOf(), serverOf("s1", slots = 4))
            val first = dispatcher.onJob(jobOf("j", 1), emptySet(), START).started().single()
            dispatcher.release(first.call, RunOutcome.ANSWERED, null, START)
            dispatcher.onItem(first.item, first.call, ItemOutcome.FINISHED, START)
            val later = START + 2.seconds
            dispatcher.onReport(first.call.vm, emptyList(), listOf(first.item), later).started().shouldBeEmpty()
            val again = dispatcher.onReport(first.call.vm, emptyList(), emptyList(), later).started().single()
            dispatcher.onItem(again.item, again.call, ItemOutcome.LISTED, later)
            dispatcher.openJobs shouldBe 0
        }

        test("a new coordinator starts items once every VM has reported") {
            val dispatcher = dispatcherOf(manifestOf(), serverOf("s1", slots = 4))
            dispatcher.allowItems(START + 800.milliseconds)
            dispatcher.onJob(jobOf("j", 1), emptySet(), START).started().shouldBeEmpty()
            val soon = START + 100.milliseconds
            dispatcher.onReport(VM_A, emptyList(), emptyList(), soon).started().shouldBeEmpty()
            dispatcher.tick(soon).started().shouldBeEmpty()
            dispatcher.onReport(VM_B, emptyList(), emptyList(), soon).started() shouldHaveSize 1
        }

        test("a coordinator that not every VM follows starts no items before the wait has passed") {
            val dispatcher = dispatcherOf(manifestOf(), serverOf("s1", slots = 4))
            dispatcher.onFollowers(listOf(VM_A), 2)
            dispatcher.allowItems(START + 800.milliseconds)
            dispatcher.onJob(jobOf("j", 1), emptySet(), START)
            dispatcher.onReport(VM_A, emptyList(), emptyList(), START).started().shouldBeEmpty()
            dispatcher.tick(START + 800.milliseconds).started() shouldHaveSize 1
        }

        // Guards against the loss of an accepted job whose route is newer than the coordinator's manifest.
        test("StaleManifest: a job accepted under a newer manifest waits until the coordinator has it") {
            val withoutBatch = manifestOf().run { copy(routes = routes.filter { it.kind != RouteKind.BATCH }) }
            val dispatcher = dispatcherOf(withoutBatch, serverOf("s1", slots = 4))
            dispatcher.onJob(jobOf("j", 2, manifestVersion = 2), emptySet(), START).shouldBeEmpty()
            dispatcher.tick(START + 2.seconds).shouldBeEmpty()
            dispatcher.onManifest(manifestOf().copy(version = 2))
            dispatcher.tick(START + 2.seconds).started() shouldHaveSize 2
        }

        test("StaleManifest: jobs that wait for a newer manifest do not delay others") {
            val dispatcher = dispatcherOf(manifestOf(), serverOf("s1", slots = 4))
            dispatcher.onJob(jobOf("newer", 300, manifestVersion = 2), emptySet(), START).shouldBeEmpty()
            dispatcher.onJob(jobOf("j", 2), emptySet(), START).started() shouldHaveSize 2
        }

        test("StaleManifest: an item is not given up for its failures under an older manifest than its job's") {
            val withoutBatch = manifestOf().run { copy(routes = routes.filter { it.kind != RouteKind.BATCH }) }
            val dispatcher = dispatcherOf(manifestOf().copy(version = 2), serverOf("s1", slots = 4))
            val run = dispatcher.onJob(jobOf("j", 1, manifestVersion = 2), emptySet(), START).started().single()
            dispatcher.onManifest(withoutBatch)
            repeat(3) { dispatcher.onItem(run.item, run.call, ItemOutcome.FAILED, START).shouldBeEmpty() }
        }

        test("an item whose route a current manifest lacks is given up") {
            val withoutBatch =
                manifestOf().run {
                    copy(
                        version = 3,
                        routes = routes.filter { it.kind != RouteKind.BATCH },
                    )
                }
            val dispatcher = dispatcherOf(withoutBatch, serverOf("s1", slots = 4))
            val actions = dispatcher.onJob(jobOf("j", 1, manifestVersion = 2), emptySet(), START)
            actions.single().shouldBeInstanceOf<DispatchAction.GiveUpItem>().reason shouldBe "route_dropped"
        }

        test("the items of a job are spread over a few VMs, so that the loss of one interrupts few") {
            val vms = (1..11).map { VmId("vm-$it") } + VM_A
            val dispatcher = dispatcherOf(manifestOf(), serverOf("s1", slots = 40))
            dispatcher.onFollowers(vms, vms.size)
            val started = dispatcher.onJob(jobOf("j", 12), emptySet(), START).started()
            val runs = started.groupingBy { it.call.vm }.eachCount()
            runs.values.toList() shouldContainExactly listOf(4, 4, 4)
            (VM_A in runs) shouldBe true
        }
    })

private fun runningCall(
    number: Long,
    server: String,
    silentMillis: Long?,
) = RunningCall(number, BackendServerId(server), silentMillis = silentMillis)
