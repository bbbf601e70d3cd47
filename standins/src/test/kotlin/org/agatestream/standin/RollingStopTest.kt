package org.agatestream.standin

import io.kotest.assertions.withClue
import io.kotest.core.spec.style.FunSpec
import io.kotest.matchers.collections.shouldBeEmpty
import io.kotest.matchers.ints.shouldBeGreaterThan

// Guards against streams that a VM accepts around its planned stop and ends without a whole answer.
// More seeds, and sets of strains that run one after the other: -DstopSeeds=1,2 -DstopStrains=JOBS+SIGNALS,BUSY.
class RollingStopTest :
    FunSpec({
        timeout = 180_000
        val seeds = System.getProperty("stopSeeds")?.split(',')?.map { it.toLong() } ?: listOf(1L)
        val strains = (System.getProperty("stopStrains") ?: "").split(',').map { strainsOf(it) }

        for (seed in seeds) {
            for (strain in strains) {
                val beside = if (strain.isEmpty()) "" else " beside ${strain.joinToString()}"
                test("$NAME, seed $seed$beside") {
                    val report = RollingStop(seed, strain).run()
                    println("rolling stop, seed $seed$beside: ${report.summary}")
                    withClue(report.summary) {
                        report.lost.map { report.describe(it) }.shouldBeEmpty()
                        report.partial.map { report.describe(it) }.shouldBeEmpty()
                        report.unlistedJobs.shouldBeEmpty()
                        report.killed.shouldBeEmpty()
                        report.served shouldBeGreaterThan 0
                    }
                }
            }
        }
    })

private const val NAME = "streams sent around planned stops of VM after VM end whole or are refused as not run"

private fun strainsOf(names: String): Set<StopStrain> =
    names
        .split('+')
        .filter { it.isNotEmpty() }
        .map { StopStrain.valueOf(it) }
        .toSet()
