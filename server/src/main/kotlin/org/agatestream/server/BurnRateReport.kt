package org.agatestream.server

import kotlinx.coroutines.async
import kotlinx.coroutines.awaitAll
import kotlinx.coroutines.coroutineScope
import kotlinx.serialization.Serializable
import org.agatestream.core.BurnRateLine
import org.agatestream.core.VmId
import org.agatestream.core.mergeBurnLines
import kotlin.time.Duration.Companion.seconds

/** The burn rates of the service-level objectives, merged over the VMs that responded. */
@Serializable
public data class BurnRateReport(
    /** VMs that did not respond; the report does not include their requests. */
    val unanswered: List<VmId>,
    val lines: List<BurnRateLine>,
)

/** Collects the burn rates of all listed VMs. */
internal class BurnRateCollector(
    private val network: PeerNetwork,
    private val coordination: Coordination,
    private val levels: ServiceLevels,
) {
    /** Returns the response to a [BurnRateRequest], or null for any other request. */
    fun answer(request: PeerRequest): PeerResponse? =
        if (request is BurnRateRequest) BurnRateResponse(levels.report()) else null

    suspend fun collect(): BurnRateReport =
        coroutineScope {
            val vms = (coordination.vms.map { it.id } + network.self).distinct()
            val responses =
                vms
                    .map { vm -> async { network.call(vm, BurnRateRequest, RESPONSE_TIMEOUT) as? BurnRateResponse } }
                    .awaitAll()
            val unanswered = vms.filterIndexed { index, _ -> responses[index] == null }
            BurnRateReport(unanswered, mergeBurnLines(responses.filterNotNull().map { it.lines }))
        }

    private companion object {
        val RESPONSE_TIMEOUT = 2.seconds
    }
}
