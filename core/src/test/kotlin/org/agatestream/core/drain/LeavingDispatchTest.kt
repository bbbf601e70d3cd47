package org.agatestream.core.drain

import io.kotest.core.spec.style.FunSpec
import io.kotest.matchers.comparables.shouldBeGreaterThan
import io.kotest.matchers.shouldBe
import org.agatestream.core.CallId
import org.agatestream.core.DispatchAction
import org.agatestream.core.ErrorKind
import org.agatestream.core.ItemOutcome
import org.agatestream.core.RunDetail
import org.agatestream.core.RunOutcome
import org.agatestream.core.START
import org.agatestream.core.VM_A
import org.agatestream.core.dispatcherOf
import org.agatestream.core.jobOf
import org.agatestream.core.manifestOf
import org.agatestream.core.placed
import org.agatestream.core.requestOf
import org.agatestream.core.serverOf
import org.agatestream.core.started
import kotlin.time.Duration
import kotlin.time.Duration.Companion.milliseconds

class LeavingDispatchTest :
    FunSpec({
        // Guards against a server that is suspected or paused because it ends or refuses runs as it leaves.
        test("runs that a leaving server ends or refuses leave no trace") {
            for (outcome in listOf(RunOutcome.LOST, RunOutcome.UNREACHABLE, RunOutcome.NOT_RUN)) {
                val dispatcher = dispatcherOf(manifestOf(), serverOf("s1", slots = 4))
                repeat(4) { dispatcher.place(requestOf(it.toLong()), START).placed() shouldBe listOf(it.toLong()) }
                val leaving = RunDetail(isServerLeaving = true)
                repeat(4) { dispatcher.release(CallId(VM_A, it.toLong()), outcome, null, START, leaving) }
                dispatcher.suspectedServers shouldBe emptyMap()
                dispatcher.place(requestOf(9), START).placed() shouldBe listOf(9L)
            }
        }

        // Guards against callers that wait for servers of which none may get their requests any more.
        test("queued requests are refused at once when the last server of their service leaves") {
            val dispatcher = dispatcherOf(manifestOf(), serverOf("s1", slots = 1), serverOf("s2", slots = 1))
            repeat(3) { dispatcher.place(requestOf(it.toLong()), START) }
            dispatcher.waitingRequests shouldBe 1
            dispatcher.onServers(listOf(serverOf("s2", slots = 1)), START) shouldBe emptyList()
            val refusal = dispatcher.onServers(emptyList(), START).single() as DispatchAction.Refuse
            refusal.kind shouldBe ErrorKind.NO_CAPACITY
            refusal.retryAfter shouldBeGreaterThan Duration.ZERO
            dispatcher.waitingRequests shouldBe 0
            dispatcher.runningCalls shouldBe 2
        }

        // Guards against items that wait for a server that leaves while another one is free.
        test("an item that a VM did not start as its server leaves goes to another server") {
            val dispatcher = dispatcherOf(manifestOf(), serverOf("s1", slots = 4))
            val first = dispatcher.onJob(jobOf("j", items = 1), emptySet(), START).started().single()
            dispatcher.onServers(listOf(serverOf("s2", slots = 4)), START)
            val now = START + 50.milliseconds
            dispatcher.release(first.call, RunOutcome.STOPPED, null, now, RunDetail(isServerLeaving = true))
            val outcome = ItemOutcome.INTERRUPTED
            dispatcher
                .onItem(first.item, first.call, outcome, now)
                .started()
                .single()
                .server shouldBe
                serverOf("s2").entry.id
        }
    })
