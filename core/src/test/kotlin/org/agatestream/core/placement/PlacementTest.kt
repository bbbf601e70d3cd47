package org.agatestream.core.placement

import io.kotest.core.spec.style.FunSpec
import io.kotest.matchers.ints.shouldBeGreaterThan
import io.kotest.matchers.shouldBe
import org.agatestream.core.BackendServerId
import org.agatestream.core.CallId
import org.agatestream.core.DispatchAction
import org.agatestream.core.Dispatcher
import org.agatestream.core.PlaceRequest
import org.agatestream.core.PromptPart
import org.agatestream.core.RunOutcome
import org.agatestream.core.START
import org.agatestream.core.VM_A
import org.agatestream.core.dispatcherOf
import org.agatestream.core.manifestOf
import org.agatestream.core.requestOf
import org.agatestream.core.serverOf
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
    })
