package org.agatestream.server

import io.micrometer.core.instrument.MeterRegistry
import kotlinx.coroutines.CoroutineScope
import kotlinx.coroutines.launch
import org.agatestream.core.MonotonicTime
import org.agatestream.core.loadBackendChart
import org.agatestream.http.HttpClient
import kotlin.random.Random

/** The owned limits of one VM and the loops that keep them. */
internal class OwnedLimits(
    config: VmConfig,
    private val coordination: CoordinationService,
    private val network: KtorPeerNetwork,
    scope: CoroutineScope,
    registry: MeterRegistry,
    client: HttpClient,
) {
    private val rights =
        PlannedShareRights(config.vm, coordination::planStanding, coordination::isCurrent, coordination.policy)
    private val context = LimitContext(config.vm, rights, coordination::fleet, network, scope, registry)
    private val owner = LimitOwner(context, loadBackendChart())
    val workspaces = OwnedWorkspaceLimits(context)
    val slots = OwnedBackendSlots(context, config.failureDomain, Random.Default)
    private val poller = BackendLoadPoller(client, slots, owner)

    /** Answers asks of other VMs and starts the loops. */
    fun start(scope: CoroutineScope) {
        owner.onGiveWay = slots::giveWay
        coordination.onChange {
            rights.onPlan(it.plan, MonotonicTime.now())
            owner.onFleetChange()
        }
        network.addHandler { from, ask -> if (ask is LimitAsk) owner.handle(from, ask) else null }
        scope.launch { slots.renewForever() }
        scope.launch { poller.pollForever() }
    }
}
