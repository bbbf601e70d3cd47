package org.agatestream.server

import kotlinx.coroutines.async
import kotlinx.coroutines.awaitAll
import kotlinx.coroutines.coroutineScope
import kotlinx.serialization.Serializable
import org.agatestream.core.BurnLine
import org.agatestream.core.VmId
import org.agatestream.core.mergeBurnLines
import kotlin.time.Duration.Companion.seconds

/** Service-level burn added up over the VMs that answered. */
@Serializable
public data class BurnReport(
    /** VMs whose requests are missing, as they did not answer. */
    val unanswered: List<VmId>,
    val lines: List<BurnLine>,
)

/** Collects the burn of all listed VMs. */
internal class BurnCollector(
    private val network: PeerNetwork,
    private val coordination: Coordination,
    private val levels: ServiceLevels,
) {
    /** Answers a [BurnAsk]; returns null for any other ask. */
    fun answer(ask: PeerAsk): PeerAnswer? = if (ask is BurnAsk) BurnAnswer(levels.report()) else null

    suspend fun collect(): BurnReport =
        coroutineScope {
            val vms = (coordination.vms.map { it.id } + network.self).distinct()
            val answers = vms.map { vm -> async { network.ask(vm, BurnAsk, ANSWER_TIMEOUT) as? BurnAnswer } }.awaitAll()
            val unanswered = vms.filterIndexed { index, _ -> answers[index] == null }
            BurnReport(unanswered, mergeBurnLines(answers.filterNotNull().map { it.lines }))
        }

    private companion object {
        val ANSWER_TIMEOUT = 2.seconds
    }
}
