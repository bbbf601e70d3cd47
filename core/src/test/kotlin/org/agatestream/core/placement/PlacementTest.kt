package org.agatestream.core.placement

import io.kotest.core.spec.style.FunSpec
import io.kotest.matchers.ints.shouldBeGreaterThan
import io.kotest.matchers.shouldBe
import org.agatestream.core.BackendServerId
import org.agatestream.core.CHAT
import org.agatestream.core.CallId
import org.agatestream.core.DispatchAction
import org.agatestream.core.Dispatcher
import org.agatestream.core.ErrorKind
import org.agatestream.core.PlaceRequest
import org.agatestream.core.PromptPart
import org.agatestream.core.RunOutcome
import org.agatestream.core.RunningCall
import org.agatestream.core.START
import org.agatestream.core.ServiceSpec
import org.agatestream.core.VM_A
import org.agatestream.core.VM_B
import org.agatestream.core.dispatcherOf
import org.agatestream.core.jobOf
import org.agatestream.core.manifestOf
import org.agatestream.core.placed
import org.agatestream.core.requestOf
import org.agatestream.core.serverOf
import org.agatestream.core.started
import kotlin.time.Duration.Companion.seconds

/** Guards against shared prompts that are read again at another server, and against a server overloaded by them. */
class PlacementTest :
    FunSpec({
        val document = listOf(SizedPart(PromptPart("system"), 200), SizedPart(PromptPart("document"), 800))

        fun requestWith(
            number: Long,
            parts: List<SizedPart>,
        ): PlaceRequest = requestOf(number).copy(prompt = PromptShape(parts, 1_100, 20))

        fun Dispatcher.serverOf(request: PlaceRequest): BackendServerId =
            place(request, START).filterIsInstance<DispatchAction.Place>().single { it.call == request.call }.server

        fun serversOf(count: Int) = (1..count).map { serverOf("s$it", slots = 8) }.toTypedArray()

        test("a shared prompt goes to the server that holds it unless that server is busy") {
            val dispatcher = dispatcherOf(manifestOf(), *serversOf(4))
            val holder = dispatcher.serverOf(requestWith(1, document))
            dispatcher.serverOf(requestWith(2, document)) shouldBe holder
            val others = (3L..10L).map { dispatcher.serverOf(requestWith(it, document)) }
            others.count { it != holder } shouldBeGreaterThan 3
        }

        test("a part counts as held only together with all parts before it") {
            val cache = PromptCache()
            cache.onRun(document, START)
            cache.heldTokens(document, START) shouldBe 1_000
            cache.heldTokens(listOf(SizedPart(PromptPart("other"), 50)) + document, START) shouldBe 0
            cache.heldTokens(document.take(1) + SizedPart(PromptPart("x"), 9) + document.drop(1), START) shouldBe 200
        }

        test("parts beyond the capacity of a cache, unused parts and those of a restarted server count as evicted") {
            val cache = PromptCache(capacityTokens = 900)
            cache.onRun(document, START)
            cache.heldTokens(document, START) shouldBe 0
            val kept = PromptCache()
            kept.onRun(document, START)
            kept.heldTokens(document, START + 31.seconds) shouldBe 0
            val server = serverOf("s1")
            val dispatcher = dispatcherOf(manifestOf(), server, serverOf("s2"))
            val holder = dispatcher.serverOf(requestWith(1, document))
            dispatcher.release(CallId(VM_A, 1), RunOutcome.ANSWERED, null, START)
            val restarted = listOf(server, serverOf("s2")).map { it.copy(entry = it.entry.copy(startedAtMillis = 5)) }
            dispatcher.onServers(restarted, START)
            val places =
                (10L..29L).map { number ->
                    dispatcher.serverOf(requestWith(number, document.drop(1))).also {
                        dispatcher.release(CallId(VM_A, number), RunOutcome.ANSWERED, null, START)
                        dispatcher.onServers(
                            restarted.map { s ->
                                s.copy(entry = s.entry.copy(startedAtMillis = number))
                            },
                            START,
                        )
                    }
                }
            places.count { it != holder } shouldBeGreaterThan 3
        }

        val small =
            manifestOf().let {
                it.copy(
                    services = mapOf(CHAT to ServiceSpec(CHAT, 0.0, memoryTokens = 10_000)),
                )
            }

        fun requestOfTokens(
            number: Long,
            tokens: Int,
        ): PlaceRequest = requestOf(number).copy(prompt = PromptShape(promptTokens = tokens - 20, outputTokens = 20))

        test("no server gets more tokens than it has memory, whatever slots are free") {
            val dispatcher = dispatcherOf(small, *serversOf(2))
            val placed = (1L..6L).flatMap { dispatcher.place(requestOfTokens(it, 4_000), START).placed() }
            placed.size shouldBe 4
            dispatcher.waitingRequests shouldBe 2
            dispatcher.release(CallId(VM_A, 1), RunOutcome.ANSWERED, null, START).placed().size shouldBe 1
        }

        test("the tokens of a silent VM's runs stay in use as long as their slots") {
            val dispatcher = dispatcherOf(small, *serversOf(1))
            dispatcher.place(requestOfTokens(1, 8_000), START)
            dispatcher.onVmLost(VM_A, hasEnded = false, START)
            val next = requestOfTokens(2, 8_000).copy(call = CallId(VM_B, 2))
            dispatcher.place(next, START).placed().size shouldBe 0
            dispatcher.tick(START + 1.seconds).placed().size shouldBe 1
        }

        test("the tokens of a run that a VM reports count") {
            val dispatcher = dispatcherOf(small, *serversOf(1))
            val run = RunningCall(9, BackendServerId("s1"), tokens = 8_000)
            dispatcher.onReport(VM_B, listOf(run), emptyList(), START)
            dispatcher.place(requestOfTokens(1, 2_000), START).placed().size shouldBe 0
            dispatcher.release(CallId(VM_B, 9), RunOutcome.ANSWERED, null, START).placed().size shouldBe 1
        }

        test("a request that waits for memory stops no item that does not make room for it") {
            val dispatcher = dispatcherOf(small, *serversOf(1))
            dispatcher.place(requestOfTokens(1, 8_000), START)
            dispatcher.onJob(jobOf("j", 3), emptySet(), START).started().size shouldBe 3
            dispatcher.place(requestOfTokens(2, 8_000), START) shouldBe emptyList()
            dispatcher.tick(START) shouldBe emptyList()
        }

        test("a request larger than a server's memory is refused at once and not to be repeated") {
            val dispatcher = dispatcherOf(small, *serversOf(2))
            val refusal = dispatcher.place(requestOfTokens(1, 10_001), START).single()
            refusal shouldBe DispatchAction.Refuse(CallId(VM_A, 1), ErrorKind.NO_CAPACITY, 1.seconds)
            dispatcher.place(requestOfTokens(2, 9_999), START).placed().size shouldBe 1
        }
    })
