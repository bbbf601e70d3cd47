package org.agatestream.core

import io.kotest.core.spec.style.FunSpec
import io.kotest.matchers.collections.shouldBeEmpty
import io.kotest.matchers.collections.shouldContainExactly
import io.kotest.matchers.shouldBe
import io.kotest.matchers.types.shouldBeInstanceOf
import kotlin.time.Duration
import kotlin.time.Duration.Companion.milliseconds
import kotlin.time.Duration.Companion.seconds

private const val DEADLY = "de"
private const val SHARED = "5a"
private const val OTHER = "0f"

/** Records a crash of server [number] at [at] on a run sent 100 ms before. */
private fun CrashSuspects.crash(
    number: Int,
    at: Duration,
    vararg parts: String,
) {
    val now = START + at
    onCrash(
        parts.map { PromptPart(it) },
        ServerIncarnation(BackendServerId("s$number"), 0),
        now - 100.milliseconds,
        now,
    )
}

private fun CrashSuspects.verdict(
    at: Duration,
    vararg parts: String,
): PromptVerdict = judge(parts.map { PromptPart(it) }, START + at)

class CrashSuspectsTest :
    FunSpec({
        test("one crash makes a part suspected, three separate ones condemn it") {
            val suspects = CrashSuspects()
            suspects.verdict(0.seconds, DEADLY) shouldBe PromptVerdict.Clear
            suspects.crash(1, 1.seconds, DEADLY)
            suspects.verdict(1.seconds, DEADLY) shouldBe PromptVerdict.Suspected(setOf(PromptPart(DEADLY)))
            suspects.crash(2, 2.seconds, DEADLY)
            suspects.verdict(2.seconds, DEADLY) shouldBe PromptVerdict.Suspected(setOf(PromptPart(DEADLY)))
            suspects.crash(3, 3.seconds, DEADLY)
            suspects.verdict(3.seconds, DEADLY) shouldBe PromptVerdict.Condemned(PromptPart(DEADLY))
            suspects.condemned.single().crashes shouldBe 3
        }

        test("servers that end at the same moment are one event") {
            val suspects = CrashSuspects()
            for (server in 1..6) suspects.crash(server, 1.seconds + server.milliseconds, DEADLY)
            suspects.verdict(2.seconds, DEADLY).shouldBeInstanceOf<PromptVerdict.Suspected>()
            suspects.condemned.shouldBeEmpty()
        }

        test("several runs at one server are one crash, and a server that started again counts anew") {
            val suspects = CrashSuspects()
            repeat(5) { suspects.crash(1, it.seconds, DEADLY) }
            suspects.condemned.shouldBeEmpty()
            for (start in 1L..2L) {
                val now = START + 5.seconds + start.seconds
                val again = ServerIncarnation(BackendServerId("s1"), start)
                suspects.onCrash(listOf(PromptPart(DEADLY)), again, now - 50.milliseconds, now)
            }
            suspects.condemned.map { it.part } shouldContainExactly listOf(PromptPart(DEADLY))
        }

        test("an answer that begins clears a part") {
            val suspects = CrashSuspects()
            for (server in 1..2) suspects.crash(server, server.seconds, OTHER)
            suspects.onSoundStart(listOf(PromptPart(OTHER)), START + 3.seconds)
            suspects.verdict(3.seconds, OTHER) shouldBe PromptVerdict.Clear
            suspects.crash(3, 6.seconds, OTHER)
            suspects.verdict(6.seconds, OTHER) shouldBe PromptVerdict.Suspected(setOf(PromptPart(OTHER)))
        }

        test("a part on which answers begin all the time is not suspected, and the other part is blamed") {
            val suspects = CrashSuspects()
            for (server in 1..3) {
                suspects.onSoundStart(listOf(PromptPart(SHARED)), START + server.seconds - 500.milliseconds)
                suspects.crash(server, server.seconds, SHARED, DEADLY)
                suspects.verdict(server.seconds, SHARED) shouldBe PromptVerdict.Clear
            }
            suspects.verdict(4.seconds, SHARED, DEADLY) shouldBe PromptVerdict.Condemned(PromptPart(DEADLY))
        }

        test("parts seen in the same crashes only are condemned together, and one of them alone is tried first") {
            val suspects = CrashSuspects()
            for (server in 1..3) suspects.crash(server, server.seconds, OTHER, DEADLY)
            suspects.verdict(4.seconds, OTHER, DEADLY).shouldBeInstanceOf<PromptVerdict.Condemned>()
            suspects.verdict(4.seconds, OTHER) shouldBe PromptVerdict.Suspected(setOf(PromptPart(OTHER)))
            suspects.onSoundStart(listOf(PromptPart(OTHER)), START + 5.seconds)
            suspects.verdict(5.seconds, OTHER) shouldBe PromptVerdict.Clear
            suspects.verdict(5.seconds, DEADLY) shouldBe PromptVerdict.Condemned(PromptPart(DEADLY))
        }

        test("a part that was beside a condemned one at each of its crashes is not suspected") {
            val suspects = CrashSuspects()
            for (server in 1..4) suspects.crash(server, server.seconds, DEADLY)
            for (server in 2..4) suspects.crash(server, server.seconds, OTHER)
            suspects.verdict(5.seconds, OTHER) shouldBe PromptVerdict.Clear
            suspects.verdict(5.seconds, DEADLY) shouldBe PromptVerdict.Condemned(PromptPart(DEADLY))
        }

        test("facts of several VMs add up in any order, and merging them again changes nothing") {
            val vms = List(3) { CrashSuspects() }
            vms.forEachIndexed { index, vm -> vm.crash(index, index.seconds, DEADLY) }
            val now = START + 4.seconds
            for (order in listOf(listOf(0, 1, 2), listOf(2, 0, 1))) {
                val merged = CrashSuspects()
                order.forEach { merged.merge(vms[it].facts(now), now) }
                merged.verdict(4.seconds, DEADLY) shouldBe PromptVerdict.Condemned(PromptPart(DEADLY))
                val version = merged.version
                val echoed = CrashSuspects()
                echoed.merge(merged.facts(now), now + 5.milliseconds)
                merged.merge(echoed.facts(now + 5.milliseconds), now + 10.milliseconds)
                merged.version shouldBe version
            }
        }

        test("an answer that began at another VM clears a part here") {
            val here = CrashSuspects()
            val there = CrashSuspects()
            for (server in 1..3) here.crash(server, server.seconds, OTHER)
            there.merge(here.facts(START + 4.seconds), START + 4.seconds)
            there.onSoundStart(listOf(PromptPart(OTHER)), START + 5.seconds)
            here.merge(there.facts(START + 6.seconds), START + 6.seconds)
            here.verdict(6.seconds, OTHER) shouldBe PromptVerdict.Clear
        }

        test("a condemned part is kept while requests with it come, and forgotten after") {
            val suspects = CrashSuspects()
            for (server in 1..3) suspects.crash(server, server.seconds, DEADLY)
            for (second in 30..300 step 30) {
                suspects.expire(START + second.seconds)
                suspects.verdict(second.seconds, DEADLY) shouldBe PromptVerdict.Condemned(PromptPart(DEADLY))
            }
            suspects.expire(START + 400.seconds)
            suspects.verdict(400.seconds, DEADLY) shouldBe PromptVerdict.Clear
            suspects.facts(START + 400.seconds).shouldBeEmpty()
        }

        test("the number of parts is bounded, and those with the most crashes stay") {
            val suspects = CrashSuspects()
            for (server in 1..3) suspects.crash(server, server.seconds, DEADLY)
            repeat(10_000) { suspects.crash(it + 4, 4.seconds + it.milliseconds, "x$it") }
            suspects.verdict(15.seconds, DEADLY) shouldBe PromptVerdict.Condemned(PromptPart(DEADLY))
            (suspects.facts(START + 15.seconds).size <= 128) shouldBe true
        }
    })
