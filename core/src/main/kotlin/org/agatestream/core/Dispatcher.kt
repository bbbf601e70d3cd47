package org.agatestream.core

import org.agatestream.core.placement.DomainChange
import org.agatestream.core.placement.DomainFlow
import org.agatestream.core.placement.ObservedLoad
import org.agatestream.core.placement.PlacementDemand
import org.agatestream.core.placement.PlacementSettings
import kotlin.math.ceil
import kotlin.random.Random
import kotlin.time.Duration
import kotlin.time.Duration.Companion.milliseconds
import kotlin.time.Duration.Companion.seconds
import kotlin.time.DurationUnit

/**
 * Scheduler of a coordinator: assigns requests and items to backend servers, or refuses them.
 *
 * Online requests take precedence over items; a running item is preempted for an online request that would otherwise
 * be late. Rate limits of workspaces and of cold servers are fleet-wide: VMs that do not follow this coordinator may
 * each use their share of a rate independently, so only the followers' share is granted here. Not thread-safe.
 */
public class Dispatcher(
    /** The number of the first item run that this coordinator starts; higher than those of earlier coordinators. */
    private var nextNumber: Long,
    /** Breaks ties between equally good servers, so that VMs that choose independently choose differently. */
    random: Random = Random.Default,
    /** What this VM knows about prompt parts that end servers. */
    private val suspects: CrashSuspects = CrashSuspects(),
    placement: PlacementSettings = PlacementSettings(),
) {
    private val isolation = SuspectIsolation(suspects)
    private val servers = ServerPool(random, placement)
    private val queuedRequests = ArrayList<PlaceRequest>()
    private val rates = WorkspaceRates()
    private val heldSlots = HashMap<CallId, HeldSlot>()
    private val earlyReleases = LinkedHashMap<CallId, MonotonicTime>()
    private val jobs = JobTracker()
    private val meanRunMillis = HashMap<ServiceId, Double>()
    private var manifest: Manifest? = null
    private var followers: List<VmId> = emptyList()
    private var vmDomains: Map<VmId, FailureDomainId> = emptyMap()
    private var expectedFollowers = 0
    private val reported = HashSet<VmId>()
    private val unanswering = HashSet<VmId>()
    private var itemsAllowedAt: MonotonicTime? = null

    /** A slot occupied by a run. */
    private class HeldSlot(
        val server: BackendServerId,
        val since: MonotonicTime,
    )

    /** The number of queued requests. */
    public val waitingRequests: Int get() = queuedRequests.size

    /** The number of runs in flight. */
    public val runningCalls: Int get() = heldSlots.size

    /** The number of slots occupied by runs of unresponsive VMs. */
    public val orphanedRuns: Int get() = servers.all.sumOf { it.orphaned }

    /** The number of jobs with unfinished items. */
    public val openJobs: Int get() = jobs.openJobs

    /** The servers whose work is restricted, with the reason. */
    public val suspectedServers: Map<BackendServerId, ServerSuspicion>
        get() = servers.all.mapNotNull { load -> load.suspicion?.let { load.id to it } }.toMap()

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
        return schedule(now)
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
        if (earlyReleases.remove(request.call) != null) return emptyList()
        findRefusal(request, now)?.let { return listOf(it) }
        request.meteredWorkspace?.let { rates.take(it) }
        queuedRequests += request
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
        if (queuedRequests.removeAll { it.call == call }) return schedule(now)
        jobs.onReleased(call, now)
        isolation.onReleased(call, hasBegun = firstEvent != null || outcome == RunOutcome.ANSWERED, now)
        val held = heldSlots.remove(call)
        if (held == null) {
            earlyReleases[call] = now
            return emptyList()
        }
        val load = servers.find(held.server) ?: return schedule(now)
        val wasSilent = load.isSilent(call)
        servers.onRunEnding(load, call, firstEvent, now, detail)
        load.remove(call)
        load.record(outcome, firstEvent, now, wasSilent, detail)
        if (outcome == RunOutcome.ANSWERED && jobs.itemOf(call) == null) {
            recordRunTime(load.server.entry.service, now - held.since)
        }
        return schedule(now)
    }

    /** Applies loads that servers reported to VMs. */
    public fun onServerLoads(
        loads: List<ObservedLoad>,
        now: MonotonicTime,
    ) {
        loads.forEach { servers.onReportedLoad(it, now) }
    }

    /** Applies the outcome of an item's run; its slot is freed by a separate [release]. */
    public fun onItem(
        ref: ItemRef,
        call: CallId,
        outcome: ItemOutcome,
        now: MonotonicTime,
    ): List<DispatchAction> {
        val failures = jobs.onOutcome(ref, call, outcome, now)
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

    /** Removes a job that its caller ended. */
    public fun onJobEnded(
        id: JobId,
        now: MonotonicTime,
    ): List<DispatchAction> {
        val stops = jobs.remove(id).map { stopItem(it, "job_ended") }
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
            heldSlots
                .filter { (call, held) ->
                    call.vm == vm && call.number !in numbers && now - held.since > MAX_REPORT_DELAY
                }.keys
        for (call in missing) {
            jobs.itemOf(call)?.let { jobs.onOutcome(it, call, ItemOutcome.INTERRUPTED, now) }
            releaseSlot(call)
        }
        running.forEach { applyReportedRun(vm, it, now) }
        unstoredResults.forEach { jobs.onUnstoredResult(it, vm, now) }
        reported += vm
        unanswering -= vm
        val endsItemWait = itemsAllowedAt?.let { it > now } == true && hasAllReported()
        if (endsItemWait) itemsAllowedAt = now
        val hasRequeued =
            jobs.requeueUnreported(vm, numbers, unstoredResults.toSet(), heldSlots.keys, now - MAX_REPORT_DELAY, now)
        return if (missing.isEmpty() && !hasRequeued && !endsItemWait) emptyList() else schedule(now)
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
        val lost = heldSlots.keys.filter { it.vm == vm }
        if (hasEnded) {
            lost.forEach { releaseSlot(it) }
            servers.all.forEach { it.dropOrphans(vm) }
        } else {
            lost.forEach { orphanRun(it, now) }
        }
        queuedRequests.removeAll { it.call.vm == vm }
        jobs.onVmLost(vm, hasEnded, now)
        reported -= vm
        unanswering -= vm
        return schedule(now)
    }

    /** Refuses requests whose wait has expired and schedules queued work. */
    public fun tick(now: MonotonicTime): List<DispatchAction> {
        val expired = queuedRequests.filter { now >= it.queueDeadline }
        queuedRequests.removeAll(expired.toSet())
        val refusals = expired.map { refuse(it, ErrorKind.NO_CAPACITY, expectedWait(it.service, now)) }
        val expiredItems = jobs.expiredItems(now).map { DispatchAction.GiveUpItem(it, "kept_too_long") }
        earlyReleases.values.removeAll { now - it > EARLY_RELEASE_RETENTION }
        servers.all.forEach { it.expireOrphans(now) }
        return refusals + expiredItems + schedule(now)
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
        if (servers.isTooLarge(request.service, demandOf(request, now))) {
            return DispatchAction.Refuse(request.call, ErrorKind.PROMPT_REFUSED, Duration.ZERO)
        }
        if (servers.slots(request.service, request.excluded) == 0) {
            return DispatchAction.Refuse(request.call, ErrorKind.NO_CAPACITY, NO_SERVER_RETRY_AFTER)
        }
        val wait = expectedWait(request.service, now)
        if (now + wait >= request.queueDeadline) return DispatchAction.Refuse(request.call, ErrorKind.NO_CAPACITY, wait)
        return null
    }

    private fun refuse(
        request: PlaceRequest,
        kind: ErrorKind,
        retryAfter: Duration,
    ): DispatchAction {
        request.meteredWorkspace?.let { rates.refund(it) }
        return DispatchAction.Refuse(request.call, kind, retryAfter)
    }

    /** Estimates how long a new request would wait for a slot. */
    private fun expectedWait(
        service: ServiceId,
        now: MonotonicTime,
    ): Duration {
        val slots = servers.slots(service)
        if (slots == 0) return NO_SERVER_RETRY_AFTER
        val ahead = queuedRequests.count { it.service == service && !isolation.mustWait(it.parts, now) }
        if (ahead == 0) return Duration.ZERO
        val runs = meanRunMillis[service] ?: DEFAULT_RUN_TIME.toDouble(DurationUnit.MILLISECONDS)
        return (ahead * runs / slots).milliseconds
    }

    private fun schedule(now: MonotonicTime): List<DispatchAction> {
        val actions = ArrayList<DispatchAction>()
        val services = queuedRequests.mapTo(LinkedHashSet()) { it.service }
        for (service in services) placeOnline(service, now, actions)
        startItems(now, actions)
        return actions
    }

    private fun placeOnline(
        service: ServiceId,
        now: MonotonicTime,
        actions: MutableList<DispatchAction>,
    ) {
        // Requests that can still meet their latency target go first, then by priority and arrival.
        val order =
            queuedRequests
                .filter { it.service == service }
                .sortedWith(compareBy({ now > it.latestStart }, { it.priority }))
        for (request in order) {
            val demand = demandOf(request, now)
            val load =
                when (suspects.judge(request.parts, now)) {
                    is PromptVerdict.Clear -> {
                        servers.choose(service, request.excluded, now, isolation.servers(now), demand)
                            ?: preemptItem(request, now, actions)
                    }

                    is PromptVerdict.Suspected -> {
                        if (isolation.mustWait(request.parts, now)) continue
                        servers.chooseIdlest(service, request.excluded + isolation.servers(now), now, demand)
                    }

                    is PromptVerdict.Condemned -> {
                        queuedRequests.remove(request)
                        actions += refuse(request, ErrorKind.PROMPT_REFUSED, Duration.ZERO)
                        null
                    }
                } ?: continue
            queuedRequests.remove(request)
            isolation.onStarted(request.call, load.id, request.parts)
            occupySlot(request.call, load, isItem = false, now, demand)
            actions += DispatchAction.Place(request.call, load.id)
        }
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
        val candidates =
            servers
                .forService(request.service)
                .filter { it.id !in request.excluded && servers.acceptsWork(it, now) }
                .flatMap { load -> load.stoppableItems().map { load to it } }
                .filter { (load, call) -> servers.fitsWithout(call, load, demand) }
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
        val spareSlots = HashMap<ServiceId, Int>()
        for (load in servers.all) spareSlots.merge(load.server.entry.service, maxOf(0, load.free), Int::plus)
        for (service in spareSlots.keys.toList()) spareSlots.computeIfPresent(service) { _, n -> n - headroom(service) }
        queuedRequests.filter { !isolation.mustWait(it.parts, now) }.forEach { spareSlots[it.service] = 0 }
        if (spareSlots.values.all { it <= 0 }) return
        val ready = jobs.pendingItems(now).filter { (_, plan) -> isCurrentFor(plan) }
        for ((ref, plan) in ready.take(MAX_ITEMS_PER_PASS)) {
            val service = route(ref, plan)?.chooseService(ref.item.hashCode())
            if (service == null) {
                actions += DispatchAction.GiveUpItem(ref, "route_dropped")
                continue
            }
            if ((spareSlots[service] ?: 0) <= 0) continue
            val demand = PlacementDemand(origin = jobs.bodyHolder(ref)?.let { vmDomains[it] })
            val load = servers.choose(service, emptySet(), now, isolation.servers(now), demand) ?: continue
            val call = CallId(chooseVm(ref, vms, load.server.entry.failureDomain), nextNumber++)
            spareSlots.merge(service, -1, Int::plus)
            occupySlot(call, load, isItem = true, now)
            jobs.onStarted(ref, call, now)
            actions += DispatchAction.StartItem(call, ref, load.id)
        }
    }

    /** Returns the number of slots kept free of items, so that the next online requests need no preemption. */
    private fun headroom(service: ServiceId): Int = ceil(servers.slots(service) * HEADROOM_FRACTION).toInt()

    /**
     * Returns the VM among [vms] that runs an item, one of [VMS_PER_JOB] for each job.
     *
     * Spreading a job limits how many of its runs are interrupted, with their slots still occupied, when a VM is lost.
     * The number of VMs is small because each of them reads the job's bodies. VMs in the [domain] of the item's server
     * are preferred.
     */
    private fun chooseVm(
        ref: ItemRef,
        vms: List<VmId>,
        domain: FailureDomainId,
    ): VmId {
        val near = if (vmDomains.isEmpty()) vms else vms.filter { vmDomains[it] == domain }.ifEmpty { vms }
        val holder = jobs.bodyHolder(ref)?.takeIf { it in near }
        val others = (near - setOfNotNull(holder)).sortedByDescending { rendezvousRank(ref.job.value, it.value) }
        val candidates = (listOfNotNull(holder) + others).take(VMS_PER_JOB)
        return candidates[jobs.position(ref) % candidates.size]
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
        demand: PlacementDemand = PlacementDemand.UNKNOWN,
    ) {
        heldSlots[call] = HeldSlot(load.id, now)
        load.onStarted(call, isItem, now, demand)
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
        isolation.onStarted(call, running.server, running.parts)
        if (running.hasBegun) isolation.onBegun(call, now)
        // The job may have been loaded after the run was first reported.
        running.item?.let { jobs.onReported(it, call, now) }
        servers.find(running.server)?.let {
            it.onRunReport(running, call, now)
            it.onTokens(call, running.tokens)
        }
    }

    private fun stopItem(
        call: CallId,
        reason: String,
    ): DispatchAction {
        heldSlots[call]?.let { servers.find(it.server) }?.markStopping(call)
        return DispatchAction.StopItem(call, reason)
    }

    /** Keeps the slot of an unresponsive VM's run occupied until the run is expected to have ended. */
    private fun orphanRun(
        call: CallId,
        now: MonotonicTime,
    ) {
        isolation.onAbandoned(call)
        val held = heldSlots.remove(call) ?: return
        val load = servers.find(held.server) ?: return
        val isItem = jobs.itemOf(call) != null
        val end = if (isItem) now + jobs.remainingTime(call, now) else held.since + typicalRunTime(load)
        if (end > now) load.orphan(call, end) else load.remove(call)
    }

    private fun typicalRunTime(load: ServerLoad): Duration =
        meanRunMillis[load.server.entry.service]?.milliseconds ?: DEFAULT_RUN_TIME

    private fun releaseSlot(call: CallId) {
        isolation.onAbandoned(call)
        heldSlots.remove(call)?.let { servers.find(it.server) }?.remove(call)
    }

    private fun recordRunTime(
        service: ServiceId,
        runTime: Duration,
    ) {
        val millis = runTime.toDouble(DurationUnit.MILLISECONDS)
        meanRunMillis.merge(service, millis) { old, new -> old + RUN_SMOOTHING * (new - old) }
    }

    private companion object {
        const val DEFAULT_ITEM_ATTEMPTS = 3
        const val MAX_ITEMS_PER_PASS = 256
        const val HEADROOM_FRACTION = 0.04

        // Each VM of a job reads its bodies of about 200 kB; the loss of one of 11 VMs must not interrupt whole jobs.
        const val VMS_PER_JOB = 3
        const val RUN_SMOOTHING = 0.1

        /** The assumed duration of a run before the first one completes. */
        val DEFAULT_RUN_TIME = 700.milliseconds
        val NO_SERVER_RETRY_AFTER = 1.seconds

        // VMs set the latest start of a request this long before its first event is due.
        val FIRST_EVENT_RESERVE = 150.milliseconds

        /** The age from which a run missing from its VM's report counts as ended. */
        val MAX_REPORT_DELAY = 700.milliseconds
        val EARLY_RELEASE_RETENTION = 10.seconds
    }
}
