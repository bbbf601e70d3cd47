package org.agatestream.server

import io.kotest.core.spec.style.FunSpec
import io.kotest.matchers.shouldBe
import org.agatestream.core.MonotonicTime
import kotlin.time.Duration.Companion.milliseconds
import kotlin.time.Duration.Companion.seconds

class LineBudgetTest :
    FunSpec({
        test("lines beyond the budget of a second are dropped and counted") {
            val budget = LineBudget(linesPerSecond = 2)
            val start = MonotonicTime.ZERO + 10.seconds
            budget.take(start) shouldBe 0L
            budget.take(start + 1.milliseconds) shouldBe 0L
            budget.take(start + 2.milliseconds) shouldBe null
            budget.take(start + 3.milliseconds) shouldBe null
            budget.take(start + 1.seconds) shouldBe 2L
        }
    })
