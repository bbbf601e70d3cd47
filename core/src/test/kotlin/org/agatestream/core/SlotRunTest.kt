package org.agatestream.core

import io.kotest.assertions.throwables.shouldThrow
import io.kotest.core.spec.style.FunSpec
import io.kotest.matchers.longs.shouldBeGreaterThan
import kotlin.time.Duration.Companion.seconds

class SlotRunTest :
    FunSpec({
        test("a server never runs more than its owner knows it bears, whatever happens to owners and holders") {
            var steps = 0L
            for (seed in seeds(usual = 60)) {
                val run = SlotRun(seed)
                try {
                    run.run(120.seconds)
                } catch (e: InvariantViolation) {
                    throw AssertionError("seed $seed: replay with -Dagatestream.seed=$seed", e)
                }
                steps += run.steps
            }
            println("slot run: steps=$steps")
            steps shouldBeGreaterThan 100_000
        }

        val guards =
            mapOf(
                "the opening wait of a new owner" to SlotGuards(openingWait = false),
                "the load report that a new owner awaits" to SlotGuards(reportAwaited = false),
                "counting lapsed leases" to SlotGuards(lapsedCounted = false),
                "ignoring older asks" to SlotGuards(olderAsksIgnored = false),
                "dropping late answers" to SlotGuards(lateAnswersDropped = false),
            )
        for ((name, weakened) in guards) {
            test("without $name an invariant breaks") {
                val seed = (1L..200L).first { runCatching { SlotRun(it, weakened).run(120.seconds) }.isFailure }
                println("guard $name seed=$seed")
            }
        }
    })
