package org.agatestream.server

import io.micrometer.core.instrument.MeterRegistry
import kotlinx.coroutines.CoroutineScope
import kotlinx.coroutines.launch
import org.agatestream.core.FencingNumber
import org.agatestream.core.MonotonicTime
import org.agatestream.core.OwnershipStatus
import org.agatestream.core.PlanEpoch
import org.agatestream.core.ShareKey
import org.agatestream.core.loadBackendChart
import org.agatestream.core.toFencingNumber
import org.agatestream.http.HttpClient
import kotlin.random.Random

/** The owned limits of one VM and the background loops that maintain them. */
internal class OwnedLimits(
    config: VmConfig,
    private val coordination: CoordinationService,
    private val network: KtorPeerNetwork,
    scope: CoroutineScope,
    registry: MeterRegistry,
    client: HttpClient,
) {
    private val rights =
        PlannedShareRights(config.vm, coordination::planOwnership, coordination::isCurrent, coordination.policy)
    private val context = LimitContext(config.vm, rights, coordination::fleet, network, scope, registry)
    private val owner = LimitOwner(context, loadBackendChart())
    val workspaces = OwnedWorkspaceLimits(context)
    val slots = OwnedBackendSlots(context, config.failureDomain, Random.Default)
    private val orders = EngineOrders(client, EngineOrderContext(::mayOrder, coordination::fleet, ::fencingNumber))
    private val poller = BackendLoadPoller(client, slots, owner)

    /** Registers the request handler for other VMs and starts the background loops. */
    fun start(scope: CoroutineScope) {
        owner.onReduceQuota = slots::reduceBatch
        coordination.onChange {
            rights.onPlan(it.plan, MonotonicTime.now())
            owner.onFleetChange()
        }
        network.addHandler { from, request -> if (request is LimitRequest) owner.handle(from, request) else null }
        scope.launch { slots.renewForever() }
        scope.launch { poller.pollForever() }
        scope.launch { orders.runForever() }
    }

    /** Returns whether the shares that this VM owns grant tokens; they grant none for a while after its start. */
    fun isOpen(now: MonotonicTime): Boolean {
        val openAt = context.startedAt + context.times.settingPropagation + context.times.admission.grantSpan
        return now >= openAt && coordination.plan.epoch > PlanEpoch(0)
    }

    private fun mayOrder(
        share: ShareKey,
        now: MonotonicTime,
    ): Boolean = coordination.mayOwn(share, now) is OwnershipStatus.Owner

    private fun fencingNumber(): FencingNumber = coordination.head.toFencingNumber()
}
