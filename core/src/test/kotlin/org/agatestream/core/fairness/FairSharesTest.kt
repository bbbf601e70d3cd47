package org.agatestream.core.fairness

import io.kotest.core.spec.style.FunSpec
import io.kotest.matchers.doubles.shouldBeGreaterThanOrEqual
import io.kotest.matchers.ints.shouldBeGreaterThanOrEqual
import io.kotest.matchers.shouldBe
import org.agatestream.core.WorkspaceId
import org.agatestream.core.placement.PromptShape
import kotlin.time.Duration
import kotlin.time.Duration.Companion.milliseconds
import kotlin.time.Duration.Companion.seconds

private val LARGE = WorkspaceId("large")
private val SECOND = WorkspaceId("second")
private const val NEARLY_ALL = 0.95

private val LONG = PromptShape(promptTokens = 18_000, outputTokens = 20)
private val SHORT = PromptShape(promptTokens = 450, outputTokens = 20)

private fun small(
    count: Int,
    rate: Double,
): List<Demand> = (1..count).map { Demand(WorkspaceId("small$it")) { rate } }

private fun OverloadModel.report(name: String) =
    also {
        println("$name | large ${sum { it == LARGE }} | second ${sum { it == SECOND }} | others ${others()}")
    }

/** Returns the slot time granted to [id] after the first 2 s. */
private fun OverloadModel.slotTime(id: WorkspaceId): Duration =
    outcomes.getValue(id).starts.filter { it.first in 2.seconds..8.seconds }.fold(Duration.ZERO) { sum, it ->
        sum +
            it.second
    }

private fun OverloadModel.others(): Outcomes = sum { it != LARGE && it != SECOND }

/** Load patterns of the scheduling page; each test is named after the pattern that it covers. */
class FairSharesTest :
    FunSpec({
        // Guards against the loss of four fifths of the small workspaces' requests to one large sender.
        test("OneLargeAmongMany: 73 workspaces within their share are on time beside 1,500 requests per second") {
            val demands = small(73, rate = 3.0) + Demand(LARGE) { 1_500.0 }
            val model = OverloadModel(demands).run().report("OneLargeAmongMany")
            // The slots of the fleet are used: 320 runs per second.
            model.sum { true }.starts.count { it.first < 8.seconds } shouldBeGreaterThanOrEqual 8 * 320 * 9 / 10
            model.others().fractionOnTime shouldBeGreaterThanOrEqual NEARLY_ALL
            // 320 slots and runs of 1 s, less the 219 per second of the others, for 8 s and the backlog.
            model.sum { it == LARGE }.served shouldBeGreaterThanOrEqual 8 * 90
        }

        // Guards against refusals of workspaces at their usual load while another one bursts.
        test("EightTimesUsual: a workspace at eight times its load takes nothing from the others") {
            val demands = small(7, rate = 20.0) + Demand(LARGE) { at -> if (at > 2.seconds) 320.0 else 40.0 }
            val model = OverloadModel(demands).run().report("EightTimesUsual")
            model.others().fractionOnTime shouldBeGreaterThanOrEqual NEARLY_ALL
        }

        // Guards against slots divided by the numbers of requests sent.
        test("TwoAtOnce: two large workspaces get equal parts of what the others leave") {
            val demands = small(20, rate = 5.0) + Demand(LARGE) { 1_000.0 } + Demand(SECOND) { 300.0 }
            val model = OverloadModel(demands).run().report("TwoAtOnce")
            model.others().fractionOnTime shouldBeGreaterThanOrEqual NEARLY_ALL
            val large = model.sum { it == LARGE }.served
            val second = model.sum { it == SECOND }.served
            (large.toDouble() / second in 0.8..1.25) shouldBe true
        }

        // Guards against late small requests behind the queue of a large sender.
        test("FortySmall: forty workspaces beside a large one are on time") {
            val demands = small(40, rate = 6.0) + Demand(LARGE) { 1_000.0 }
            val model = OverloadModel(demands).run().report("FortySmall")
            model.others().fractionOnTime shouldBeGreaterThanOrEqual NEARLY_ALL
        }

        // Guards against shares measured in requests, which favour long prompts.
        test("LongBesideShort: a workspace with long prompts gets no more slot time than one with short ones") {
            val demands =
                listOf(
                    Demand(LARGE, runTime = 3.seconds, shape = { it.copy(prompt = LONG) }) { 200.0 },
                    Demand(SECOND, runTime = 500.milliseconds, shape = { it.copy(prompt = SHORT) }) { 800.0 },
                )
            val model = OverloadModel(demands).run().report("LongBesideShort")
            (model.slotTime(LARGE) / model.slotTime(SECOND) in 0.7..1.4) shouldBe true
        }

        // Guards against shares that need a history to hold.
        test("NewCoordinator: a dispatcher without history keeps the shares from its first event") {
            val demands = small(73, rate = 3.0) + Demand(LARGE) { 1_500.0 }
            val model = OverloadModel(demands, restartAt = 4.seconds).run().report("NewCoordinator")
            model.others().fractionOnTime shouldBeGreaterThanOrEqual NEARLY_ALL
        }

        // Guards against shares that hold only where there is a queue.
        test("NoCoordinator: VMs that dispatch on their own serve the small workspaces beside a large one") {
            val demands = small(40, rate = 3.0) + Demand(LARGE) { 1_000.0 }
            val model = OverloadModel(demands, vms = 16).run().report("NoCoordinator")
            model.others().fractionOnTime shouldBeGreaterThanOrEqual 0.85
        }
    })
