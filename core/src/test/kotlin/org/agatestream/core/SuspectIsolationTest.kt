package org.agatestream.core

import io.kotest.core.spec.style.FunSpec
import io.kotest.matchers.collections.shouldBeEmpty
import io.kotest.matchers.collections.shouldContainExactly
import io.kotest.matchers.shouldBe
import io.kotest.matchers.shouldNotBe
import kotlin.time.Duration.Companion.milliseconds
import kotlin.time.Duration.Companion.seconds

private const val SUSPECT = "5"
private const val SECOND = "6"

private class IsolationFixture(
    servers: Int,
) {
    val suspects = CrashSuspects()
    val dispatcher = Dispatcher(nextNumber = 1_000, suspects = suspects)
    private var nextServer = 0

    init {
        dispatcher.onManifest(manifestOf())
        dispatcher.onFollowers(listOf(VM_A, VM_B), 2)
        dispatcher.onServers((1..servers).map { serverOf("s$it", slots = 2) }, START)
        dispatcher.allowItems(START)
    }

    fun crash(part: String) {
        val at = START - 10.seconds + nextServer.seconds
        val server = ServerIncarnation(BackendServerId("lost${nextServer++}"), 0)
        suspects.onCrash(listOf(PromptPart(part)), server, at - 100.milliseconds, at)
    }

    fun place(
        number: Long,
        vararg parts: String,
    ): BackendServerId? =
        dispatcher
            .place(requestOf(number).copy(parts = parts.map { PromptPart(it) }), START)
            .filterIsInstance<DispatchAction.Place>()
            .singleOrNull { it.call.number == number }
            ?.server
}

class SuspectIsolationTest :
    FunSpec({
        test("requests with a suspected part run one at a time, and others are not delayed") {
            val fleet = IsolationFixture(servers = 3)
            fleet.crash(SUSPECT)
            fleet.place(1, SUSPECT) shouldNotBe null
            fleet.place(2, SUSPECT) shouldBe null
            (3L..6L).forEach { fleet.place(it) shouldNotBe null }
            val next = fleet.dispatcher.release(CallId(VM_A, 1), RunOutcome.LOST, null, START + 100.milliseconds)
            next.placed() shouldContainExactly listOf(2)
        }

        test("the next request starts at once when the answer to a suspected one begins") {
            val fleet = IsolationFixture(servers = 3)
            fleet.crash(SUSPECT)
            val server = fleet.place(1, SUSPECT)!!
            fleet.place(2, SUSPECT) shouldBe null
            fleet.dispatcher.onReport(VM_A, listOf(RunningCall(1, server, hasBegun = true)), emptyList(), START)
            fleet.dispatcher.tick(START + 10.milliseconds).placed() shouldContainExactly listOf(2)
        }

        test("runs with two suspected parts are at different servers, and other requests avoid both") {
            val fleet = IsolationFixture(servers = 3)
            fleet.crash(SUSPECT)
            fleet.crash(SECOND)
            val first = fleet.place(1, SUSPECT)
            val second = fleet.place(2, SECOND)
            second shouldNotBe first
            val others = (3L..4L).map { fleet.place(it) }.toSet()
            (first in others) shouldBe false
            (second in others) shouldBe false
            fleet.place(5) shouldNotBe null
        }

        test("a suspected request goes to an idle server") {
            val fleet = IsolationFixture(servers = 2)
            val busy = fleet.place(1)
            fleet.crash(SUSPECT)
            fleet.place(2, SUSPECT) shouldNotBe busy
        }

        test("a queued suspected request keeps no items from running") {
            val fleet = IsolationFixture(servers = 2)
            fleet.crash(SUSPECT)
            fleet.place(1, SUSPECT)
            fleet.place(2, SUSPECT) shouldBe null
            fleet.dispatcher
                .onJob(jobOf("j", items = 1), emptySet(), START)
                .started()
                .size shouldBe 1
        }

        test("a condemned request is refused at once, also from the queue, and gives back its share of the rate") {
            val fleet = IsolationFixture(servers = 3)
            repeat(2) { fleet.crash(SUSPECT) }
            fleet.place(1, SUSPECT) shouldNotBe null
            fleet.place(2, SUSPECT) shouldBe null
            fleet.crash(SUSPECT)
            val actions = fleet.dispatcher.release(CallId(VM_A, 1), RunOutcome.LOST, null, START)
            actions.placed().shouldBeEmpty()
            actions.filterIsInstance<DispatchAction.Refuse>().single().kind shouldBe ErrorKind.PROMPT_REFUSED
            val refused = fleet.dispatcher.place(requestOf(3).copy(parts = listOf(PromptPart(SUSPECT))), START)
            refused.filterIsInstance<DispatchAction.Refuse>().single().kind shouldBe ErrorKind.PROMPT_REFUSED
        }

        test("an item with a condemned part waits without running, and is given up when its retention ends") {
            val fleet = IsolationFixture(servers = 1)
            val item =
                fleet.dispatcher
                    .onJob(jobOf("j", items = 1), emptySet(), START)
                    .started()
                    .single()
            fleet.dispatcher.release(item.call, RunOutcome.STOPPED, null, START)
            fleet.dispatcher.onItem(item.item, item.call, ItemOutcome.WITHHELD, START).shouldBeEmpty()
            fleet.dispatcher.tick(START + 9.seconds).shouldBeEmpty()
            val again =
                fleet.dispatcher
                    .tick(START + 10.seconds)
                    .started()
                    .single()
            fleet.dispatcher.release(again.call, RunOutcome.STOPPED, null, START + 10.seconds)
            fleet.dispatcher.onItem(again.item, again.call, ItemOutcome.WITHHELD, START + 59.seconds)
            val end = fleet.dispatcher.tick(START + 61.seconds)
            end.filterIsInstance<DispatchAction.GiveUpItem>().map { it.item } shouldContainExactly listOf(item.item)
        }
    })
