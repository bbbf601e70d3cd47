package org.agatestream.core

import io.kotest.core.spec.style.FunSpec
import io.kotest.matchers.shouldBe
import kotlin.time.Duration.Companion.milliseconds

private val RECEIVED = MonotonicTime.ZERO

class RunOrderTest :
    FunSpec({
        // Guards against items that are sent after a wait in which their job ended, or their VM was paused.
        test("an order that has waited for longer than its validity sends no item") {
            val order = RunOrder(RECEIVED)
            order.faultAt(RECEIVED) shouldBe null
            order.faultAt(RECEIVED + RunOrder.VALIDITY) shouldBe null
            order.faultAt(RECEIVED + RunOrder.VALIDITY + 1.milliseconds) shouldBe OrderFault.EXPIRED
        }
    })
