package org.agatestream.standin

import io.kotest.core.spec.style.FunSpec
import io.kotest.matchers.nulls.shouldNotBeNull
import io.kotest.matchers.shouldBe

class WheelItemsTest :
    FunSpec({
        val items = WheelItems(items = 2, impossible = 1)
        val right = """{"id":"wheel-0","status":"done","body":{"length_mm":258.62}}"""
        val failed = """{"id":"wheel-1","status":"failed","error":{"code":"impossible","message":"no"}}"""

        test("right results pass in any order") {
            items.fault("$failed\n$right\n") shouldBe null
        }

        test("a missing, a second, a wrong and an unknown result are found") {
            items.fault(right).shouldNotBeNull()
            items.fault("$right\n$right\n$failed").shouldNotBeNull()
            items.fault("${right.replace("258", "259")}\n$failed").shouldNotBeNull()
            items.fault("$right\n$failed\n${right.replace("wheel-0", "x")}").shouldNotBeNull()
        }
    })
