package org.agatestream.server

import kotlinx.coroutines.CompletableDeferred
import kotlinx.coroutines.CoroutineScope
import kotlinx.coroutines.Job
import kotlinx.coroutines.cancelAndJoin
import kotlinx.coroutines.delay
import kotlinx.coroutines.isActive
import kotlinx.coroutines.launch
import org.agatestream.core.BackendServerId
import org.agatestream.core.CallId
import org.agatestream.core.ClockReading
import org.agatestream.core.CoordinatorTerm
import org.agatestream.core.DispatchAction
import org.agatestream.core.Dispatcher
import org.agatestream.core.ItemId
import org.agatestream.core.ItemOutcome
import org.agatestream.core.ItemRef
import org.agatestream.core.JobPlan
import org.agatestream.core.JobRef
import org.agatestream.core.MonotonicTime
import org.agatestream.core.PauseDetector
import org.agatestream.core.PlaceRequest
import org.agatestream.core.RunOutcome
import org.agatestream.core.SchedulingPolicy
import org.agatestream.core.ServerSuspicion
import org.agatestream.core.VmId
import org.agatestream.core.placement.DomainFlow
import org.agatestream.core.rollout.Rollout
import org.agatestream.core.rollout.RolloutSituation
import org.agatestream.core.rollout.Rollouts
import kotlin.time.Duration
import kotlin.time.Duration.Companion.milliseconds
import kotlin.time.Duration.Companion.seconds

/** How long a coordinator waits for a VM's next report before it gives the VM up. */
internal val FOLLOWER_TIMEOUT: Duration = 1.seconds

/** Coordinates the fleet: feeds VM reports into a [Dispatcher] and sends its decisions to the VMs. */
internal class CoordinatorRole(
    private val self: VmId,
    private val term: CoordinatorTerm,
    private val network: PeerTransport,
    private val view: PlatformView,
    private val parts: PromptPartWatch,
    private val scope: CoroutineScope,
    private val runItem: (RunItemRequest) -> Unit,
    private val stopItem: (StopItemRequest) -> Unit,
    private val giveUpItem: (ItemRef) -> Unit,
    private val onDecision: (DecisionNotice) -> Unit,
    private val markSilent: suspend (String) -> Unit,
    private val unlist: suspend (String) -> Unit,
    private val listedVms: () -> Int,
    private val isLeaving: () -> Boolean,
    /** Starts a check that this VM still coordinates and knows every job; if so, [onConfirmed] gets the same number. */
    private val confirm: (Int) -> Unit,
    private val leaving: LeavingServerWatch = LeavingServerWatch(view),
    policy: SchedulingPolicy = SchedulingPolicy(),
    /** Counts runs that were sent to another failure domain. */
    private val onDomainFlow: (DomainFlow, Int) -> Unit = { _, _ -> },
) {
    /** The roll-outs that this VM carries out. */
    val rollouts = Rollouts(view.versions, writer = self.value)

    private class Follower(
        var vm: LiveVm,
        var lastHeardAt: MonotonicTime,
        var isLeaving: Boolean,
        var isStoreReachable: Boolean,
    )

    /** A former follower that stopped reporting. */
    private class SilentVm(
        val vm: VmId,
        val since: MonotonicTime,
    )

    val dispatcher =
        Dispatcher(
            nextNumber = term.firstRunNumber,
            suspects = parts.suspects,
            policy = policy,
            gate = rollouts,
        )
    private val followers = LinkedHashMap<VmId, Follower>()
    private val silentVms = HashMap<String, SilentVm>()
    private val markedSilent = HashSet<String>()
    private val pendingPlacements = HashMap<CallId, CompletableDeferred<PlaceDecision>>()

    // Lets an interrupted item resume on whichever VM runs it next.
    private val partialOutputs = PartialOutputs()
    private var tickLoop: Job? = null
    private var refresh: Job? = null
    private var isStopped = false
    private val pauses = PauseDetector(MAX_PAUSE)

    // The number of the last check; the result of an earlier one does not count.
    private var confirmations = 0
    private var isConfirmed = true

    /** True while this VM is leaving or does not reach the store, and a follower that reaches it can take over. */
    var isResigning = false
        private set

    private var suspects: Map<BackendServerId, ServerSuspicion> = emptyMap()
    private var limitedServers: Set<BackendServerId> = emptySet()
    private var liveVms: List<LiveVm> = emptyList()
    private var liveVersion = 0L

    fun start(now: MonotonicTime) {
        view.manifest?.let { dispatcher.onManifest(it) }
        rollouts.onServers(view.registry.all()) { view.registry.usable(it.id) != null }
        execute(dispatcher.onServers(view.registry.usable(), now))
        dispatcher.allowItems(now + TAKEOVER_WAIT)
        tickLoop =
            scope.launch {
                while (isActive) {
                    delay(TICK_INTERVAL)
                    tick(MonotonicTime.now())
                }
            }
    }

    /** Ends this VM's term; messages in flight have no further effect. */
    suspend fun stop() {
        isStopped = true
        tickLoop?.cancelAndJoin()
        pendingPlacements.values.forEach { it.cancel() }
    }

    /** Places items again once the check [number] has passed, unless a later one was started. */
    fun onConfirmed(
        number: Int,
        now: MonotonicTime,
    ) {
        if (isStopped || isConfirmed) return
        if (number != confirmations) {
            EventLog.info("confirmation_outdated", "vm" to self, "check" to number, "newest" to confirmations)
            return
        }
        isConfirmed = true
        EventLog.info("coordinator_confirmed", "vm" to self, "term" to term)
        if (!isResigning) dispatcher.allowItems(now + TAKEOVER_WAIT)
    }

    /** Suspends items if this process was paused: another VM may coordinate, and jobs may have ended meanwhile. */
    private fun noticePause(now: MonotonicTime) {
        val pause = pauses.onRunning(ClockReading(now, System.currentTimeMillis())) ?: return
        requireConfirmation("paused", pause)
    }

    private fun requireConfirmation(
        reason: String,
        pause: Duration? = null,
    ) {
        val isAwaited = !isConfirmed && pause == null
        if (isStopped || isAwaited) return
        EventLog.warn("coordinator_unconfirmed", "vm" to self, "term" to term, "reason" to reason, "for" to pause)
        isConfirmed = false
        dispatcher.pauseItems()
        confirm(++confirmations)
    }

    fun onViewChanged(now: MonotonicTime) {
        noticePause(now)
        view.manifest?.let { dispatcher.onManifest(it) }
        rollouts.onServers(view.registry.all()) { view.registry.usable(it.id) != null }
        execute(dispatcher.onServers(view.registry.usable(), now))
    }

    /** Returns what this VM knows of the servers of a roll-out. */
    fun situationOf(rollout: Rollout): RolloutSituation =
        RolloutSituation(
            oldRuns = dispatcher.runsAt(rollout.oldServers),
            demand = dispatcher.demand(rollout.order.service),
            isComplete = dispatcher.isFullyReported,
        )

    /** Stops the items at the old servers of a roll-out; they resume at other servers. */
    fun stopItemsAt(servers: Set<BackendServerId>) {
        execute(dispatcher.stopItemsAt(servers, "rollout"))
    }

    fun onJob(
        plan: JobPlan,
        done: Set<ItemId>,
        now: MonotonicTime,
    ) {
        noticePause(now)
        partialOutputs.onJob(plan.ref, plan.items.map { it.id } - done)
        val known = view.manifest?.version ?: 0
        if (known < plan.manifestVersion) {
            EventLog.info("job_held", "job" to plan.ref, "accepted_under" to plan.manifestVersion, "manifest" to known)
        }
        execute(dispatcher.onJob(plan, done, now))
    }

    fun onJobEnded(
        job: JobRef,
        now: MonotonicTime,
    ) {
        partialOutputs.onJobEnded(job)
        val actions = dispatcher.onJobEnded(job, now)
        val stops = actions.count { it is DispatchAction.StopItem }
        if (stops > 0) EventLog.info("job_stopped", "job" to job, "runs" to stops)
        execute(actions)
    }

    suspend fun place(
        from: VmId,
        request: PlaceSlotRequest,
        now: MonotonicTime,
    ): PlaceDecision {
        noticePause(now)
        parts.merge(request.facts, now)
        val call = CallId(from, request.number)
        val immediate = CompletableDeferred<PlaceDecision>()
        pendingPlacements[call] = immediate
        val placeRequest =
            PlaceRequest(
                call = call,
                service = request.service,
                meteredWorkspace = request.meteredWorkspace,
                priority = request.priority,
                latestStart = now + request.onTimeMillis.milliseconds,
                queueDeadline = now + request.giveUpMillis.milliseconds,
                excluded = request.excluded,
                parts = request.parts,
                workspace = request.workspace ?: request.meteredWorkspace,
                origin = request.origin,
                prompt = request.prompt,
                route = request.route,
            )
        execute(dispatcher.place(placeRequest, now))
        pendingPlacements.remove(call)
        return if (immediate.isCompleted) immediate.await() else PlaceDecision.Queued
    }

    fun release(
        from: VmId,
        request: ReleaseSlotRequest,
        now: MonotonicTime,
    ) {
        noticePause(now)
        parts.merge(request.facts, now)
        val call = CallId(from, request.number)
        val firstEvent = request.firstEventMillis?.milliseconds
        execute(dispatcher.release(call, request.outcome, firstEvent, now, request.detail))
    }

    fun onItemReport(
        from: VmId,
        report: ItemReport,
        now: MonotonicTime,
    ) {
        noticePause(now)
        if (report.outcome == ItemOutcome.LISTED) {
            partialOutputs.onListed(report.item)
        }
        val hasNewOutput = report.partial?.let { partialOutputs.offer(report.item, it) } == true
        execute(dispatcher.onItem(report.item, CallId(from, report.number), report.outcome, now, hasNewOutput))
    }

    fun onStatusReport(
        from: VmId,
        report: StatusReport,
        now: MonotonicTime,
    ): StatusResponse {
        noticePause(now)
        val vm = LiveVm(from, report.name, report.caller, report.peer, report.domain)
        val follower = followers[from]
        if (follower == null) {
            followers.values
                .filter { it.vm.name == report.name }
                .map { it.vm.id }
                .forEach { removeFollower(it, "restarted", hasEnded = true, now) }
            silentVms[report.name]?.takeIf { it.vm != from }?.let {
                execute(dispatcher.onVmLost(it.vm, hasEnded = true, now))
            }
            followers[from] = Follower(vm, now, report.isLeaving, report.isStoreReachable)
            silentVms -= report.name
            EventLog.info("follower_joined", "vm" to from)
        } else {
            follower.lastHeardAt = now
            follower.isLeaving = report.isLeaving
            follower.isStoreReachable = report.isStoreReachable
        }
        updateFollowers()
        if (report.operatorVersion > view.operatorVersion) refreshManifest()
        dispatcher.onServerLoads(report.loads, now)
        dispatcher.onServerLimits(report.limits, now)
        execute(dispatcher.onReport(from, report.running, report.unlisted, now))
        val snapshot =
            if (report.isStoreReachable) null else view.snapshotSince(report.operatorVersion, report.serverVersion)
        val list = liveVms.takeIf { report.liveVersion != liveVersion }
        return StatusResponse(
            live = list,
            liveVersion = liveVersion,
            isResigning = isResigning,
            snapshot = snapshot,
            parts = parts.answer(report.parts, now),
            leaving = leaving.answer(report.leaving, now),
            rollouts = rolloutNotices(),
        )
    }

    private fun rolloutNotices(): List<RolloutNotice> =
        view.versions.knownStatuses.map { (service, status) -> RolloutNotice(service, status.target, status.outcome) }

    /** Catches up with a VM that has newer rows: the feed of this VM may be silent. */
    private fun refreshManifest() {
        if (refresh?.isActive == true) return
        refresh = scope.launch { view.refreshOperatorRows() }
    }

    private fun tick(now: MonotonicTime) {
        noticePause(now)
        val lost = followers.values.filter { it.vm.id != self && now - it.lastHeardAt > FOLLOWER_TIMEOUT }
        for (follower in lost) {
            removeFollower(follower.vm.id, "silent", hasEnded = false, now)
            silentVms[follower.vm.name] = SilentVm(follower.vm.id, now)
        }
        val toUnlist = silentVms.filterValues { now - it.since > UNLIST_AFTER }.keys.toList()
        val toMark = silentVms.filterValues { now - it.since > MARK_SILENT_AFTER }.keys - markedSilent
        markedSilent += toMark
        markedSilent.retainAll(silentVms.keys)
        toMark.forEach { name -> scope.launch { markSilent(name) } }
        for (name in toUnlist) {
            silentVms -= name
            scope.launch { unlist(name) }
        }
        val others = followers.values.filter { it.vm.id != self }
        setResigning((isLeaving() || !view.isStoreReachable(now)) && others.any { it.isStoreReachable }, now)
        execute(dispatcher.tick(now))
        logSuspects()
        logLimits(now)
        reportDomains()
    }

    private fun reportDomains() {
        for (change in dispatcher.takeDomainChanges()) {
            EventLog.info(
                if (change.isLeaving) "domain_left" else "domain_regained",
                "domain" to change.origin,
                "service" to change.service,
                "reason" to change.reason,
                "stay_ms" to change.stayMillis?.toInt(),
                "leave_ms" to change.leaveMillis?.toInt(),
            )
        }
        for ((flow, count) in dispatcher.takeDomainFlows()) onDomainFlow(flow, count)
    }

    private fun logSuspects() {
        val now = dispatcher.suspectedServers
        if (now == suspects) return
        for (server in suspects.keys - now.keys) EventLog.info("server_cleared", "server" to server)
        for ((server, suspicion) in now) {
            if (suspects[server] != suspicion) {
                EventLog.info("server_suspected", "server" to server, "reason" to suspicion)
            }
        }
        suspects = now
    }

    private fun logLimits(now: MonotonicTime) {
        val limits = dispatcher.limitedServers(now)
        for (server in limitedServers - limits.keys) EventLog.info("server_unlimited", "server" to server)
        for (server in limits.keys - limitedServers) {
            EventLog.info("server_limited", "server" to server, "per_second" to limits.getValue(server))
        }
        limitedServers = limits.keys
    }

    private fun setResigning(
        shouldResign: Boolean,
        now: MonotonicTime,
    ) {
        if (shouldResign == isResigning) return
        isResigning = shouldResign
        EventLog.info("coordinator_resigning", "resigns" to shouldResign)
        if (shouldResign) {
            dispatcher.pauseItems()
        } else if (isConfirmed) {
            dispatcher.allowItems(now)
        }
    }

    private fun removeFollower(
        vm: VmId,
        reason: String,
        hasEnded: Boolean,
        now: MonotonicTime,
    ) {
        val follower = followers.remove(vm) ?: return
        EventLog.info("follower_lost", "vm" to vm, "reason" to reason, "silent_for" to (now - follower.lastHeardAt))
        updateFollowers()
        execute(dispatcher.onVmLost(vm, hasEnded, now))
    }

    private fun updateFollowers() {
        val accepting = followers.values.filter { !it.isLeaving }.map { it.vm }
        if (accepting != liveVms) {
            liveVms = accepting
            liveVersion++
        }
        val serving = liveVms.map { it.id }
        val domains = liveVms.associate { it.id to it.domain }
        dispatcher.onFollowers(serving, maxOf(listedVms(), serving.size), SPARE_BURST_REQUESTS, domains)
    }

    private fun execute(actions: List<DispatchAction>) {
        if (isStopped) return
        for (action in actions) {
            when (action) {
                is DispatchAction.Place -> sendDecision(action.call, PlaceDecision.Placed(action.server))
                is DispatchAction.Refuse -> sendRefusal(action)
                is DispatchAction.StartItem -> startItem(action)
                is DispatchAction.StopItem -> cancelItem(action)
                is DispatchAction.GiveUpItem -> abandonItem(action)
            }
        }
    }

    private fun sendRefusal(action: DispatchAction.Refuse) {
        sendDecision(action.call, PlaceDecision.Refused(action.kind, action.retryAfter.inWholeMilliseconds))
    }

    private fun sendDecision(
        call: CallId,
        decision: PlaceDecision,
    ) {
        pendingPlacements[call]?.let {
            it.complete(decision)
            return
        }
        val notice = DecisionNotice(call.number, decision)
        if (call.vm == self) onDecision(notice) else scope.launch { network.call(call.vm, notice, PUSH_TIMEOUT) }
    }

    private fun startItem(action: DispatchAction.StartItem) {
        val request =
            RunItemRequest(
                number = action.call.number,
                item = action.item,
                workspace = action.item.job.workspace,
                server = action.server,
                partial = partialOutputs[action.item],
                term = term,
                manifestVersion = view.manifest?.version ?: 0,
            )
        EventLog.info("item_placed", "item" to action.item, "vm" to action.call.vm, "server" to action.server)
        if (action.call.vm == self) {
            runItem(request)
            return
        }
        scope.launch {
            val answer = network.call(action.call.vm, request, PUSH_TIMEOUT)
            if (answer is Superseded) requireConfirmation("superseded")
            if (answer != null && answer !is Superseded) return@launch
            val now = MonotonicTime.now()
            dispatcher.onUnanswered(action.call.vm)
            execute(dispatcher.onItem(action.item, action.call, ItemOutcome.INTERRUPTED, now))
            execute(dispatcher.release(action.call, RunOutcome.STOPPED, null, now))
        }
    }

    private fun cancelItem(action: DispatchAction.StopItem) {
        val request = StopItemRequest(action.call.number, action.reason, term)
        if (action.call.vm == self) {
            stopItem(request)
        } else {
            scope.launch { network.call(action.call.vm, request, PUSH_TIMEOUT) }
        }
    }

    private fun abandonItem(action: DispatchAction.GiveUpItem) {
        EventLog.info("item_given_up", "item" to action.item, "reason" to action.reason)
        dispatcher.onListed(action.item)
        giveUpItem(action.item)
    }

    private companion object {
        val TICK_INTERVAL = 50.milliseconds

        // The rules tolerate 20 requests beyond rate and burst, of which VMs without a coordinator may use 15. The
        // followers' share of a small burst admits nothing while they join one after the other.
        const val SPARE_BURST_REQUESTS = 4.0

        // Every VM reports several times within this time, so that its running items are known before new ones start.
        val TAKEOVER_WAIT = 800.milliseconds

        // Ten ticks; short against the 3 s within which the end of a job must take effect.
        val MAX_PAUSE = 500.milliseconds

        // Together with [FOLLOWER_TIMEOUT], half of the 6 s for which a dead VM may be listed to callers.
        val MARK_SILENT_AFTER = 2.seconds

        // Longer than the network partitions in the users' tests, so that a partitioned VM keeps its share of rates.
        val UNLIST_AFTER = 15.seconds
        val PUSH_TIMEOUT = 300.milliseconds
    }
}
