package org.agatestream.server

import kotlinx.coroutines.CoroutineDispatcher
import kotlinx.coroutines.CoroutineScope
import kotlinx.coroutines.Dispatchers
import kotlinx.coroutines.SupervisorJob
import kotlinx.coroutines.cancel
import kotlinx.coroutines.delay
import kotlinx.coroutines.isActive
import kotlinx.coroutines.launch
import org.agatestream.core.ConfigLogEntry
import org.agatestream.core.ConfigState
import org.agatestream.core.ConfigWrite
import org.agatestream.core.CoordinationState
import org.agatestream.core.ErrorKind
import org.agatestream.core.FleetHead
import org.agatestream.core.FleetView
import org.agatestream.core.FreshnessPolicy
import org.agatestream.core.ListedVm
import org.agatestream.core.MonotonicTime
import org.agatestream.core.Outcome
import org.agatestream.core.OwnershipStatus
import org.agatestream.core.Plan
import org.agatestream.core.PlanOwnership
import org.agatestream.core.ReadResult
import org.agatestream.core.Revision
import org.agatestream.core.ShareKey
import org.agatestream.core.ShareOwners
import org.agatestream.core.TableService
import org.agatestream.core.VmId
import org.agatestream.core.VmList
import org.agatestream.core.toFailed
import org.agatestream.core.toOk
import org.agatestream.core.toShareOwners
import java.time.Instant
import java.util.concurrent.ConcurrentHashMap
import java.util.concurrent.CopyOnWriteArrayList
import kotlin.random.Random
import kotlin.time.Duration
import kotlin.time.Duration.Companion.milliseconds
import kotlin.time.Duration.Companion.seconds

private const val HEAD_READS_PER_SECOND = 100
private const val LIST_READS_PER_SECOND = 50
private val MIN_READ_INTERVAL: Duration = 1.seconds
private val URGENT_READ_INTERVAL: Duration = 500.milliseconds
private val SEED_TIMEOUT: Duration = 2.seconds

/** Replicates settings, plan and VM list to this VM, from the platform's table and from other VMs. */
public class CoordinationService(
    private val network: PeerTransport,
    table: TableService,
    private val vmList: VmList,
    parse: (Map<String, String>, Revision) -> Outcome<FleetView>,
    private val seedPeers: List<String> = emptyList(),
    public val policy: FreshnessPolicy = FreshnessPolicy(),
    private val random: Random = Random.Default,
    private val clock: () -> MonotonicTime = MonotonicTime::now,
    dispatcher: CoroutineDispatcher = Dispatchers.Default,
) : Coordination,
    AutoCloseable {
    private val scope = CoroutineScope(SupervisorJob() + dispatcher)
    private val store = FleetStore(CoordinationState.start(network.self, clock(), policy), parse)
    private val sync = TableSync(table, store, clock)
    private val gossip = PeerGossip(network, store, clock, random)
    private val propagator = ChangePropagator(network, store, clock)
    private val writer = ConfigWriter(table, store, sync, propagator, clock)
    private val shareHandover = ShareHandover(network, store, clock)
    private val planProposer = PlanProposer(table, store, sync, propagator, gossip, clock, random)
    private val listeners = CopyOnWriteArrayList<(Coordination) -> Unit>()
    private val owners = OwnerCache()

    override val fleet: FleetView get() = store.view

    override val plan: Plan get() = store.state.plan

    override val vms: List<ListedVm> get() = store.state.membership.listed

    /** The replicated settings, by path with their revisions. */
    public val config: ConfigState get() = store.state.config

    /** The plan and the ownership state that precedes it, as known to this VM. */
    public val planOwnership: PlanOwnership get() = store.state.ownership

    /** The revision and the plan epoch that this VM has applied. */
    public val head: FleetHead get() = store.state.head

    internal val state: CoordinationState get() = store.state

    init {
        network.addHandler(CoordinationHandler(store, gossip, shareHandover, clock, scope))
        store.onChange(::onStoreChange)
    }

    /** Starts to poll the platform and to exchange heartbeats. */
    public fun start() {
        scope.launch { listLoop() }
        scope.launch { headLoop() }
        scope.launch { gossip.heartbeatLoop(scope) }
        scope.launch { gossip.probeLoop(scope) }
        scope.launch { planProposer.loop(scope) }
    }

    override fun close() {
        scope.cancel()
    }

    override fun isCurrent(now: MonotonicTime): Boolean = store.state.isCurrent(now)

    override fun onChange(listener: (Coordination) -> Unit) {
        listeners += listener
    }

    /** Registers a component that hands its shares over when the plan moves them. */
    public fun addShareOwner(owner: ShareOwner) {
        shareHandover.addOwner(owner)
    }

    /** Returns whether this VM may act as owner of [share] at [now]; call it for each decision. */
    public fun mayOwn(
        share: ShareKey,
        now: MonotonicTime,
    ): OwnershipStatus {
        val state = store.state
        return state.ownershipOf(share, now, owners.shareOwners(state.plan, share))
    }

    /** Returns the owner of [share] under this VM's plan, or null if the plan has no VM. */
    public fun ownerOf(share: ShareKey): VmId? = owners.shareOwners(plan, share).owner

    /** Changes the settings and returns the revision once it is in force; [at] is the time recorded in the history. */
    public suspend fun put(
        write: ConfigWrite,
        at: Instant,
    ): Outcome<Revision> = writer.put(write, at)

    /** Reads up to [limit] accepted changes after [after], oldest first. */
    public suspend fun history(
        after: Revision,
        limit: Int,
    ): Outcome<List<ConfigLogEntry>> =
        sync.history(after, limit)?.toOk()
            ?: ErrorKind.PLATFORM_UNAVAILABLE.toFailed("the table service did not answer")

    /** Requests the applied head of every listed VM; null for a VM that doesn't respond. */
    public suspend fun inForce(): Map<VmId, FleetHead?> {
        val others = vms.filter { it.id != network.self }.associate { it.id to gossip.sendHeartbeat(it.id)?.head }
        return others + (network.self to head)
    }

    /** The settings in force on this VM as JSON text, by path. */
    public val settings: Map<String, String> get() = store.state.config.values

    /** Returns the revision at which the setting at [path] last changed, or [Revision.NONE] if it doesn't exist. */
    public fun revisionOf(path: String): Revision = store.state.config.revisionOf(path)

    private fun onStoreChange() {
        val state = store.state
        shareHandover.onPlan(state.plan, scope)
        gossip.announce(scope)
        listeners.forEach { it(this) }
    }

    private suspend fun headLoop() {
        while (scope.isActive) {
            sync.readHead()
            delay(headInterval().jittered(random))
        }
    }

    private fun headInterval(): Duration {
        val state = store.state
        val age = state.freshness.knownSince?.let { clock() - it }
        val isAgeing = age == null || age > state.policy.maxAge / 2
        if (isAgeing) return URGENT_READ_INTERVAL
        return maxOf(MIN_READ_INTERVAL, 1.seconds * vms.size / HEAD_READS_PER_SECOND)
    }

    private suspend fun listLoop() {
        while (scope.isActive) {
            val isFirst = vms.isEmpty()
            val planBefore = plan
            val read = vmList.list()
            if (read is ReadResult.Found) {
                onList(read.value, planBefore)
            } else if (isFirst) {
                fetchVms()
            }
            if (isFirst && vms.isNotEmpty()) gossip.sendHeartbeats(scope)
            val interval = maxOf(MIN_READ_INTERVAL, 1.seconds * vms.size / LIST_READS_PER_SECOND)
            delay(interval.jittered(random))
        }
    }

    private suspend fun fetchVms() {
        for (seed in seedPeers) {
            val reply = network.callAddress(seed, CoordinationRequest.FetchVms, SEED_TIMEOUT)
            if (reply is CoordinationResponse.FetchedVms && reply.vms.isNotEmpty()) return onList(reply.vms, Plan())
        }
    }

    private fun onList(
        list: List<ListedVm>,
        planBefore: Plan,
    ) {
        network.updateAddresses(list)
        store.update { it.onList(list, planBefore) }
    }
}
