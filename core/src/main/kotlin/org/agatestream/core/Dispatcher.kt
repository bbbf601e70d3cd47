package org.agatestream.core

import org.agatestream.core.fairness.Capacity
import org.agatestream.core.fairness.FairQueue
import org.agatestream.core.fairness.ObservedCapacity
import org.agatestream.core.fairness.RunPace
import org.agatestream.core.fairness.RunWork
import org.agatestream.core.fairness.WaitingQueues
import org.agatestream.core.fairness.WaitingRequest
import org.agatestream.core.limit.ObservedLimit
import org.agatestream.core.placement.DomainChange
import org.agatestream.core.placement.DomainFlow
import org.agatestream.core.placement.ObservedLoad
import org.agatestream.core.placement.PlacementDemand
import org.agatestream.core.placement.PromptShape
import org.agatestream.core.rollout.StartedRun
import org.agatestream.core.rollout.VersionGate
import kotlin.math.ceil
import kotlin.random.Random
import kotlin.time.Duration
import kotlin.time.Duration.Companion.milliseconds
import kotlin.time.Duration.Companion.seconds

/**
 * Scheduler of a coordinator: assigns requests and items to backend servers, or refuses them.
 *
 * Online requests take precedence over items; a running item is preempted for an online request that would otherwise
 * be late. When requests wait, workspaces share the slots (see [FairQueue]).
 *
 * Rate limits of workspaces and of cold servers are fleet-wide: VMs that do not follow this coordinator may each use
 * their share of a rate independently, so only the followers' share is granted here. Not thread-safe.
 */
public class Dispatcher(
    /** The number of the first item run that this coordinator starts; higher than those of earlier coordinators. */
    private var nextNumber: Long,
    /** Breaks ties between equally good servers, so that VMs that choose independently choose differently. */
    random: Random = Random.Default,
    /** What this VM knows about prompt parts that end servers. */
    private val suspects: CrashSuspects = CrashSuspects(),
    private val policy: SchedulingPolicy = SchedulingPolicy(),
    /** Decides which versions of a service may get a run. */
    private val gate: VersionGate = VersionGate.Open,
) {
    private val isolation = SuspectIsolation(suspects)
    private val servers = ServerPool(random, policy, gate)
    private val slotCounts = SlotCounts(servers)
    private val queues = WaitingQueues(sharesSlots = policy.sharesSlots)
    private val rates = WorkspaceRates()
    private val heldSlots = HeldSlots()
    private val earlyReleases = LinkedHashMap<CallId, MonotonicTime>()
    private val jobs = JobTracker(policy.sharesSlots, random)
    private val paces = HashMap<ServiceId, RunPace>()
    private val observed = HashMap<ServiceId, ObservedCapacity>()
    private var judgedVersion = 0L

    // False at a dispatcher that most VMs don't follow, such as that of a VM without a coordinator.
    private var knowsMostRuns = true
    private var manifest: Manifest? = null
    private var followers: List<VmId> = emptyList()
    private var vmDomains: Map<VmId, FailureDomainId> = emptyMap()
    private var expectedFollowers = 0
    private val reported = HashSet<VmId>()
    private val unanswering = HashSet<VmId>()
    private val endedJobs = EndedJobs()
    private var itemsAllowedAt: MonotonicTime? = null

    /** The number of queued requests. */
    public val waitingRequests: Int get() = queues.size

    /** The number of runs in flight. */
    public val runningCalls: Int get() = heldSlots.size

    /** The number of slots occupied by runs of unresponsive VMs. */
    public val orphanedRuns: Int get() = servers.all.sumOf { it.orphaned }

    /** The number of jobs with unfinished items. */
    public val openJobs: Int get() = jobs.openJobs

    /** The number of requests refused as their workspace exceeded its share while others asked too. */
    public var refusedOverShare: Long = 0
        private set

    /** The number of workspaces that demand more than their share at [now], summed over the services. */
    public fun workspacesOverShare(now: MonotonicTime): Int =
        queues.services.entries.sumOf { (service, queue) ->
            queue.overShare(capacityOf(service, now), now)
        }

    /** True once every VM that may serve callers has reported its runs. */
    public val isFullyReported: Boolean get() = hasAllReported()

    /** The servers whose work is restricted, with the reason. */
    public val suspectedServers: Map<BackendServerId, ServerSuspicion>
        get() = servers.all.mapNotNull { load -> load.suspicion?.let { load.id to it } }.toMap()

    /** The requests per second that servers take at [now], of those that name a limit. */
    public fun limitedServers(now: MonotonicTime): Map<BackendServerId, Double> =
        servers.all.mapNotNull { load -> load.limiter.limitAt(now)?.let { load.id to it } }.toMap()

    /** Removes and returns the changes of traffic between failure domains since the last call. */
    public fun takeDomainChanges(): List<DomainChange> = servers.takeDomainChanges()

    /** Removes and returns the number of runs sent to another failure domain since the last call. */
    public fun takeDomainFlows(): Map<DomainFlow, Int> = servers.takeDomainFlows()

    /** Applies a version of the manifest. */
    public fun onManifest(manifest: Manifest) {
        this.manifest = manifest
        servers.onManifest(manifest)
        rates.onManifest(manifest)
    }

    /** Applies the list of servers that may get work. */
    public fun onServers(
        usable: Collection<UsableServer>,
        now: MonotonicTime,
    ): List<DispatchAction> {
        servers.onUsable(usable)
        slotCounts.onServers()
        return refuseUnservable(now) + schedule(now)
    }

    /** Refuses the queued requests for which no server is left, as [place] does with new ones. */
    private fun refuseUnservable(now: MonotonicTime): List<DispatchAction> {
        val unservable = queues.all.map { it.request }.filter { slotCounts.total(it.service, it.excluded, now) == 0 }
        unservable.forEach { queues.remove(it.call) }
        return unservable.map { refuse(it, ErrorKind.NO_CAPACITY, NO_SERVER_RETRY_AFTER, now) }
    }

    /**
     * Applies the set of VMs that follow this coordinator.
     *
     * [expected] is the number of VMs that may serve callers; [followers] are those that send their requests here.
     * [extraBurst] is the number of requests that each workspace may send at once beyond the followers' share of its
     * burst. [domains] are the failure domains of the followers, as far as known.
     */
    public fun onFollowers(
        followers: List<VmId>,
        expected: Int,
        extraBurst: Double = 0.0,
        domains: Map<VmId, FailureDomainId> = emptyMap(),
    ) {
        vmDomains = domains
        this.followers = followers
        expectedFollowers = expected
        val share = if (expected <= 0) 1.0 else minOf(1.0, followers.size.toDouble() / expected)
        knowsMostRuns = share >= MOST_RUNS
        rates.onShare(share, extraBurst)
        servers.onShare(share)
    }

    /** Allows items to start at [at] or once every VM has reported; before that, runs in flight may be unknown. */
    public fun allowItems(at: MonotonicTime) {
        itemsAllowedAt = at
    }

    /** Stops starting items. */
    public fun pauseItems() {
        itemsAllowedAt = null
    }

    /** Requests a slot; the returned actions contain no decision on the request if it is queued. */
    public fun place(
        request: PlaceRequest,
        now: MonotonicTime,
    ): List<DispatchAction> {
        if (earlyReleases.remove(request.call) != null || request.call in queues) return emptyList()
        return placeSized(if (policy.usesSizes) request else request.copy(prompt = PromptShape.UNKNOWN), now)
    }

    private fun placeSized(
        request: PlaceRequest,
        now: MonotonicTime,
    ): List<DispatchAction> {
        findRefusal(request, now)?.let { return listOf(it) }
        request.meteredWorkspace?.let { rates.take(it) }
        val mustStartOnTime = queues[request.service]?.misses(request, capacityOf(request.service, now), now) == true
        val waiting = queues.add(request, now, mustStartOnTime)
        if (isolation.mustWait(request.parts, now)) queues[request.service]?.hold(waiting, isHeld = true)
        return schedule(now)
    }

    /** Applies the end of a run, or the withdrawal of a queued request. */
    public fun release(
        call: CallId,
        outcome: RunOutcome,
        firstEvent: Duration?,
        now: MonotonicTime,
        detail: RunDetail = RunDetail.NONE,
    ): List<DispatchAction> {
        if (queues.remove(call) != null) return schedule(now)
        jobs.onReleased(call, now)
        if (detail.isServerLeaving) jobs.allowRestart(call)
        isolation.onReleased(call, hasBegun = firstEvent != null || outcome == RunOutcome.ANSWERED, now)
        val held = removeHeld(call)
        if (held == null) {
            forgetEarlyReleases(now)
            earlyReleases[call] = now
            return emptyList()
        }
        gate.onEnded(call, outcome, firstEvent, detail, now)
        val load = servers.find(held.server) ?: return schedule(now)
        val wasSilent = load.isSilent(call)
        servers.onRunEnding(load, call, firstEvent, now, detail)
        detail.limit?.let { load.onReportedLimit(it, now) }
        load.remove(call)
        // A server that is leaving may end runs or refuse them on purpose.
        if (!detail.isServerLeaving) load.record(outcome, firstEvent, now, wasSilent, detail)
        recordCapacity(held, outcome, now)
        if (outcome == RunOutcome.ANSWERED && jobs.itemOf(call) == null) {
            paceOf(held.service).record(now - held.since, held.work)
        }
        return schedule(now)
    }

    private fun recordCapacity(
        held: HeldSlot,
        outcome: RunOutcome,
        now: MonotonicTime,
    ) {
        if (knowsMostRuns) return
        if (outcome == RunOutcome.ANSWERED) observedOf(held.service, now).onAnswered(held.work, now)
        if (outcome == RunOutcome.NOT_RUN) observedOf(held.service, now).onTurnedAway(now)
    }

    /** Applies loads that servers reported to VMs. */
    public fun onServerLoads(
        loads: List<ObservedLoad>,
        now: MonotonicTime,
    ) {
        loads.forEach { servers.onReportedLoad(it, now) }
    }

    /** Applies limits that servers named to VMs. */
    public fun onServerLimits(
        limits: List<ObservedLimit>,
        now: MonotonicTime,
    ) {
        limits.forEach { servers.onReportedLimit(it, now) }
    }

    /**
     * Applies the outcome of an item's run; its slot is freed by a separate [release].
     *
     * [hasNewOutput] tells that a run that was interrupted brought events that were not known.
     */
    public fun onItem(
        ref: ItemRef,
        call: CallId,
        outcome: ItemOutcome,
        now: MonotonicTime,
        hasNewOutput: Boolean = false,
    ): List<DispatchAction> {
        val failures = jobs.onOutcome(ref, call, outcome, now, hasNewOutput)
        if (outcome == ItemOutcome.FAILED && failures >= allowedFailures(ref)) {
            return listOf(DispatchAction.GiveUpItem(ref, "failed_attempts")) + schedule(now)
        }
        return schedule(now)
    }

    /** Records that [vm] did not take an item; it gets no items until its next report. */
    public fun onUnanswered(vm: VmId) {
        unanswering += vm
    }

    /** Records that the result of [ref] is in the store. */
    public fun onListed(ref: ItemRef) {
        jobs.markDone(ref)
    }

    /** Adds an open job; items in [done] are in the store already. */
    public fun onJob(
        plan: JobPlan,
        done: Set<ItemId>,
        now: MonotonicTime,
    ): List<DispatchAction> {
        jobs.add(plan, done, now)
        return schedule(now)
    }

    /** Removes a job that its caller ended; runs of its items that are reported later are stopped too. */
    public fun onJobEnded(
        job: JobRef,
        now: MonotonicTime,
    ): List<DispatchAction> {
        endedJobs.add(job, now)
        val stops = jobs.remove(job).map { stopItem(it, "job_ended") }
        return stops + schedule(now)
    }

    /** Applies a report of [vm]: its runs in flight and the items whose results it has not stored yet. */
    public fun onReport(
        vm: VmId,
        running: List<RunningCall>,
        unstoredResults: List<ItemRef>,
        now: MonotonicTime,
    ): List<DispatchAction> {
        servers.all.forEach { it.dropOrphans(vm) }
        val numbers = running.mapTo(HashSet()) { it.number }
        val missing =
            heldSlots.of(vm).filter { call ->
                val held = heldSlots[call]
                held != null && call.number !in numbers && now - held.since > MAX_REPORT_DELAY
            }
        for (call in missing) {
            jobs.itemOf(call)?.let { jobs.onOutcome(it, call, ItemOutcome.INTERRUPTED, now) }
            releaseSlot(call)
        }
        running.forEach { applyReportedRun(vm, it, now) }
        val stops = running.mapNotNull { stopReported(CallId(vm, it.number), it) }
        unstoredResults.forEach { jobs.onUnstoredResult(it, vm, now) }
        reported += vm
        unanswering -= vm
        val endsItemWait = itemsAllowedAt?.let { it > now } == true && hasAllReported()
        if (endsItemWait) itemsAllowedAt = now
        val hasRequeued =
            jobs.requeueUnreported(vm, numbers, unstoredResults.toSet(), heldSlots.calls, now - MAX_REPORT_DELAY, now)
        return stops + if (missing.isEmpty() && !hasRequeued && !endsItemWait) emptyList() else schedule(now)
    }

    /**
     * Removes a VM that no longer follows this coordinator.
     *
     * If its process has ended ([hasEnded]), the servers cancel its runs. After a network partition or power loss the
     * servers still see open connections and continue, so the slots stay occupied for the expected duration of the
     * runs.
     */
    public fun onVmLost(
        vm: VmId,
        hasEnded: Boolean,
        now: MonotonicTime,
    ): List<DispatchAction> {
        val lost = heldSlots.of(vm)
        if (hasEnded) {
            lost.forEach { releaseSlot(it) }
            servers.all.forEach { it.dropOrphans(vm) }
        } else {
            lost.forEach { orphanRun(it, now) }
        }
        queues.removeAll(vm)
        jobs.onVmLost(vm, hasEnded, now)
        reported -= vm
        unanswering -= vm
        return schedule(now)
    }

    /** Returns the number of runs at [ids], with those of unresponsive VMs. */
    public fun runsAt(ids: Set<BackendServerId>): Int =
        heldSlots.countAt(ids) + servers.all.filter { it.id in ids }.sumOf { it.orphaned }

    /** Returns the number of runs and waiting requests of [service]. */
    public fun demand(service: ServiceId): Int =
        servers.forService(service).sumOf { it.running + it.orphaned } + (queues[service]?.size ?: 0)

    /** Stops the items that run at [ids]; they resume at other servers. */
    public fun stopItemsAt(
        ids: Set<BackendServerId>,
        reason: String,
    ): List<DispatchAction> =
        servers.all
            .filter { it.id in ids }
            .flatMap { it.stoppableItems() }
            .map { stopItem(it, reason) }

    /** Refuses requests whose wait has expired and schedules queued work. */
    public fun tick(now: MonotonicTime): List<DispatchAction> {
        val expired = queues.removeExpired(now).map { it.request } + removeExcess(now)
        val refusals = expired.map { refuse(it, ErrorKind.NO_CAPACITY, retryAfter(it, now), now) }
        queues.services.values.forEach { it.forgetIdle(now) }
        val expiredItems = jobs.expiredItems(now).map { DispatchAction.GiveUpItem(it, "kept_too_long") }
        forgetEarlyReleases(now)
        endedJobs.forget(now)
        servers.all.forEach { it.expireOrphans(now) }
        return refusals + expiredItems + schedule(now)
    }

    private fun forgetEarlyReleases(now: MonotonicTime) {
        val releases = earlyReleases.values.iterator()
        while (releases.hasNext() && now - releases.next() > EARLY_RELEASE_RETENTION) releases.remove()
    }

    private fun hasAllReported(): Boolean = followers.size >= expectedFollowers && reported.containsAll(followers)

    private fun findRefusal(
        request: PlaceRequest,
        now: MonotonicTime,
    ): DispatchAction? {
        request.meteredWorkspace?.let { rates.timeToToken(it, now) }?.let { wait ->
            return DispatchAction.Refuse(request.call, ErrorKind.RATE_EXCEEDED, wait)
        }
        if (suspects.judge(request.parts, now) is PromptVerdict.Condemned) {
            return DispatchAction.Refuse(request.call, ErrorKind.PROMPT_REFUSED, Duration.ZERO)
        }
        // Servers refuse a request that is larger than their memory as if they were full.
        if (servers.isTooLarge(request.service, demandOf(request, now))) {
            return DispatchAction.Refuse(request.call, ErrorKind.NO_CAPACITY, NO_SERVER_RETRY_AFTER)
        }
        queues.queueOf(request, now).onAsked(request, now)
        paceOf(request.service).onAsked(RunWork.of(request.prompt))
        if (slotCounts.total(request.service, request.excluded, now) == 0) {
            return DispatchAction.Refuse(request.call, ErrorKind.NO_CAPACITY, NO_SERVER_RETRY_AFTER)
        }
        val wait = expectedWait(request, now)
        if (now + wait < request.queueDeadline) return null
        countOverShare(request, now)
        return DispatchAction.Refuse(request.call, ErrorKind.NO_CAPACITY, wait)
    }

    private fun refuse(
        request: PlaceRequest,
        kind: ErrorKind,
        retryAfter: Duration,
        now: MonotonicTime,
    ): DispatchAction {
        request.meteredWorkspace?.let { rates.refund(it) }
        if (kind == ErrorKind.NO_CAPACITY) countOverShare(request, now)
        return DispatchAction.Refuse(request.call, kind, retryAfter)
    }

    private fun countOverShare(
        request: PlaceRequest,
        now: MonotonicTime,
    ) {
        val queue = queues[request.service] ?: return
        if (queue.isOverShare(request.workspace, capacityOf(request.service, now), now)) refusedOverShare++
    }

    /**
     * Removes and returns the requests that can't be started in time.
     *
     * These are requests of workspaces that exceed their shares, and those that could only have started on time.
     */
    private fun removeExcess(now: MonotonicTime): List<PlaceRequest> {
        val excess =
            queues.services.filterValues { it.size > 0 }.flatMap { (service, queue) ->
                val capacity = capacityOf(service, now)
                queue.excess(capacity, now) + queue.takeMissed(capacity, now)
            }
        // A request may have started or be in both.
        return excess.map { it.request }.filter { queues.remove(it.call) != null }
    }

    /** Returns when a slot is expected for a request that is refused although it was queued. */
    private fun retryAfter(
        request: PlaceRequest,
        now: MonotonicTime,
    ): Duration {
        if (slotCounts.total(request.service, emptySet(), now) == 0) return NO_SERVER_RETRY_AFTER
        val queue = queues.queueOf(request, now)
        val work = RunWork.of(request.prompt)
        return queue.expectedWaitBehindAll(request.workspace, capacityOf(request.service, now), now, work)
    }

    /** Estimates how long a new request would wait for a slot. */
    private fun expectedWait(
        request: PlaceRequest,
        now: MonotonicTime,
    ): Duration {
        val queue = queues[request.service]?.takeIf { it.startable > 0 } ?: return Duration.ZERO
        return queue.expectedWait(request, capacityOf(request.service, now), now)
    }

    /** Returns what the servers of [service] that may be used can do, as far as this dispatcher may use them. */
    private fun capacityOf(
        service: ServiceId,
        now: MonotonicTime,
    ): Capacity {
        val slots = maxOf(1, slotCounts.usable(service, now, paceOf(service).runTime)).toDouble()
        val known = Capacity(slots, slots * paceOf(service).workPerSecond, heldSlots.onlineOf(service))
        return if (knowsMostRuns || !policy.sharesSlots) known else observedOf(service, now).limit(known, now)
    }

    private fun observedOf(
        service: ServiceId,
        now: MonotonicTime,
    ): ObservedCapacity = observed.getOrPut(service) { ObservedCapacity(now) }

    private fun paceOf(service: ServiceId): RunPace = paces.getOrPut(service) { RunPace() }

    private fun schedule(now: MonotonicTime): List<DispatchAction> {
        val actions = ArrayList<DispatchAction>()
        refuseCondemned(now, actions)
        for ((service, queue) in queues.services) if (queue.size > 0) placeOnline(service, queue, now, actions)
        startItems(now, actions)
        return actions
    }

    /** Refuses the waiting requests whose prompt parts were condemned since the last call. */
    private fun refuseCondemned(
        now: MonotonicTime,
        actions: MutableList<DispatchAction>,
    ) {
        if (judgedVersion == suspects.version) return
        judgedVersion = suspects.version
        if (suspects.isClear) return
        for (waiting in queues.all) {
            if (suspects.judge(waiting.request.parts, now) !is PromptVerdict.Condemned) continue
            queues.remove(waiting.request.call)
            actions += refuse(waiting.request, ErrorKind.PROMPT_REFUSED, Duration.ZERO, now)
        }
    }

    private fun placeOnline(
        service: ServiceId,
        queue: FairQueue,
        now: MonotonicTime,
        actions: MutableList<DispatchAction>,
    ) {
        val passedOver = ArrayList<WaitingRequest>()
        val capacity = capacityOf(service, now)
        queue.beginPass(capacity, now)
        while (true) {
            val next = queue.next(capacity, now) ?: break
            val stopped = actions.size
            val load = findServer(next.request, now, actions)
            if (load != null) {
                start(next, load, now, actions)
                continue
            }
            // An item that was stopped leaves room for a later request only.
            if (actions.size == stopped && !mayServeOthers(next.request, service, now)) break
            queue.detach(next)
            passedOver += next
        }
        passedOver.forEach { queue.putBack(it, isolation.mustWait(it.request.parts, now)) }
    }

    private fun findServer(
        request: PlaceRequest,
        now: MonotonicTime,
        actions: MutableList<DispatchAction>,
    ): ServerLoad? {
        if (suspects.judge(request.parts, now) is PromptVerdict.Clear) {
            val atRisk = isolation.servers(now)
            return servers.choose(request.service, request.excluded, now, atRisk, demandOf(request, now))
                ?: preemptItem(request, now, actions)
        }
        if (isolation.mustWait(request.parts, now)) return null
        val avoided = request.excluded + isolation.servers(now)
        return servers.chooseIdlest(request.service, avoided, now, demandOf(request, now))
    }

    /** Returns whether a server may be available to other requests although there is none for [request]. */
    private fun mayServeOthers(
        request: PlaceRequest,
        service: ServiceId,
        now: MonotonicTime,
    ): Boolean {
        val isRestricted = request.excluded.isNotEmpty() || suspects.judge(request.parts, now) !is PromptVerdict.Clear
        if (servers.choose(service, emptySet(), now) != null) {
            // A request that finds no server where one is free lacks memory there.
            return isRestricted || request.prompt.totalTokens > 0
        }
        return isRestricted && heldSlots.itemsOf(service).isNotEmpty()
    }

    private fun start(
        waiting: WaitingRequest,
        load: ServerLoad,
        now: MonotonicTime,
        actions: MutableList<DispatchAction>,
    ) {
        val request = waiting.request
        queues.start(waiting)
        isolation.onStarted(request.call, load.id, request.parts)
        occupySlot(request.call, load, isItem = false, now, request)
        actions += DispatchAction.Place(request.call, load.id)
    }

    /**
     * Preempts an item so that [request] can use its slot.
     *
     * Chooses an item that cannot meet its deadline, else the one with the most remaining work, then the latest
     * deadline.
     */
    private fun preemptItem(
        request: PlaceRequest,
        now: MonotonicTime,
        actions: MutableList<DispatchAction>,
    ): ServerLoad? {
        val demand = demandOf(request, now)
        val items = heldSlots.itemsOf(request.service)
        if (items.isEmpty()) return null
        val candidates =
            items
                .mapNotNull { call -> heldSlots[call]?.let { servers.find(it.server) }?.let { it to call } }
                .filter { (load, call) ->
                    load.isStoppable(call) && load.id !in request.excluded && servers.acceptsWork(load, now)
                }.filter { (load, call) -> servers.fitsWithout(call, load, demand) }
        val order =
            compareBy<Pair<ServerLoad, CallId>>(
                { (load, _) -> load.free >= 0 },
                { (_, call) -> !jobs.canMeetDeadline(call, now) },
                { (_, call) -> jobs.remainingSteps(call, now) },
                { (_, call) -> jobs.deadline(call) ?: now },
            )
        val (load, call) = candidates.maxWithOrNull(order) ?: return null
        actions += stopItem(call, "online_request")
        // A server with more runs than slots has no room yet.
        return load.takeIf { it.free > 0 && servers.fits(it, demand) }
    }

    private fun startItems(
        now: MonotonicTime,
        actions: MutableList<DispatchAction>,
    ) {
        val from = itemsAllowedAt ?: return
        if (now < from) return
        val vms = followers - unanswering
        if (vms.isEmpty()) return
        if (!jobs.hasReadyItems(now)) return
        val spareSlots = HashMap<ServiceId, Int>()
        for (load in servers.all) {
            if (!servers.mayUse(load, now)) continue
            spareSlots.merge(load.server.entry.service, maxOf(0, load.free), Int::plus)
        }
        for (service in spareSlots.keys.toList()) {
            spareSlots.computeIfPresent(service) { _, spare -> spare - headroom(service, now) }
        }
        queues.services
            .filterValues { it.startable > 0 }
            .keys
            .forEach { spareSlots[it] = 0 }
        val pending = jobs.pendingItems(now, ::isCurrentFor).take(MAX_ITEMS_PER_PASS).iterator()
        while (spareSlots.values.any { it > 0 } && pending.hasNext()) {
            val (ref, plan) = pending.next()
            val service = route(ref, plan)?.chooseService(ref.item.hashCode())
            if (service == null) {
                actions += DispatchAction.GiveUpItem(ref, "route_dropped")
                continue
            }
            if ((spareSlots[service] ?: 0) <= 0) continue
            val demand = PlacementDemand(origin = jobs.bodyHolder(ref)?.let { vmDomains[it] })
            val load = servers.choose(service, emptySet(), now, isolation.servers(now), demand)
            if (load == null) {
                spareSlots[service] = 0
                continue
            }
            val call = CallId(chooseVm(ref, vms, load.server.entry.failureDomain), nextNumber++)
            spareSlots.merge(service, -1, Int::plus)
            occupySlot(call, load, isItem = true, now, route = route(ref, plan)?.name)
            jobs.onStarted(ref, call, now)
            actions += DispatchAction.StartItem(call, ref, load.id)
        }
    }

    /** Returns the number of slots kept free of items, so that the next online requests need no preemption. */
    private fun headroom(
        service: ServiceId,
        now: MonotonicTime,
    ): Int = ceil(slotCounts.total(service, emptySet(), now) * HEADROOM_FRACTION).toInt()

    /**
     * Returns the VM among [vms] that runs an item, one of [VMS_PER_JOB] for each job.
     *
     * Spreading a job limits how many of its runs are interrupted, with their slots still occupied, when a VM is lost.
     * The number of VMs is small because each of them reads the job's bodies. Among them, those in the [domain] of the
     * item's server are preferred. An item whose runs bring nothing goes from one to the next, as the reason may lie with
     * its VM.
     */
    private fun chooseVm(
        ref: ItemRef,
        vms: List<VmId>,
        domain: FailureDomainId,
    ): VmId {
        val holder = jobs.bodyHolder(ref)?.takeIf { it in vms }
        val others = (vms - setOfNotNull(holder)).sortedByDescending { rendezvousRank(ref.job.id.value, it.value) }
        val candidates = (listOfNotNull(holder) + others).take(VMS_PER_JOB)
        val triedVms = jobs.vainRuns(ref) / MAX_VAIN_RUNS_PER_VM
        val prefersDomain = policy.comparesServers && triedVms == 0
        val near = candidates.filter { prefersDomain && vmDomains[it] == domain }.ifEmpty { candidates }
        return near[(jobs.position(ref) + triedVms) % near.size]
    }

    /** Returns whether the known manifest is at least as new as the one under which the job was accepted. */
    private fun isCurrentFor(plan: JobPlan): Boolean = manifest?.let { it.version >= plan.manifestVersion } == true

    /** Returns how often the item may fail before it is given up; unlimited while its route may not be known yet. */
    private fun allowedFailures(ref: ItemRef): Int {
        val plan = jobs.plan(ref.job) ?: return DEFAULT_ITEM_ATTEMPTS
        if (!isCurrentFor(plan)) return Int.MAX_VALUE
        return route(ref, plan)?.maxAttempts ?: DEFAULT_ITEM_ATTEMPTS
    }

    private fun route(
        ref: ItemRef,
        plan: JobPlan,
    ): ManifestRoute? = manifest?.route(plan.host, jobs.path(ref) ?: return null)

    private fun occupySlot(
        call: CallId,
        load: ServerLoad,
        isItem: Boolean,
        now: MonotonicTime,
        request: PlaceRequest? = null,
        route: String? = request?.route,
    ) {
        removeHeld(call)
        val work = RunWork.of(request?.prompt ?: PromptShape.UNKNOWN)
        heldSlots.add(call, HeldSlot(load.id, load.server.entry.service, now, isItem, work, request))
        val demand = request?.let { demandOf(it, now) } ?: PlacementDemand.UNKNOWN
        load.onStarted(call, isItem, now, demand)
        gate.onStarted(StartedRun(call, load.server.entry, load.running, route, isItem), now)
    }

    private fun demandOf(
        request: PlaceRequest,
        now: MonotonicTime,
    ): PlacementDemand =
        PlacementDemand(request.origin, request.prompt, request.latestStart + FIRST_EVENT_RESERVE - now)

    private fun applyReportedRun(
        vm: VmId,
        running: RunningCall,
        now: MonotonicTime,
    ) {
        val call = CallId(vm, running.number)
        if (call in earlyReleases) return
        // A VM that got no response in time chose a server itself, possibly another one than was assigned here.
        if (heldSlots[call]?.server != running.server) {
            releaseSlot(call)
            val load = servers.find(running.server) ?: return
            occupySlot(call, load, running.item != null, now)
        }
        (running.firstEventMillis ?: running.silentMillis)?.let { gate.onProgress(call, it, running.hasBegun) }
        isolation.onStarted(call, running.server, running.parts)
        if (running.hasBegun) isolation.onBegun(call, now)
        // The job may have been loaded after the run was first reported.
        running.item?.let { jobs.onReported(it, call, now) }
        servers.find(running.server)?.let {
            it.onRunReport(running, call, now)
            it.onTokens(call, running.tokens)
        }
    }

    /** Returns a stop of a run that should have ended: that of an ended job, or one whose stop may be lost. */
    private fun stopReported(
        call: CallId,
        running: RunningCall,
    ): DispatchAction? =
        when {
            running.item?.job in endedJobs -> stopItem(call, "job_ended")
            servers.find(running.server)?.isStopping(call) == true -> stopItem(call, "stopped_before")
            else -> null
        }

    private fun stopItem(
        call: CallId,
        reason: String,
    ): DispatchAction {
        heldSlots[call]?.let { servers.find(it.server) }?.markStopping(call)
        jobs.allowRestart(call)
        return DispatchAction.StopItem(call, reason)
    }

    /** Keeps the slot of an unresponsive VM's run occupied until the run is expected to have ended. */
    private fun orphanRun(
        call: CallId,
        now: MonotonicTime,
    ) {
        isolation.onAbandoned(call)
        gate.onForgotten(call)
        val held = removeHeld(call) ?: return
        val load = servers.find(held.server) ?: return
        val isItem = jobs.itemOf(call) != null
        val end = if (isItem) now + jobs.remainingTime(call, now) else held.since + typicalRunTime(load)
        if (end > now) load.orphan(call, end) else load.remove(call)
    }

    private fun typicalRunTime(load: ServerLoad): Duration = paceOf(load.server.entry.service).runTime

    private fun removeHeld(call: CallId): HeldSlot? {
        val held = heldSlots.remove(call) ?: return null
        held.request?.let { queues[it.service]?.onEnded(it.workspace) }
        return held
    }

    private fun releaseSlot(call: CallId) {
        isolation.onAbandoned(call)
        gate.onForgotten(call)
        removeHeld(call)?.let { servers.find(it.server) }?.remove(call)
    }

    private companion object {
        const val DEFAULT_ITEM_ATTEMPTS = 3

        // The share of VMs that follow a dispatcher from which its view of the servers' slots is taken to be complete.
        const val MOST_RUNS = 0.5
        const val MAX_ITEMS_PER_PASS = 256
        const val HEADROOM_FRACTION = 0.04

        // Each VM of a job reads its bodies of about 200 kB; the loss of one of 11 VMs must not interrupt whole jobs.
        const val VMS_PER_JOB = 3

        // A second run at the same VM reads no bodies, and mostly the server was at fault.
        const val MAX_VAIN_RUNS_PER_VM = 2
        val NO_SERVER_RETRY_AFTER = 1.seconds

        // VMs set the latest start of a request this long before its first event is due.
        val FIRST_EVENT_RESERVE = 150.milliseconds

        /** The age from which a run missing from its VM's report counts as ended. */
        val MAX_REPORT_DELAY = 700.milliseconds
        val EARLY_RELEASE_RETENTION = 10.seconds
    }
}
