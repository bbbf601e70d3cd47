package org.agatestream.core

import io.kotest.core.spec.style.FunSpec
import io.kotest.matchers.shouldBe
import io.kotest.matchers.types.shouldBeInstanceOf
import kotlin.time.Duration
import kotlin.time.Duration.Companion.milliseconds
import kotlin.time.Duration.Companion.seconds

class ShutdownStateTest :
    FunSpec({
        test("a shutdown stays open, then waits for requests in flight, then closes") {
            fun at(seconds: Int) = MonotonicTime.ZERO + seconds.seconds
            val ttl = 10.seconds
            val draining = ShutdownState.Running.begin(at(0), ttl, ttl)
            draining.begin(at(5), ttl, ttl) shouldBe draining
            draining.advance(at(9), 0) shouldBe draining
            draining.advance(at(10), 0) shouldBe ShutdownState.Closed
            val closing = draining.advance(at(10), 1)
            closing.shouldBeInstanceOf<ShutdownState.Closing>()
            closing.advance(at(19), 1) shouldBe closing
            closing.advance(at(20), 1) shouldBe ShutdownState.Closed
        }

        // Guards against requests that are accepted late in a shutdown and cut at its end.
        test("a request is accepted only if it can end before the VM closes") {
            fun at(seconds: Int) = MonotonicTime.ZERO + seconds.seconds
            ShutdownState.Running.admits(at(0), Duration.INFINITE) shouldBe true
            val draining = ShutdownState.Running.begin(at(0), entryTtl = 6.seconds, grace = 1.seconds)
            draining.admits(at(2), 5.seconds) shouldBe true
            draining.admits(at(3), 5.seconds) shouldBe false
            draining.admits(at(5), 1.seconds) shouldBe true
            draining.admits(at(0), Duration.INFINITE) shouldBe false
            draining.advance(at(6), 1).admits(at(6), 100.milliseconds) shouldBe false
        }
    })
