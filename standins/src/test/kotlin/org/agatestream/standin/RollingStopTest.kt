package org.agatestream.standin

import io.kotest.assertions.withClue
import io.kotest.core.spec.style.FunSpec
import io.kotest.matchers.collections.shouldBeEmpty
import io.kotest.matchers.ints.shouldBeGreaterThan

// Guards against streams that a VM accepts around its planned stop and ends without a whole answer.
class RollingStopTest :
    FunSpec({
        timeout = 180_000
        val seeds = System.getProperty("stopSeeds")?.split(',')?.map { it.toLong() } ?: listOf(1L)

        for (seed in seeds) {
            test("streams sent around planned stops of VM after VM end whole or are refused as not run, seed $seed") {
                val report = RollingStop(seed).run()
                println("rolling stop, seed $seed: ${report.summary}")
                withClue(report.summary) {
                    report.lost.map { report.describe(it) }.shouldBeEmpty()
                    report.partial.map { report.describe(it) }.shouldBeEmpty()
                    report.killed.shouldBeEmpty()
                    report.served shouldBeGreaterThan 0
                }
            }
        }
    })
