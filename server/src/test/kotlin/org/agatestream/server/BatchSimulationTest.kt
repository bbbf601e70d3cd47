package org.agatestream.server

import io.kotest.core.spec.style.FunSpec
import io.kotest.matchers.collections.shouldContain
import io.kotest.matchers.shouldBe
import org.agatestream.core.BatchRules
import org.agatestream.core.ChunkRecord
import org.agatestream.core.Transaction

/**
 * Runs the batch side of several VMs under faults.
 *
 * `-Dagatestream.batch.seed=N` runs one seed alone, `-Dagatestream.batch.seeds=N` runs more of them.
 */
class BatchSimulationTest :
    FunSpec({
        val first = System.getProperty("agatestream.batch.seed")?.toLong()
        val count = System.getProperty("agatestream.batch.seeds")?.toInt() ?: 25
        val seeds = if (first != null) first..first else 1L..count

        test("promises hold under kills, freezes, cuts, outages and lost answers") {
            seeds.forEach { BatchSimulation(it).run(STEPS) }
        }

        test("the same seed gives the same run") {
            val weak = SimFaults(weaken = { it.without("batch/cancel/") })
            val seed = (1L..20L).first { messageOf(it, weak) != null }
            messageOf(seed, weak) shouldBe messageOf(seed, weak)
        }

        test("without the fencing condition of checkpoints, readable results are lost") {
            brokenBy { SimFaults(weaken = Unfenced()::weaken) } shouldContain "results-stay-readable"
        }

        test("without the condition on the cancel row, results of a cancelled job change") {
            brokenBy { SimFaults(weaken = { it.without("batch/cancel/") }) } shouldContain "results-never-change"
        }

        test("without the wait for the lease, an item starts at two holders") {
            brokenBy(SIM_RULES.copy(clockDrift = -1.0)) { SimFaults() } shouldContain "only-the-holder-starts-items"
        }

        test("with results stored after the row, a row names results that do not exist") {
            brokenBy { SimFaults(objectsAreLate = true) } shouldContain "object-before-row"
        }

        test("past the clock drift that is assumed, an item starts at two holders but no result is lost") {
            val broken = brokenBy { SimFaults(extraDrift = 1.8) }
            broken shouldContain "only-the-holder-starts-items"
            broken.filter { it.startsWith("result") } shouldBe emptyList()
        }
    })

private const val STEPS = 10_000

private fun messageOf(
    seed: Long,
    faults: SimFaults,
): String? =
    try {
        BatchSimulation(seed, faults).run(STEPS)
        null
    } catch (e: SimViolation) {
        e.message
    }

/** Returns the invariants that some runs break under [faults]. */
private fun brokenBy(
    rules: BatchRules = SIM_RULES,
    faults: () -> SimFaults,
): Set<String> = (1L..10L).flatMap { BatchSimulation(it, faults(), rules).findBroken(STEPS) }.toSet()

private fun Transaction.without(prefix: String): Transaction =
    copy(conditions = conditions.filter { !it.key.startsWith(prefix) })

/** Takes the condition on the chunk's row away from each commit of a holder but its claim. */
private class Unfenced {
    private val claims = mutableSetOf<String>()

    fun weaken(transaction: Transaction): Transaction {
        val write = transaction.writes.firstOrNull { it.key.startsWith("batch/chunk/") } ?: return transaction
        val epoch = ChunkRecord.parse(checkNotNull(write.value)).epoch
        return if (claims.add("${write.key}/$epoch")) transaction else transaction.without("batch/chunk/")
    }
}
