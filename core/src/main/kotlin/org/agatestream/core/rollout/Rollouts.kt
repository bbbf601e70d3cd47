package org.agatestream.core.rollout

import org.agatestream.core.BackendServerId
import org.agatestream.core.CallId
import org.agatestream.core.MonotonicTime
import org.agatestream.core.RunDetail
import org.agatestream.core.RunOutcome
import org.agatestream.core.ServerEntry
import org.agatestream.core.ServiceId
import org.agatestream.core.StoreTime
import kotlin.time.Duration

/** The roll-outs that a coordinator carries out. Services without one follow [book]. Not thread-safe. */
public class Rollouts(
    private val book: VersionBook,
    /** Names this coordinator in records. */
    public val writer: String,
) : VersionGate {
    private val open = HashMap<ServiceId, Rollout>()
    private val callServices = HashMap<CallId, ServiceId>()
    private var servers: Map<ServiceId, List<ServerEntry>> = emptyMap()
    private var unusable: Set<BackendServerId> = emptySet()

    /** The roll-outs under way. */
    public val all: Map<ServiceId, Rollout> get() = open

    /** The orders whose rows must be read from the store before they can be carried out. */
    public val unloaded: List<RolloutOrder>
        get() = book.openOrders.filter { open[it.service]?.order?.target != it.target }

    /** Applies all servers, with those that may get no work ([isUsable]). */
    public fun onServers(
        entries: Collection<ServerEntry>,
        isUsable: (ServerEntry) -> Boolean = { !it.isDraining },
    ) {
        servers = entries.groupBy { it.service }
        unusable = entries.filterNot(isUsable).mapTo(HashSet()) { it.id }
        for ((service, rollout) in open) rollout.onServers(servers[service].orEmpty(), unusable)
    }

    /** Applies changes of the orders in the book; returns the changes of stage. */
    public fun onOrders(now: MonotonicTime): List<StageChange> {
        val orders = book.allOrders.associateBy { it.service }
        val changes = ArrayList<StageChange>()
        for ((service, rollout) in open.toList()) {
            val order = orders[service]
            when {
                order == null -> rollout.withdraw(now)?.let { changes += it }
                order.target != rollout.order.target -> close(service)
                order != rollout.order -> rollout.onOrder(order)
            }
        }
        return changes
    }

    /**
     * Starts or continues the roll-out of [order], for which the store has [record] and [status].
     *
     * [storeTime] is the store's time of the read. An order that is over gets no roll-out.
     */
    public fun load(
        order: RolloutOrder,
        record: RolloutRecord?,
        status: RolloutStatus?,
        storeTime: StoreTime?,
        now: MonotonicTime,
    ) {
        status?.let { book.onStatus(order.service, it) }
        if (status?.ends(order) == true) return
        val own = record?.takeIf { it.target == order.target && !it.stage.isFinal }
        own?.let { book.onRecordedBase(order.service, it.base) }
        // Without the servers, the version in use is not known; the order is loaded again later.
        if (own == null && servers[order.service].orEmpty().none { it.version != order.target.value }) return
        val rollout = Rollout(order, book.versionInUse(order.service), writer, own, storeTime, now)
        rollout.onServers(servers[order.service].orEmpty(), unusable)
        open[order.service] = rollout
    }

    /** Advances the roll-out of [service]. */
    public fun advance(
        service: ServiceId,
        situation: RolloutSituation,
        now: MonotonicTime,
    ): StageChange? = open[service]?.advance(situation, now)

    /** Removes roll-outs that are over, and passes their outcome to the book. */
    public fun closeFinished() {
        for ((service, rollout) in open.toList()) {
            if (!rollout.stage.isFinal) continue
            book.onStatus(service, RolloutStatus(rollout.stage.outcome, rollout.order.target))
            close(service)
        }
    }

    private fun close(service: ServiceId) {
        open -= service
        callServices.values.removeAll { it == service }
    }

    override fun rank(
        server: ServerEntry,
        now: MonotonicTime,
    ): Int? {
        val rollout = if (open.isEmpty()) null else open[server.service]
        return if (rollout == null) book.rank(server, now) else rollout.rank(server, now)
    }

    override fun onStarted(
        run: StartedRun,
        now: MonotonicTime,
    ) {
        val rollout = open[run.server.service] ?: return
        callServices[run.call] = run.server.service
        rollout.onStarted(run, now)
    }

    override fun onProgress(
        call: CallId,
        waitedMillis: Long,
        hasBegun: Boolean,
    ) {
        val service = callServices[call] ?: return
        open[service]?.onProgress(call, waitedMillis, hasBegun)
    }

    override fun onEnded(
        call: CallId,
        outcome: RunOutcome,
        firstEvent: Duration?,
        detail: RunDetail,
        now: MonotonicTime,
    ) {
        val service = callServices.remove(call) ?: return
        open[service]?.onEnded(call, outcome, firstEvent, detail, now)
    }

    override fun onForgotten(call: CallId) {
        val service = callServices.remove(call) ?: return
        open[service]?.onForgotten(call)
    }
}
