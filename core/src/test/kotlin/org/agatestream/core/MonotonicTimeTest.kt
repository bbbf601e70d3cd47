package org.agatestream.core

import io.kotest.core.spec.style.FunSpec
import io.kotest.matchers.comparables.shouldBeGreaterThan
import io.kotest.matchers.comparables.shouldBeLessThan
import io.kotest.matchers.shouldBe
import kotlin.time.Duration
import kotlin.time.Duration.Companion.milliseconds
import kotlin.time.Duration.Companion.seconds

private val NOW = MonotonicTime.ZERO + 100.seconds

class MonotonicTimeTest :
    FunSpec({
        test("a span moves a reading") {
            NOW + 5.seconds - NOW shouldBe 5.seconds
            NOW - 5.seconds - NOW shouldBe (-5).seconds
        }

        // Guards against spans from outside that are so long that the end lies in the past.
        test("a span beyond the range leads to its limit") {
            for (span in listOf(Long.MAX_VALUE.milliseconds, Duration.INFINITE)) {
                NOW + span shouldBeGreaterThan NOW + 10_000.seconds
                MonotonicTime.ZERO - NOW.minus(MonotonicTime.ZERO) - span shouldBeLessThan MonotonicTime.ZERO
            }
        }
    })
