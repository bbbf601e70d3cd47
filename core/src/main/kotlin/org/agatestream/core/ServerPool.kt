package org.agatestream.core

import org.agatestream.core.limit.ObservedLimit
import org.agatestream.core.placement.CostModel
import org.agatestream.core.placement.DomainChange
import org.agatestream.core.placement.DomainDecision
import org.agatestream.core.placement.DomainFlow
import org.agatestream.core.placement.DomainOffer
import org.agatestream.core.placement.DomainRouting
import org.agatestream.core.placement.DomainSpeed
import org.agatestream.core.placement.LeastCost
import org.agatestream.core.placement.ObservedLoad
import org.agatestream.core.placement.PlacementDemand
import org.agatestream.core.placement.TokenCapacity
import org.agatestream.core.rollout.VersionGate
import kotlin.random.Random
import kotlin.time.Duration
import kotlin.time.Duration.Companion.milliseconds
import kotlin.time.DurationUnit

/** The backend servers that may get work, with the state of each. */
internal class ServerPool(
    private val random: Random,
    private val policy: SchedulingPolicy = SchedulingPolicy(),
    private val gate: VersionGate = VersionGate.Open,
) {
    private val loads = LinkedHashMap<BackendServerId, ServerLoad>()
    private val byService = HashMap<ServiceId, ServiceServers>()
    private var manifest: Manifest? = null
    private var share = 1.0
    private val flows = HashMap<DomainFlow, Int>()

    /** The servers of one service. */
    private class ServiceServers(
        val costs: CostModel,
        val routing: DomainRouting,
    ) {
        var loads: List<ServerLoad> = emptyList()
        var hasSeveralDomains = false
        var hasFigures = false

        private val domainSpeeds = HashMap<FailureDomainId, DomainSpeed>()

        fun domainSpeed(load: ServerLoad): DomainSpeed =
            domainSpeeds.getOrPut(load.server.entry.failureDomain) { DomainSpeed() }

        /** True if more than the load of servers tells them apart. */
        val hasDistinctions: Boolean get() = hasSeveralDomains || hasFigures
    }

    val all: Collection<ServerLoad> get() = loads.values

    fun onManifest(manifest: Manifest) {
        this.manifest = manifest
    }

    /** Limits this pool to [share] of the rate of cold servers. */
    fun onShare(share: Double) {
        this.share = share
    }

    /** Applies the list of servers that may get work. */
    fun onUsable(usable: Collection<UsableServer>) {
        for (server in usable) {
            val load = loads[server.entry.id]
            if (load == null) loads[server.entry.id] = ServerLoad(server) else load.server = server
        }
        loads.keys.retainAll(usable.mapTo(HashSet()) { it.entry.id })
        val grouped = loads.values.groupBy { it.server.entry.service }
        for (service in byService.keys + grouped.keys) {
            val servers =
                byService.getOrPut(
                    service,
                ) { ServiceServers(CostModel(policy.placement), DomainRouting(service)) }
            servers.loads = grouped[service].orEmpty()
            servers.hasSeveralDomains =
                policy.comparesServers && servers.loads.distinctBy { it.server.entry.failureDomain }.size > 1
        }
    }

    fun find(id: BackendServerId): ServerLoad? = loads[id]

    fun forService(service: ServiceId): List<ServerLoad> = byService[service]?.loads.orEmpty()

    /**
     * Returns the total number of slots of the servers of [service] outside [excluded], free or occupied.
     *
     * Servers whose version may get no work at [now] do not count.
     */
    fun slots(
        service: ServiceId,
        now: MonotonicTime,
        excluded: Set<BackendServerId> = emptySet(),
    ): Int = forService(service).sumOf { if (it.id !in excluded && mayUse(it, now)) it.server.entry.slots else 0 }

    /** Returns whether the version of the server may get work. */
    fun mayUse(
        load: ServerLoad,
        now: MonotonicTime,
    ): Boolean = gate.rank(load.server.entry, now) != null

    /** Returns those of [available] whose version goes before that of the others. */
    private fun preferred(
        available: List<ServerLoad>,
        now: MonotonicTime,
    ): List<ServerLoad> {
        if (gate === VersionGate.Open || available.isEmpty()) return available
        val best = available.mapNotNull { gate.rank(it.server.entry, now) }.minOrNull() ?: return emptyList()
        return available.filter { gate.rank(it.server.entry, now) == best }
    }

    /**
     * Returns the slots of [service] that requests may use now, free or occupied, weighted by the speed of their server.
     *
     * A server whose work takes twice as long as that of a usual one counts half. Servers outside [excluded] count
     * that accept work; slots of silent VMs' runs don't. A server that names a limit counts with the slots that the
     * requests it takes fill, each for [runTime].
     */
    fun usableSlots(
        service: ServiceId,
        excluded: Set<BackendServerId>,
        now: MonotonicTime,
        runTime: Duration = Duration.ZERO,
    ): Double {
        val servers = byService[service] ?: return 0.0
        var sum = 0.0
        for (load in servers.loads) {
            // A rate of 0 leaves out the limit of cold servers, which ends after a second at most.
            if (load.id in excluded || !load.acceptsWork(0.0, now) || !mayUse(load, now)) continue
            val slots = maxOf(0, load.server.entry.slots - load.orphaned)
            val filled = if (servers.hasDistinctions) slots / factor(servers, load, now) else slots.toDouble()
            val limit = load.limiter.limitAt(now)
            sum += if (limit == null) filled else minOf(filled, limit * share * runTime.toDouble(DurationUnit.SECONDS))
        }
        return sum
    }

    /** Returns whether a run with [demand] may start at [load] now. */
    private fun mayStart(
        load: ServerLoad,
        demand: PlacementDemand,
        now: MonotonicTime,
    ): Boolean = load.free > 0 && fits(load, demand) && acceptsWork(load, now)

    /** Returns whether a run with [demand] fits in the memory of [load] beside the runs there. */
    fun fits(
        load: ServerLoad,
        demand: PlacementDemand,
    ): Boolean = TokenCapacity.fits(demand.tokens, load.tokensInUse, memoryTokens(load.server.entry.service))

    /**
     * Returns whether a run with [demand] fits in the memory of [load] once [item] has ended.
     *
     * While other items are being stopped there, none more is stopped for its memory.
     */
    fun fitsWithout(
        item: CallId,
        load: ServerLoad,
        demand: PlacementDemand,
    ): Boolean {
        if (fits(load, demand)) return true
        val freed = load.placedRun(item)?.tokens ?: 0
        val memory = memoryTokens(load.server.entry.service)
        return !load.isStoppingItems && TokenCapacity.fits(demand.tokens, load.tokensInUse - freed, memory)
    }

    /** Returns whether a run with [demand] fits in the memory of no server of [service]. */
    fun isTooLarge(
        service: ServiceId,
        demand: PlacementDemand,
    ): Boolean = TokenCapacity.exceeds(demand.tokens, memoryTokens(service))

    private fun memoryTokens(service: ServiceId): Int? =
        if (policy.comparesServers) manifest?.services?.get(service)?.memoryTokens else null

    /** Returns whether a request may start at [load] now, apart from free slots. */
    fun acceptsWork(
        load: ServerLoad,
        now: MonotonicTime,
    ): Boolean = load.acceptsWork(coldRate(load), now) && load.limiter.allows(share, now) && mayUse(load, now)

    /**
     * Returns the server with the least expected cost for [demand]; null if none is available.
     *
     * Where nothing distinguishes servers but their load and their first events, this is the one with the most free
     * slots, a slow one only if there is no other. Servers in [atRisk] are chosen only if there is no other.
     */
    fun choose(
        service: ServiceId,
        excluded: Set<BackendServerId>,
        now: MonotonicTime,
        atRisk: Set<BackendServerId> = emptySet(),
        demand: PlacementDemand = PlacementDemand.UNKNOWN,
    ): ServerLoad? {
        val servers = byService[service] ?: return null
        if (!policy.comparesServers || (!servers.hasDistinctions && demand.prompt.shared.isEmpty())) {
            return chooseMostFree(servers.loads, excluded, now, atRisk, demand)
        }
        return chooseLeastCost(servers, excluded + atRisk, now, demand)
            ?: if (atRisk.isEmpty()) null else chooseLeastCost(servers, excluded, now, demand)
    }

    private fun chooseMostFree(
        loads: List<ServerLoad>,
        excluded: Set<BackendServerId>,
        now: MonotonicTime,
        atRisk: Set<BackendServerId>,
        demand: PlacementDemand,
    ): ServerLoad? {
        val available = preferred(loads.filter { it.id !in excluded && mayStart(it, demand, now) }, now)
        if (available.isEmpty()) return null
        val median = available.map { it.firstEventMillis }.sorted()[available.size / 2]
        val threshold = maxOf(median * SLOW_FACTOR, MIN_SLOW_MILLIS)
        return available.shuffled(random).minWith(
            compareBy({ it.id in atRisk }, { it.firstEventMillis > threshold }, { -it.free }),
        )
    }

    private fun chooseLeastCost(
        servers: ServiceServers,
        excluded: Set<BackendServerId>,
        now: MonotonicTime,
        demand: PlacementDemand,
    ): ServerLoad? {
        val origin = demand.origin.takeIf { servers.hasSeveralDomains }
        val own = LeastCost<ServerLoad>(random, spread())
        val others = LeastCost<ServerLoad>(random, spread())
        var ownSlots = 0
        for (load in servers.loads) {
            if (isIn(origin, load) && mayUse(load, now)) ownSlots += load.server.entry.slots
        }
        for (load in preferred(servers.loads.filter { it.id !in excluded && mayStart(it, demand, now) }, now)) {
            val isOwn = isIn(origin, load)
            (if (isOwn) own else others).offer(load, costMillis(servers, load, demand, now))
        }
        if (origin == null) return own.choice()
        return chooseDomain(servers, origin, own.choice(), others.choice(), ownSlots, demand, now)
    }

    private fun isIn(
        domain: FailureDomainId?,
        load: ServerLoad,
    ): Boolean = domain == null || load.server.entry.failureDomain == domain

    /** Returns [own] or [other], the best servers in and outside the domain of the request, or null to wait. */
    private fun chooseDomain(
        servers: ServiceServers,
        origin: FailureDomainId,
        own: ServerLoad?,
        other: ServerLoad?,
        ownSlots: Int,
        demand: PlacementDemand,
        now: MonotonicTime,
    ): ServerLoad? {
        if (own == null && other == null) return null
        val ownOffer =
            when {
                own != null -> offer(servers, own, demand, now)
                ownSlots > 0 -> servers.costs.offerAfterWait(ownSlots)
                else -> null
            }
        val otherOffer = other?.let { offer(servers, it, demand, now) }
        val due = demand.firstEventDueIn?.toDouble(DurationUnit.MILLISECONDS)
        return when (val decision = servers.routing.decide(origin, ownOffer, own == null, otherOffer, due, now)) {
            is DomainDecision.Stay -> {
                own
            }

            is DomainDecision.Leave -> {
                other?.also {
                    flows.merge(
                        DomainFlow(origin, it.server.entry.failureDomain, decision.reason),
                        1,
                        Int::plus,
                    )
                }
            }
        }
    }

    private fun offer(
        servers: ServiceServers,
        load: ServerLoad,
        demand: PlacementDemand,
        now: MonotonicTime,
    ): DomainOffer {
        val tokensRead = tokensRead(load, demand, now)
        val firstEvent = servers.costs.firstEventMillis(load.occupancy(now) + 1, tokensRead, factor(servers, load, now))
        val domain = load.server.entry.failureDomain
        val latency = servers.costs.latencyMillis(demand, domain)
        return DomainOffer(firstEvent + latency, firstEvent + servers.costs.wayMillis(demand, domain), tokensRead)
    }

    private fun tokensRead(
        load: ServerLoad,
        demand: PlacementDemand,
        now: MonotonicTime,
    ): Int = maxOf(0, demand.promptTokens - load.promptCache.heldTokens(demand.prompt.shared, now))

    /** Returns the expected cost of a run with [demand] at [load], in milliseconds. */
    private fun costMillis(
        servers: ServiceServers,
        load: ServerLoad,
        demand: PlacementDemand,
        now: MonotonicTime,
    ): Double {
        val costs = servers.costs
        val running = load.occupancy(now) + 1
        val factor = factor(servers, load, now)
        return costs.firstEventMillis(running, tokensRead(load, demand, now), factor) +
            costs.crowdingMillis(running, factor) +
            costs.wayMillis(demand, load.server.entry.failureDomain)
    }

    private fun factor(
        servers: ServiceServers,
        load: ServerLoad,
        now: MonotonicTime,
    ): Double = load.speed.factor(now, servers.domainSpeed(load).shift(now))

    /** Removes and returns the changes of traffic between failure domains since the last call. */
    fun takeDomainChanges(): List<DomainChange> = byService.values.flatMap { it.routing.takeChanges() }

    /** Removes and returns the number of runs that were sent to another failure domain since the last call. */
    fun takeDomainFlows(): Map<DomainFlow, Int> {
        if (flows.isEmpty()) return emptyMap()
        return HashMap(flows).also { flows.clear() }
    }

    /**
     * Returns the relative difference in cost within which servers count as equally good.
     *
     * A VM without coordinator does not know what others send; all of them would choose the server that looks best.
     */
    private fun spread(): Double = if (share < SPREAD_BELOW_SHARE) UNCOORDINATED_SPREAD else 0.0

    /** Applies a load that a server reported to a VM. */
    fun onReportedLoad(
        observed: ObservedLoad,
        now: MonotonicTime,
    ) {
        val load = loads[observed.server] ?: return
        load.onReportedLoad(observed.load, now - observed.ageMillis.coerceAtLeast(0).milliseconds)
        if (!policy.comparesServers || observed.load.durationPercent == null) return
        val servers = byService[load.server.entry.service] ?: return
        servers.hasFigures = true
        servers.domainSpeed(load).record(load.speed.factor(now), now)
    }

    /** Applies a limit that a server named to a VM. */
    fun onReportedLimit(
        observed: ObservedLimit,
        now: MonotonicTime,
    ) {
        val load = loads[observed.server.server] ?: return
        if (load.server.entry.incarnation == observed.server) load.onReportedLimit(observed.limit, now)
    }

    /** Records the end of the run [call] at [load], before it is removed. */
    fun onRunEnding(
        load: ServerLoad,
        call: CallId,
        firstEvent: Duration?,
        now: MonotonicTime,
        detail: RunDetail,
    ) {
        val servers = byService[load.server.entry.service] ?: return
        val percent = detail.load?.durationPercent
        if (policy.comparesServers && percent != null) servers.hasFigures = true
        val run = load.placedRun(call) ?: return
        val millis = firstEvent?.toDouble(DurationUnit.MILLISECONDS) ?: return
        val shown = servers.costs.onFirstEvent(run, millis, factor(servers, load, now))
        load.speed.onObserved(shown, percent, now)
        servers.domainSpeed(load).record(shown.coerceIn(MIN_FACTOR, MAX_FACTOR), now)
    }

    /** Returns the server with the fewest runs; null if none is available. */
    fun chooseIdlest(
        service: ServiceId,
        excluded: Set<BackendServerId>,
        now: MonotonicTime,
        demand: PlacementDemand = PlacementDemand.UNKNOWN,
    ): ServerLoad? =
        preferred(forService(service).filter { it.id !in excluded && mayStart(it, demand, now) }, now)
            .shuffled(random)
            .minByOrNull { it.running }

    private fun coldRate(load: ServerLoad): Double {
        val rate = manifest?.services?.get(load.server.entry.service)?.coldRatePerSecond ?: 0.0
        return rate * share
    }

    private companion object {
        // Slow servers in the load profiles take at least four times as long; the speed of healthy ones differs by less
        // than half of that.
        const val SLOW_FACTOR = 2.5

        // The first event normally arrives after 60 to 90 ms.
        const val MIN_SLOW_MILLIS = 120.0

        // A coordinator is followed by nearly all VMs; a VM on its own has the share of one.
        const val SPREAD_BELOW_SHARE = 0.25
        const val UNCOORDINATED_SPREAD = 0.5

        // A single late event must not make a whole domain look slow.
        const val MIN_FACTOR = 0.2
        const val MAX_FACTOR = 6.0
    }
}
