package org.agatestream.core

import kotlin.math.ceil
import kotlin.random.Random
import kotlin.time.Duration
import kotlin.time.Duration.Companion.milliseconds
import kotlin.time.Duration.Companion.seconds
import kotlin.time.DurationUnit

/**
 * The decisions of a coordinator: which request or item runs at which backend server, and which is refused.
 *
 * Online requests go before items; an item that runs makes way for an online request that would be late otherwise.
 * Rates of workspaces and of cold servers count over all VMs: VMs that do not follow this coordinator may each use
 * their part of a rate by themselves, so only the followers' part is given out here. Not thread-safe.
 */
public class Dispatcher(
    /** The number of the first item that this coordinator starts; above those of earlier coordinators. */
    private var nextNumber: Long,
    /** Spreads requests over servers that are equally good, so that VMs that choose apart choose differently. */
    random: Random = Random.Default,
) {
    private val servers = ServerPool(random)
    private val online = ArrayList<PlaceRequest>()
    private val rates = WorkspaceRates()
    private val calls = HashMap<CallId, Hold>()
    private val released = LinkedHashMap<CallId, MonotonicTime>()
    private val jobs = JobBook()
    private val runMillis = HashMap<ServiceId, Double>()
    private var manifest: Manifest? = null
    private var followers: List<VmId> = emptyList()
    private var expectedFollowers = 0
    private val reported = HashSet<VmId>()
    private var itemsFrom: MonotonicTime? = null

    /** A slot that a run holds. */
    private class Hold(
        val server: BackendServerId,
        val since: MonotonicTime,
    )

    /** The number of requests that wait for a slot. */
    public val waitingRequests: Int get() = online.size

    /** The number of runs that hold a slot. */
    public val runningCalls: Int get() = calls.size

    /** The number of slots that runs of silent VMs hold. */
    public val orphanedRuns: Int get() = servers.all.sumOf { it.orphaned }

    /** The number of jobs with items that are not done. */
    public val openJobs: Int get() = jobs.openJobs

    /** The servers that get less than their slots, and why. */
    public val doubted: Map<BackendServerId, ServerDoubt>
        get() = servers.all.mapNotNull { load -> load.doubt?.let { load.id to it } }.toMap()

    /** Applies a version of the manifest. */
    public fun onManifest(manifest: Manifest) {
        this.manifest = manifest
        servers.onManifest(manifest)
        rates.onManifest(manifest)
    }

    /** Applies the servers that may get work. */
    public fun onServers(
        usable: Collection<UsableServer>,
        now: MonotonicTime,
    ): List<DispatchAction> {
        servers.onUsable(usable)
        return fill(now)
    }

    /**
     * Applies who follows this coordinator.
     *
     * [expected] is the number of VMs that may serve callers; [followers] are those of them that ask here.
     * [spareBurst] is what each workspace may use at once beyond their part of its burst.
     */
    public fun onFollowers(
        followers: List<VmId>,
        expected: Int,
        spareBurst: Double = 0.0,
    ) {
        this.followers = followers
        expectedFollowers = expected
        val share = if (expected <= 0) 1.0 else minOf(1.0, followers.size.toDouble() / expected)
        rates.onShare(share, spareBurst)
        servers.onShare(share)
    }

    /** Allows items to start from [at] on, or once every VM has reported; until then running ones may be unknown. */
    public fun allowItems(at: MonotonicTime) {
        itemsFrom = at
    }

    /** Starts no more items. */
    public fun pauseItems() {
        itemsFrom = null
    }

    /** Asks for a slot; the actions hold no decision on the request if it waits. */
    public fun place(
        request: PlaceRequest,
        now: MonotonicTime,
    ): List<DispatchAction> {
        if (released.remove(request.call) != null) return emptyList()
        refusal(request, now)?.let { return listOf(it) }
        request.metered?.let { rates.take(it) }
        online += request
        return fill(now)
    }

    /** Applies the end of a run or of a wait. */
    public fun release(
        call: CallId,
        outcome: RunOutcome,
        firstEvent: Duration?,
        now: MonotonicTime,
    ): List<DispatchAction> {
        if (online.removeAll { it.call == call }) return fill(now)
        jobs.onReleased(call, now)
        val held = calls.remove(call)
        if (held == null) {
            released[call] = now
            return emptyList()
        }
        val load = servers.find(held.server) ?: return fill(now)
        val wasSilent = load.isSilent(call)
        load.remove(call)
        load.record(outcome, firstEvent, now, wasSilent)
        if (outcome == RunOutcome.ANSWERED && jobs.itemOf(call) == null) {
            recordRun(load.server.entry.service, now - held.since)
        }
        return fill(now)
    }

    /** Applies what became of an item's run; a release of its slot is told apart. */
    public fun onItem(
        ref: ItemRef,
        call: CallId,
        outcome: ItemOutcome,
        now: MonotonicTime,
    ): List<DispatchAction> {
        val failures = jobs.onOutcome(ref, call, outcome, now)
        val attempts = route(ref)?.maxAttempts ?: DEFAULT_ITEM_ATTEMPTS
        if (outcome == ItemOutcome.FAILED && failures >= attempts) {
            return listOf(DispatchAction.GiveUpItem(ref, "failed_attempts")) + fill(now)
        }
        return fill(now)
    }

    /** Notes that the result of [ref] is in the store. */
    public fun onListed(ref: ItemRef) {
        jobs.setDone(ref)
    }

    /** Adds an open job; items in [done] are in the store already. */
    public fun onJob(
        plan: JobPlan,
        done: Set<ItemId>,
        now: MonotonicTime,
    ): List<DispatchAction> {
        jobs.add(plan, done, now)
        return fill(now)
    }

    /** Drops a job that its caller ended. */
    public fun onJobEnded(
        id: JobId,
        now: MonotonicTime,
    ): List<DispatchAction> {
        val stops = jobs.end(id).map { stop(it, "job_ended") }
        return stops + fill(now)
    }

    /** Applies the runs that [vm] says it carries, and the items whose results it has yet to list. */
    public fun onReport(
        vm: VmId,
        running: List<RunningCall>,
        unlisted: List<ItemRef>,
        now: MonotonicTime,
    ): List<DispatchAction> {
        servers.all.forEach { it.dropOrphans(vm) }
        val numbers = running.mapTo(HashSet()) { it.number }
        val stale =
            calls
                .filter { (call, held) -> call.vm == vm && call.number !in numbers && now - held.since > REPORT_LAG }
                .keys
        for (call in stale) {
            jobs.itemOf(call)?.let { jobs.onOutcome(it, call, ItemOutcome.INTERRUPTED, now) }
            drop(call)
        }
        running.forEach { adopt(vm, it, now) }
        unlisted.forEach { jobs.onUnlisted(it, vm, now) }
        reported += vm
        val mayStartSooner = itemsFrom?.let { it > now } == true && hasAllReported()
        if (mayStartSooner) itemsFrom = now
        val isAnyLeft = jobs.onUnreported(vm, numbers, unlisted.toSet(), calls.keys, now - REPORT_LAG, now)
        return if (stale.isEmpty() && !isAnyLeft && !mayStartSooner) emptyList() else fill(now)
    }

    /**
     * Forgets what a VM does that does not follow any more.
     *
     * If its process has ended ([hasEnded]), servers drop its runs. Else, as after a cut or a loss of power, servers
     * still see open connections and go on, so the slots stay taken for as long as the runs probably take.
     */
    public fun onVmLost(
        vm: VmId,
        hasEnded: Boolean,
        now: MonotonicTime,
    ): List<DispatchAction> {
        val left = calls.keys.filter { it.vm == vm }
        if (hasEnded) {
            left.forEach { drop(it) }
            servers.all.forEach { it.dropOrphans(vm) }
        } else {
            left.forEach { orphan(it, now) }
        }
        online.removeAll { it.call.vm == vm }
        jobs.onVmLost(vm, now)
        reported -= vm
        return fill(now)
    }

    /** Refuses requests that waited too long and starts what may start now. */
    public fun tick(now: MonotonicTime): List<DispatchAction> {
        val over = online.filter { now >= it.giveUpAt }
        online.removeAll(over.toSet())
        val refusals = over.map { refuse(it, ErrorKind.NO_CAPACITY, expectedWait(it.service)) }
        val overdue = jobs.overdue(now).map { DispatchAction.GiveUpItem(it, "kept_too_long") }
        released.values.removeAll { now - it > RELEASE_MEMORY }
        servers.all.forEach { it.expireOrphans(now) }
        return refusals + overdue + fill(now)
    }

    private fun hasAllReported(): Boolean = followers.size >= expectedFollowers && reported.containsAll(followers)

    private fun refusal(
        request: PlaceRequest,
        now: MonotonicTime,
    ): DispatchAction? {
        request.metered?.let { rates.waitForToken(it, now) }?.let { wait ->
            return DispatchAction.Refuse(request.call, ErrorKind.RATE_EXCEEDED, wait)
        }
        if (servers.slots(request.service) == 0) {
            return DispatchAction.Refuse(request.call, ErrorKind.NO_CAPACITY, NO_SERVER_RETRY)
        }
        val wait = expectedWait(request.service)
        if (now + wait >= request.giveUpAt) return DispatchAction.Refuse(request.call, ErrorKind.NO_CAPACITY, wait)
        return null
    }

    private fun refuse(
        request: PlaceRequest,
        kind: ErrorKind,
        retryAfter: Duration,
    ): DispatchAction {
        request.metered?.let { rates.giveBack(it) }
        return DispatchAction.Refuse(request.call, kind, retryAfter)
    }

    /** Estimates how long a request that comes now would wait for a slot. */
    private fun expectedWait(service: ServiceId): Duration {
        val slots = servers.slots(service)
        if (slots == 0) return NO_SERVER_RETRY
        val ahead = online.count { it.service == service }
        if (ahead == 0) return Duration.ZERO
        val runs = runMillis[service] ?: ASSUMED_RUN.toDouble(DurationUnit.MILLISECONDS)
        return (ahead * runs / slots).milliseconds
    }

    private fun fill(now: MonotonicTime): List<DispatchAction> {
        val actions = ArrayList<DispatchAction>()
        val services = online.mapTo(LinkedHashSet()) { it.service }
        for (service in services) placeOnline(service, now, actions)
        startItems(now, actions)
        return actions
    }

    private fun placeOnline(
        service: ServiceId,
        now: MonotonicTime,
        actions: MutableList<DispatchAction>,
    ) {
        // A request that can still be on time goes before one that can't; then rank and arrival decide.
        val order =
            online
                .filter { it.service == service }
                .sortedWith(compareBy({ now > it.onTimeBy }, { it.priority }))
        for (request in order) {
            val load = servers.choose(service, request.excluded, now) ?: makeRoom(request, now, actions) ?: continue
            online.remove(request)
            hold(request.call, load, isItem = false, now)
            actions += DispatchAction.Place(request.call, load.id)
        }
    }

    /**
     * Stops an item, so that [request] may take its slot: one that is late anyway, or else the one that has the most
     * left, and of these the one due last.
     */
    private fun makeRoom(
        request: PlaceRequest,
        now: MonotonicTime,
        actions: MutableList<DispatchAction>,
    ): ServerLoad? {
        val candidates =
            servers
                .of(request.service)
                .filter { it.id !in request.excluded && !it.isSilent() }
                .flatMap { load -> load.stoppableItems().map { load to it } }
        val order =
            compareBy<Pair<ServerLoad, CallId>>(
                { (_, call) -> !jobs.canBeOnTime(call, now) },
                { (_, call) -> jobs.stepsLeft(call, now) },
                { (_, call) -> jobs.dueAt(call) ?: now },
            )
        val (load, call) = candidates.maxWithOrNull(order) ?: return null
        load.stop(call)
        if (!servers.mayStart(load, now)) return null
        actions += stop(call, "online_request")
        return load
    }

    private fun startItems(
        now: MonotonicTime,
        actions: MutableList<DispatchAction>,
    ) {
        val from = itemsFrom ?: return
        if (now < from || followers.isEmpty()) return
        val spare = HashMap<ServiceId, Int>()
        for (load in servers.all) spare.merge(load.server.entry.service, maxOf(0, load.free), Int::plus)
        for (service in spare.keys.toList()) spare.computeIfPresent(service) { _, n -> n - headroom(service) }
        online.forEach { spare[it.service] = 0 }
        if (spare.values.all { it <= 0 }) return
        for ((ref, plan) in jobs.waiting(now).take(MAX_ITEMS_LOOKED_AT)) {
            val service = serviceOf(ref, plan)
            if (service == null) {
                if (manifest != null) actions += DispatchAction.GiveUpItem(ref, "route_dropped")
                continue
            }
            if ((spare[service] ?: 0) <= 0) continue
            val load = servers.choose(service, emptySet(), now) ?: continue
            val call = CallId(homeOf(ref), nextNumber++)
            spare.merge(service, -1, Int::plus)
            hold(call, load, isItem = true, now)
            jobs.onStarted(ref, call, now)
            actions += DispatchAction.StartItem(call, ref, load.id)
        }
    }

    /** Slots that items leave free, so that the next online requests need not stop one. */
    private fun headroom(service: ServiceId): Int = ceil(servers.slots(service) * HEADROOM_SHARE).toInt()

    /**
     * Returns the VM that runs an item: one of a few for each job, as each of them reads the job's bodies.
     *
     * The loss of a VM then costs few of a job's runs, while their slots stay taken for a while.
     */
    private fun homeOf(ref: ItemRef): VmId {
        val holder = jobs.home(ref)?.takeIf { it in followers }
        val others = (followers - setOfNotNull(holder)).sortedByDescending { rendezvousRank(ref.job.value, it.value) }
        val homes = (listOfNotNull(holder) + others).take(HOMES_PER_JOB)
        return homes[jobs.position(ref) % homes.size]
    }

    private fun serviceOf(
        ref: ItemRef,
        plan: JobPlan,
    ): ServiceId? = manifest?.route(plan.host, jobs.path(ref) ?: return null)?.chooseService(ref.item.hashCode())

    private fun route(ref: ItemRef): ManifestRoute? {
        val host = jobs.host(ref) ?: return null
        return manifest?.route(host, jobs.path(ref) ?: return null)
    }

    private fun hold(
        call: CallId,
        load: ServerLoad,
        isItem: Boolean,
        now: MonotonicTime,
    ) {
        calls[call] = Hold(load.id, now)
        load.started(call, isItem, now)
    }

    private fun adopt(
        vm: VmId,
        running: RunningCall,
        now: MonotonicTime,
    ) {
        val call = CallId(vm, running.number)
        if (call in released) return
        // A VM that had no answer in time chose by itself, perhaps another server than the one given here.
        if (calls[call]?.server != running.server) {
            drop(call)
            val load = servers.find(running.server) ?: return
            hold(call, load, running.item != null, now)
        }
        // The job may have been read after the run was first reported.
        running.item?.let { jobs.onReported(it, call, now) }
        servers.find(running.server)?.noteEvents(running, call, now)
    }

    private fun stop(
        call: CallId,
        reason: String,
    ): DispatchAction {
        calls[call]?.let { servers.find(it.server) }?.stop(call)
        return DispatchAction.StopItem(call, reason)
    }

    /** Leaves the slot of a silent VM's run taken until it has probably ended. */
    private fun orphan(
        call: CallId,
        now: MonotonicTime,
    ) {
        val held = calls.remove(call) ?: return
        val load = servers.find(held.server) ?: return
        val end = if (jobs.itemOf(call) != null) now + jobs.left(call, now) else held.since + usualRun(load)
        if (end > now) load.orphan(call, end) else load.remove(call)
    }

    private fun usualRun(load: ServerLoad): Duration = runMillis[load.server.entry.service]?.milliseconds ?: ASSUMED_RUN

    private fun drop(call: CallId) {
        calls.remove(call)?.let { servers.find(it.server) }?.remove(call)
    }

    private fun recordRun(
        service: ServiceId,
        span: Duration,
    ) {
        val millis = span.toDouble(DurationUnit.MILLISECONDS)
        runMillis.merge(service, millis) { old, new -> old + RUN_SMOOTHING * (new - old) }
    }

    private companion object {
        const val DEFAULT_ITEM_ATTEMPTS = 3
        const val MAX_ITEMS_LOOKED_AT = 256
        const val HEADROOM_SHARE = 0.04

        // Each VM of a job reads its bodies of some 200 kB; the loss of one of eleven VMs should not cost whole jobs.
        const val HOMES_PER_JOB = 3
        const val RUN_SMOOTHING = 0.1

        /** The time that a run is taken for before one has been seen. */
        val ASSUMED_RUN = 700.milliseconds
        val NO_SERVER_RETRY = 1.seconds

        /** How old a run must be before its absence from a VM's report means that it ended. */
        val REPORT_LAG = 700.milliseconds
        val RELEASE_MEMORY = 10.seconds
    }
}
