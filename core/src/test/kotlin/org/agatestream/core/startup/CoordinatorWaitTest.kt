package org.agatestream.core.startup

import io.kotest.core.spec.style.FunSpec
import io.kotest.matchers.nulls.shouldBeNull
import io.kotest.matchers.shouldBe
import org.agatestream.core.ErrorKind
import kotlin.time.Duration.Companion.milliseconds
import kotlin.time.Duration.Companion.seconds

/** Guards against refusals by the small share of one VM while a coordinator is about to be named. */
class CoordinatorWaitTest :
    FunSpec({
        val wait = CoordinatorWait(ErrorKind.RATE_EXCEEDED, 1300.milliseconds, 3.seconds, 400.milliseconds, held = 0)

        test("after all VMs restart at once, a request beyond its VM's share waits for the coordinator") {
            wait.holdTime() shouldBe 1300.milliseconds
            wait.copy(retryAfter = 5.seconds).holdTime() shouldBe 2.seconds
            wait.copy(timeLeft = 500.milliseconds).holdTime() shouldBe 500.milliseconds
        }

        test("a request is refused at once if no coordinator is expected, too many wait, or no time is left") {
            wait.copy(missingFor = 2.seconds).holdTime().shouldBeNull()
            wait.copy(held = 128).holdTime().shouldBeNull()
            wait.copy(timeLeft = (-1).milliseconds).holdTime().shouldBeNull()
        }

        test("other refusals don't wait") {
            wait.copy(refusal = ErrorKind.NO_CAPACITY).holdTime().shouldBeNull()
            wait.copy(refusal = ErrorKind.PROMPT_REFUSED).holdTime().shouldBeNull()
        }
    })
