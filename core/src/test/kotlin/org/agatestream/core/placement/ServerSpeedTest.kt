package org.agatestream.core.placement

import io.kotest.core.spec.style.FunSpec
import io.kotest.matchers.comparables.shouldBeGreaterThan
import io.kotest.matchers.comparables.shouldBeLessThan
import io.kotest.matchers.shouldBe
import org.agatestream.core.START
import kotlin.time.Duration.Companion.milliseconds
import kotlin.time.Duration.Companion.seconds

/** Guards against trust in figures that are old or false, and against a server that is avoided for good. */
class ServerSpeedTest :
    FunSpec({
        test("a fresh figure counts at once, and not at all once it is 600 ms old") {
            val speed = ServerSpeed()
            speed.onReported(250, START)
            speed.factor(START + 50.milliseconds) shouldBeGreaterThan 1.8
            speed.factor(START + 600.milliseconds) shouldBe 1.0
        }

        test("an older figure does not replace a newer one") {
            val speed = ServerSpeed()
            speed.onReported(100, START + 100.milliseconds)
            speed.onReported(400, START)
            speed.factor(START + 100.milliseconds) shouldBe 1.0
        }

        test("a figure that contradicts observed times loses its weight within 20 runs") {
            val speed = ServerSpeed()
            var now = START
            repeat(20) {
                now += 50.milliseconds
                speed.onObserved(1.0, if (it % 2 == 0) 50 else 400, now)
            }
            speed.onReported(400, now)
            speed.factor(now) shouldBeLessThan 1.3
        }

        test("a server without runs is taken for a usual one after 4.5 s") {
            val speed = ServerSpeed()
            repeat(200) { speed.onObserved(5.0, null, START + (it * 50).milliseconds) }
            speed.factor(START + 10.seconds) shouldBeGreaterThan 4.0
            speed.factor(START + 14.5.seconds) shouldBe 1.0
        }
    })
