package org.agatestream.server

import io.kotest.assertions.throwables.shouldThrow
import io.kotest.core.spec.style.FunSpec
import io.kotest.matchers.comparables.shouldBeGreaterThan
import io.kotest.matchers.shouldBe
import org.agatestream.core.FreshnessPolicy
import org.agatestream.core.InvariantViolation
import kotlin.time.Duration
import kotlin.time.Duration.Companion.milliseconds
import kotlin.time.Duration.Companion.minutes
import kotlin.time.Duration.Companion.seconds

private val runs = System.getProperty("agatestream.runs")?.toInt() ?: 12
private val onlySeed = System.getProperty("agatestream.seed")?.toInt()
private val span = 2.minutes

class CoordinationRunTest :
    FunSpec({
        test("invariants hold through random faults") {
            val seeds = if (onlySeed == null) 1..runs else onlySeed..onlySeed
            val done = seeds.map { seed -> CoordinationRun(seed).also { it.runTraced(seed) } }
            println(
                "event=coordination_runs seeds=$seeds steps=${done.sumOf { it.steps }} " +
                    "accepted=${done.sumOf { it.acceptedCount }} owned=${done.sumOf { it.ownedChecks }}",
            )
            done.sumOf { it.acceptedCount } shouldBeGreaterThan 0
            done.sumOf { it.ownedChecks } shouldBeGreaterThan 0L
        }
    })

private fun CoordinationRun.runTraced(seed: Int) {
    try {
        run(span)
    } catch (e: InvariantViolation) {
        println("event=run_failed seed=$seed replay=-Dagatestream.seed=$seed cause=\"${e.message}\"")
        trace.forEach(::println)
        throw e
    }
}
