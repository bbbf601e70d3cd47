package org.agatestream.core.rollout

import io.kotest.assertions.withClue
import io.kotest.core.spec.style.FunSpec
import io.kotest.matchers.comparables.shouldBeGreaterThan
import io.kotest.matchers.comparables.shouldBeLessThan
import io.kotest.matchers.comparables.shouldBeLessThanOrEqualTo
import io.kotest.matchers.shouldBe
import kotlin.time.Duration
import kotlin.time.Duration.Companion.milliseconds
import kotlin.time.Duration.Companion.seconds

/** The number of seeds of each scenario; more by `-Dagatestream.seeds=`. */
private val SEEDS = Integer.getInteger("agatestream.seeds", 4)

private fun forEachSeed(block: (Int) -> Unit) = (1..SEEDS).forEach(block)

/** Checks that a good version is completed in time, and that nothing is cut off at the old servers. */
private fun RolloutSimulation.shouldComplete(duration: Duration) =
    withClue(story()) {
        outcome shouldBe RolloutOutcome.COMPLETED
        endedAfter!! shouldBeLessThan duration
        runsAtOldWhenCompleted shouldBe 0
        sentBeforeOrder shouldBe 0
    }

/** Checks that a bad version is rolled back within the bound on its exposure. */
private fun RolloutSimulation.shouldRollBack(duration: Duration) =
    withClue(story()) {
        outcome shouldBe RolloutOutcome.ROLLED_BACK
        endedAfter!! shouldBeLessThan duration
        sentToNew shouldBeLessThanOrEqualTo allowed
        fiftiethBadAt?.let { lastSentToNew!! shouldBeLessThanOrEqualTo it + 5.seconds }
        sentBeforeOrder shouldBe 0
    }

class RolloutSimulationTest :
    FunSpec({
        for (seconds in listOf(8, 12, 30)) {
            test("a good version is completed within $seconds s") {
                forEachSeed { RolloutSimulation(it, duration = seconds.seconds).run().shouldComplete(seconds.seconds) }
            }

            test("a version that fails at once is rolled back within $seconds s") {
                forEachSeed { seed ->
                    RolloutSimulation(seed, duration = seconds.seconds, defect = { Defect(failureShare = 0.25) })
                        .run()
                        .shouldRollBack(seconds.seconds)
                }
            }

            test("a version that is several times slower is rolled back within $seconds s") {
                forEachSeed { seed ->
                    RolloutSimulation(seed, duration = seconds.seconds, defect = { Defect(slowShare = 0.6) })
                        .run()
                        .shouldRollBack(seconds.seconds)
                }
            }

            test("a version that fails only after a third of $seconds s is rolled back") {
                forEachSeed { seed ->
                    RolloutSimulation(
                        seed,
                        duration = seconds.seconds,
                        defect = { run -> Defect(failureShare = 0.3).takeIf { run.age > seconds.seconds / 3 } },
                    ).run()
                        .shouldRollBack(seconds.seconds)
                }
            }

            test("a version that fails only under load is rolled back within $seconds s") {
                forEachSeed { seed ->
                    RolloutSimulation(
                        seed,
                        duration = seconds.seconds,
                        defect = { run -> Defect(failureShare = 0.5).takeIf { run.running > run.slots * 0.7 } },
                    ).run()
                        .shouldRollBack(seconds.seconds)
                }
            }

            test("a version that is slow only under load is rolled back within $seconds s") {
                forEachSeed { seed ->
                    RolloutSimulation(
                        seed,
                        duration = seconds.seconds,
                        defect = { run -> Defect(slowShare = 0.8).takeIf { run.running > run.slots * 0.7 } },
                    ).run()
                        .shouldRollBack(seconds.seconds)
                }
            }

            test("a version that fails only on one route is rolled back within $seconds s") {
                forEachSeed { seed ->
                    RolloutSimulation(
                        seed,
                        duration = seconds.seconds,
                        defect = { run -> Defect(failureShare = 0.5).takeIf { run.route == "rare" } },
                    ).run()
                        .shouldRollBack(seconds.seconds)
                }
            }
        }

        // Guards against blaming the new version for overload of the hosts or the network.
        test("a shortage that slows both versions is not blamed on the new one") {
            forEachSeed { seed ->
                RolloutSimulation(seed, shortage = { if (it in 2.seconds..4.seconds) 3.0 else 1.0 })
                    .run()
                    .shouldComplete(12.seconds)
            }
        }

        test("low traffic completes a good version and rolls a failing one back") {
            forEachSeed { seed ->
                RolloutSimulation(seed, perSecond = 4.0).run().shouldComplete(12.seconds)
                RolloutSimulation(seed, perSecond = 4.0, defect = { Defect(failureShare = 0.5) })
                    .run()
                    .shouldRollBack(12.seconds)
            }
        }

        test("few new servers complete a good version") {
            forEachSeed { RolloutSimulation(it, newServers = 8).run().shouldComplete(12.seconds) }
        }

        // Guards against a new coordinator that forgets what the target already got.
        for (millis in listOf(500, 2_000, 4_000, 6_500, 8_500)) {
            test("a coordinator replaced after $millis ms ends the roll-out within the bound") {
                forEachSeed { seed ->
                    val at = millis.milliseconds
                    RolloutSimulation(seed, coordinatorReplacedAt = at).run().shouldComplete(12.seconds)
                    RolloutSimulation(seed, coordinatorReplacedAt = at, defect = { Defect(failureShare = 0.25) })
                        .run()
                        .shouldRollBack(12.seconds)
                }
            }
        }

        test("without the store the verdict takes effect at once and its write follows") {
            forEachSeed { seed ->
                val away = { age: Duration -> if (age in 1.seconds..7.seconds) StoreState.AWAY else StoreState.UP }
                RolloutSimulation(seed, storeState = away).run().shouldComplete(12.seconds)
                RolloutSimulation(seed, storeState = away, defect = { Defect(failureShare = 0.25) })
                    .run()
                    .shouldRollBack(12.seconds)
            }
        }

        test("nothing is completed while the store is away") {
            val run =
                RolloutSimulation(1, storeState = {
                    if (it >
                        6.seconds
                    ) {
                        StoreState.AWAY
                    } else {
                        StoreState.UP
                    }
                }).run()
            run.outcome shouldBe RolloutOutcome.RUNNING
        }

        test("lost answers of writes delay the outcome but don't change it") {
            forEachSeed { seed ->
                RolloutSimulation(seed, storeState = { StoreState.LOSES_ANSWERS }).run().shouldComplete(12.seconds)
                RolloutSimulation(
                    seed,
                    storeState = { StoreState.LOSES_ANSWERS },
                    defect = { Defect(slowShare = 0.7) },
                ).run()
                    .shouldRollBack(12.seconds)
            }
        }

        test("items count as exposure and are moved too") {
            forEachSeed { seed ->
                val good = RolloutSimulation(seed, perSecond = 60.0, items = 300).run()
                good.shouldComplete(12.seconds)
                good.itemsAtNew shouldBeGreaterThan 0
                RolloutSimulation(seed, perSecond = 60.0, items = 300, defect = { Defect(failureShare = 0.3) })
                    .run()
                    .shouldRollBack(12.seconds)
            }
        }

        test("a withdrawn order is rolled back") {
            RolloutSimulation(1, withdrawnAt = 3.seconds).run().shouldRollBack(12.seconds)
        }
    })
