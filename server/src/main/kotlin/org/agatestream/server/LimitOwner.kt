package org.agatestream.server

import io.micrometer.core.instrument.MeterRegistry
import kotlinx.coroutines.CoroutineScope
import kotlinx.coroutines.launch
import org.agatestream.core.BackendChart
import org.agatestream.core.BackendServerId
import org.agatestream.core.FleetView
import org.agatestream.core.MonotonicTime
import org.agatestream.core.VmId
import java.time.Instant

/** The dependencies and settings that the owned limits of a VM share. */
public class LimitContext(
    public val self: VmId,
    public val rights: ShareRights,
    public val fleet: () -> FleetView,
    public val peers: PeerNetwork,
    public val scope: CoroutineScope,
    public val registry: MeterRegistry,
    public val times: LimitTimes = LimitTimes(),
    public val now: () -> MonotonicTime = MonotonicTime::now,
    public val wallTime: () -> Instant = Instant::now,
) {
    /** When this VM started to learn settings. */
    public val startedAt: MonotonicTime = now()
}

/** Handles requests for the limits that this VM owns. */
public class LimitOwner(
    private val context: LimitContext,
    chart: BackendChart,
) {
    private val tokens = TokenOwner(context)
    private val quotas = QuotaOwner(context, chart)

    /** Called when an owner requires this VM, as a holder, to cancel batch items. */
    @Volatile
    public var onReduceQuota: (ReduceQuotaRequest) -> Unit = {}

    /** Applies the settings now in force; call it after each change of them. */
    public fun onFleetChange() {
        tokens.updateShareCounts(context.now())
    }

    /** Returns the engines whose load this VM should poll because it owns their slots. */
    public fun ownedEngines(): Set<BackendServerId> = quotas.engines()

    /** Applies a load report of an engine. */
    public fun onLoad(
        server: BackendServerId,
        report: LoadReport,
    ) {
        quotas.onLoad(server, report)
    }

    /** Handles [request] from the VM [from]. */
    public suspend fun handle(
        from: VmId,
        request: LimitRequest,
    ): PeerResponse =
        when (request) {
            is TokenGrantRequest -> tokens.handle(request)
            is QuotaLeaseRequest -> handleQuota(from, request)
            is ReduceQuotaRequest -> reduceQuota(request)
        }

    private fun handleQuota(
        from: VmId,
        request: QuotaLeaseRequest,
    ): PeerResponse {
        val decision = quotas.handle(from, request)
        decision.batchLimits.forEach { (vm, limit) -> requestReduction(vm, ReduceQuotaRequest(request.key, limit)) }
        return decision.response
    }

    private fun requestReduction(
        vm: VmId,
        request: ReduceQuotaRequest,
    ) {
        context.scope.launch { context.peers.call(vm, request, context.times.quotaTimeout) }
    }

    private fun reduceQuota(request: ReduceQuotaRequest): PeerResponse {
        onReduceQuota(request)
        return ReduceQuotaResponse
    }
}
