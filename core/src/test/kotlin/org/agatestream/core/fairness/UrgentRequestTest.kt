package org.agatestream.core.fairness

import io.kotest.core.spec.style.FunSpec
import io.kotest.matchers.collections.shouldBeEmpty
import io.kotest.matchers.collections.shouldContainExactly
import io.kotest.matchers.shouldBe
import io.kotest.matchers.types.shouldBeInstanceOf
import org.agatestream.core.CallId
import org.agatestream.core.DispatchAction
import org.agatestream.core.Dispatcher
import org.agatestream.core.MonotonicTime
import org.agatestream.core.PlaceRequest
import org.agatestream.core.RunOutcome
import org.agatestream.core.START
import org.agatestream.core.SchedulingPolicy
import org.agatestream.core.VM_A
import org.agatestream.core.manifestOf
import org.agatestream.core.requestOf
import org.agatestream.core.serverOf
import kotlin.time.Duration.Companion.milliseconds

/** Runs take 700 ms unless known otherwise, so four waiting requests stand for 2.8 s of a slot. */
private const val BACKLOG = 4

/** Returns a dispatcher whose only slot is taken and for which requests of low [priority] wait since [START]. */
private fun backlogged(priority: Int): Dispatcher {
    val policy = SchedulingPolicy(sharesSlots = false, comparesServers = false)
    val dispatcher = Dispatcher(nextNumber = 1_000, policy = policy)
    dispatcher.onManifest(manifestOf())
    dispatcher.onServers(listOf(serverOf("s1", slots = 1)), START)
    dispatcher.place(requestOf(0), START)
    repeat(BACKLOG) { dispatcher.place(requestOf(it + 1L, priority = priority), START) }
    dispatcher.waitingRequests shouldBe BACKLOG
    return dispatcher
}

/** A request whose caller waits for a second and expects the response to begin within 300 ms. */
private fun urgent(
    number: Long,
    at: MonotonicTime,
): PlaceRequest = requestOf(number, at).copy(latestStart = at + 150.milliseconds, queueDeadline = at + 730.milliseconds)

class UrgentRequestTest :
    FunSpec({
        // Guards against refusals for a backlog that the request would go ahead of: routes with a short timeout got no
        // slot while servers were short, although requests with a long timeout were served on time.
        test("a request with a short timeout is not refused for late requests that it goes before") {
            val dispatcher = backlogged(priority = 0)
            val later = START + 400.milliseconds
            dispatcher.place(urgent(9, later), later).shouldBeEmpty()
            val freed = dispatcher.release(CallId(VM_A, 0), RunOutcome.ANSWERED, null, later + 100.milliseconds)
            freed.filterIsInstance<DispatchAction.Place>().map { it.call.number } shouldContainExactly listOf(9L)
        }

        test("a request with a short timeout is not refused for requests of lower priority") {
            val dispatcher = backlogged(priority = 1)
            dispatcher.place(urgent(9, START), START).shouldBeEmpty()
            val freed = dispatcher.release(CallId(VM_A, 0), RunOutcome.ANSWERED, null, START + 100.milliseconds)
            freed.filterIsInstance<DispatchAction.Place>().map { it.call.number } shouldContainExactly listOf(9L)
        }

        // Guards against callers that wait in vain: an overtaken request was kept until its deadline.
        test("a request that was accepted to start on time is refused as soon as it can't") {
            val dispatcher = backlogged(priority = 0)
            val later = START + 400.milliseconds
            dispatcher.place(urgent(9, later), later).shouldBeEmpty()
            dispatcher.tick(later + 100.milliseconds).shouldBeEmpty()
            val refused = dispatcher.tick(later + 200.milliseconds).single()
            refused.shouldBeInstanceOf<DispatchAction.Refuse>().call shouldBe CallId(VM_A, 9)
            dispatcher.waitingRequests shouldBe BACKLOG
        }

        // Guards against accepting what can't be served: it would wait in vain until its deadline.
        test("a request that can't start on time is refused at once if it would miss its deadline behind the others") {
            val dispatcher = backlogged(priority = 0)
            val refused = dispatcher.place(urgent(9, START), START).single()
            refused.shouldBeInstanceOf<DispatchAction.Refuse>().call shouldBe CallId(VM_A, 9)
        }
    })
