package org.agatestream.standin

import io.kotest.core.spec.style.FunSpec
import io.kotest.matchers.doubles.plusOrMinus
import io.kotest.matchers.nulls.shouldNotBeNull
import io.kotest.matchers.shouldBe
import kotlin.math.sqrt

class SpokeLengthTest :
    FunSpec({
        val hub = Hub(flangeDiameter = 45.0, centerToFlange = 35.0, holeDiameter = 2.5)
        val wheel = Wheel(hub, Rim(602.0), spokes = 32, crosses = 3)

        test("a radial spoke is the hypotenuse less half the hole") {
            val expected = sqrt((301 - 22.5) * (301 - 22.5) + 35 * 35) - 1.25
            wheel.copy(crosses = 0).spokeLength() shouldBe (expected plusOrMinus 1e-9)
        }

        test("a three-cross spoke of a usual 32-hole wheel") {
            wheel.fault() shouldBe null
            wheel.spokeLength() shouldBe (293.96 plusOrMinus 0.01)
        }

        test("impossible wheels are named") {
            wheel.copy(crosses = 5).fault().shouldNotBeNull()
            wheel.copy(spokes = 31).fault().shouldNotBeNull()
            wheel.copy(rim = Rim(40.0)).fault().shouldNotBeNull()
            wheel.copy(hub = hub.copy(holeDiameter = 50.0)).fault().shouldNotBeNull()
        }
    })
