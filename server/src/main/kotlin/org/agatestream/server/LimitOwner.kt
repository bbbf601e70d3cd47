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

/** Where the owned limits of a VM read what they decide by. */
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
    /** When this VM began to know settings. */
    public val startedAt: MonotonicTime = now()
}

/** Answers asks for the limits that this VM owns. */
public class LimitOwner(
    private val context: LimitContext,
    chart: BackendChart,
) {
    private val tokens = TokenOwner(context)
    private val quotas = QuotaOwner(context, chart)

    /** The holder side of quotas in this VM, told when batch items must give way. */
    @Volatile
    public var onGiveWay: (GiveWayAsk) -> Unit = {}

    /** Takes down the settings now in force; call it after each change of them. */
    public fun onFleetChange() {
        tokens.learn(context.now())
    }

    /** Engines whose load this VM should read because it owns their slots. */
    public fun ownedEngines(): Set<BackendServerId> = quotas.engines()

    /** Takes down a load report of an engine. */
    public fun onLoad(
        server: BackendServerId,
        report: LoadReport,
    ) {
        quotas.onLoad(server, report)
    }

    /** Answers [ask] of the VM [from]. */
    public suspend fun handle(
        from: VmId,
        ask: LimitAsk,
    ): PeerAnswer =
        when (ask) {
            is TokenAsk -> tokens.answer(ask)
            is QuotaLeaseAsk -> answerQuota(from, ask)
            is GiveWayAsk -> giveWay(ask)
        }

    private fun answerQuota(
        from: VmId,
        ask: QuotaLeaseAsk,
    ): PeerAnswer {
        val decision = quotas.answer(from, ask)
        decision.giveWay.forEach { (vm, keep) -> tellToGiveWay(vm, GiveWayAsk(ask.key, keep)) }
        return decision.answer
    }

    private fun tellToGiveWay(
        vm: VmId,
        ask: GiveWayAsk,
    ) {
        context.scope.launch { context.peers.ask(vm, ask, context.times.quotaTimeout) }
    }

    private fun giveWay(ask: GiveWayAsk): PeerAnswer {
        onGiveWay(ask)
        return GiveWayAnswer
    }
}
