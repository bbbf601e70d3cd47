package org.agatestream.core

import io.kotest.core.spec.style.FunSpec
import io.kotest.matchers.nulls.shouldBeNull
import io.kotest.matchers.shouldBe
import kotlin.time.Duration
import kotlin.time.Duration.Companion.hours
import kotlin.time.Duration.Companion.milliseconds
import kotlin.time.Duration.Companion.seconds

private const val START_MILLIS = 1_700_000_000_000

private fun reading(
    monotonic: Duration,
    timeOfDay: Duration,
) = ClockReading(MonotonicTime.ZERO + monotonic, START_MILLIS + timeOfDay.inWholeMilliseconds)

class PauseDetectorTest :
    FunSpec({
        fun detector() = PauseDetector(500.milliseconds).apply { onRunning(reading(1.seconds, 1.seconds)) }

        test("a process that runs often enough is not paused") {
            val detector = detector()
            for (step in 3..20) {
                val at = 400.milliseconds * step
                detector.onRunning(reading(at, at)).shouldBeNull()
            }
        }

        test("a frozen process was paused on both clocks") {
            detector().onRunning(reading(4.9.seconds, 4.9.seconds)) shouldBe 3.9.seconds
        }

        test("a suspended VM was paused by its time of day only") {
            detector().onRunning(reading(1.1.seconds, 4.9.seconds)) shouldBe 3.9.seconds
        }

        test("a time of day that is set back hides no freeze and is none") {
            detector().onRunning(reading(4.9.seconds, (-1).hours)) shouldBe 3.9.seconds
            detector().onRunning(reading(1.1.seconds, (-1).hours)).shouldBeNull()
        }
    })
