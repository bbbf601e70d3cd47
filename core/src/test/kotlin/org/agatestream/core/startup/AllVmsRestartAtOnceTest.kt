package org.agatestream.core.startup

import io.kotest.core.spec.style.FunSpec
import io.kotest.matchers.collections.shouldHaveAtLeastSize
import io.kotest.matchers.ranges.shouldBeIn
import io.kotest.matchers.shouldBe
import io.kotest.matchers.types.shouldBeInstanceOf
import org.agatestream.core.MonotonicTime
import kotlin.time.Duration.Companion.milliseconds
import kotlin.time.Duration.Companion.seconds

class AllVmsRestartAtOnceTest :
    FunSpec({
        val start = MonotonicTime.ZERO
        val arrival = StartupArrival(startedAt = start, held = 0, callerTimeout = 5.seconds, callerSeed = 0)

        // Guards against the refusal of requests that the VM could serve some milliseconds later.
        test("all VMs restart at once: a request waits for the first read of the tables") {
            arrival.decide(start + 20.milliseconds) shouldBe StartupAdmission.Hold(400.milliseconds)
        }

        test("a request with a short deadline waits for a fifth of it only") {
            arrival.copy(callerTimeout = 500.milliseconds).decide(start) shouldBe
                StartupAdmission.Hold(100.milliseconds)
        }

        test("requests in excess of the memory for held ones are refused") {
            arrival.copy(held = 128).decide(start).shouldBeInstanceOf<StartupAdmission.Refuse>()
        }

        test("no request waits at a VM that has not reached the store for a second") {
            arrival.decide(start + 900.milliseconds) shouldBe StartupAdmission.Hold(100.milliseconds)
            arrival.decide(start + 1.seconds).shouldBeInstanceOf<StartupAdmission.Refuse>()
        }

        // Guards against callers that are refused together and return together.
        test("all VMs restart at once: callers are told different times, at most twice the estimate") {
            val times = (0 until 1_000).map { arrival.copy(callerSeed = it * 7919).retryAfter(start) }
            times.forEach { it shouldBeIn 300.milliseconds..600.milliseconds }
            times.toSet() shouldHaveAtLeastSize 50
        }

        test("a negative hash does not shorten the time") {
            arrival.copy(callerSeed = Int.MIN_VALUE + 1).retryAfter(start) shouldBeIn 300.milliseconds..600.milliseconds
        }

        test("the longer the store is out of reach, the later callers return, within 2 s") {
            arrival.retryAfter(start + 1.seconds) shouldBe 500.milliseconds
            arrival.retryAfter(start + 60.seconds) shouldBe 1.seconds
        }
    })
