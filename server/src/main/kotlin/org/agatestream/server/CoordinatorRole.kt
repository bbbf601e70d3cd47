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
import org.agatestream.core.DispatchAction
import org.agatestream.core.Dispatcher
import org.agatestream.core.ItemId
import org.agatestream.core.ItemOutcome
import org.agatestream.core.ItemRef
import org.agatestream.core.JobId
import org.agatestream.core.JobPlan
import org.agatestream.core.MonotonicTime
import org.agatestream.core.PlaceRequest
import org.agatestream.core.RunOutcome
import org.agatestream.core.ServerDoubt
import org.agatestream.core.VmId
import org.agatestream.core.WorkspaceId
import kotlin.time.Duration.Companion.milliseconds
import kotlin.time.Duration.Companion.seconds

/** Runs the decisions of a [Dispatcher] for the VMs that follow this one. */
internal class CoordinatorRole(
    private val self: VmId,
    private val network: PeerTransport,
    private val view: PlatformView,
    private val scope: CoroutineScope,
    private val runItem: (RunItemAsk) -> Unit,
    private val stopItem: (StopItemAsk) -> Unit,
    private val giveUpItem: (ItemRef, WorkspaceId?) -> Unit,
    private val onDecision: (DecisionAsk) -> Unit,
    private val markSilent: suspend (String) -> Unit,
    private val unlist: suspend (String) -> Unit,
    private val listedVms: () -> Int,
    private val isLeaving: () -> Boolean,
) {
    private class Follower(
        var vm: LiveVm,
        var heardAt: MonotonicTime,
        var isLeaving: Boolean,
        var hasStore: Boolean,
    )

    /** A VM that was a follower and is not heard. */
    private class Silence(
        val vm: VmId,
        val since: MonotonicTime,
    )

    val dispatcher =
        Dispatcher(nextNumber = System.currentTimeMillis() shl ITEM_NUMBER_BITS, random = kotlin.random.Random.Default)
    private val followers = LinkedHashMap<VmId, Follower>()
    private val silent = HashMap<String, Silence>()
    private val marked = HashSet<String>()
    private val inline = HashMap<CallId, CompletableDeferred<PlaceDecision>>()
    private val workspaces = HashMap<ItemRef, WorkspaceId?>()

    // An item that was interrupted goes on at whichever VM runs it next.
    private val partials = HashMap<ItemRef, PartialOutput>()
    private var ticking: Job? = null

    /** True if another VM should take this one's place, as it reaches the store and this one does not. */
    var isResigning = false
        private set

    private var doubted: Map<BackendServerId, ServerDoubt> = emptyMap()
    private var live: List<LiveVm> = emptyList()
    private var liveVersion = 0L

    fun start(now: MonotonicTime) {
        view.manifest?.let { dispatcher.onManifest(it) }
        execute(dispatcher.onServers(view.registry.usable(), now))
        dispatcher.allowItems(now + TAKEOVER_WAIT)
        ticking =
            scope.launch {
                while (isActive) {
                    delay(TICK_INTERVAL)
                    tick(MonotonicTime.now())
                }
            }
    }

    suspend fun stop() {
        ticking?.cancelAndJoin()
        inline.values.forEach { it.cancel() }
    }

    fun onView(now: MonotonicTime) {
        view.manifest?.let { dispatcher.onManifest(it) }
        execute(dispatcher.onServers(view.registry.usable(), now))
    }

    fun onJob(
        plan: JobPlan,
        done: Set<ItemId>,
        now: MonotonicTime,
    ) {
        plan.items.forEach { workspaces[ItemRef(plan.id, it.id)] = plan.workspace }
        execute(dispatcher.onJob(plan, done, now))
    }

    fun onJobEnded(
        job: JobId,
        now: MonotonicTime,
    ) {
        workspaces.keys.removeAll { it.job == job }
        partials.keys.removeAll { it.job == job }
        execute(dispatcher.onJobEnded(job, now))
    }

    suspend fun place(
        from: VmId,
        ask: PlaceAsk,
        now: MonotonicTime,
    ): PlaceDecision {
        val call = CallId(from, ask.number)
        val waiting = CompletableDeferred<PlaceDecision>()
        inline[call] = waiting
        val request =
            PlaceRequest(
                call = call,
                service = ask.service,
                metered = ask.metered,
                priority = ask.priority,
                onTimeBy = now + ask.onTimeMillis.milliseconds,
                giveUpAt = now + ask.giveUpMillis.milliseconds,
                excluded = ask.excluded,
            )
        execute(dispatcher.place(request, now))
        inline.remove(call)
        return if (waiting.isCompleted) waiting.await() else PlaceDecision.Queued
    }

    fun release(
        from: VmId,
        ask: ReleaseAsk,
        now: MonotonicTime,
    ) {
        val call = CallId(from, ask.number)
        execute(dispatcher.release(call, ask.outcome, ask.firstEventMillis?.milliseconds, now))
    }

    fun onItem(
        from: VmId,
        ask: ItemAsk,
        now: MonotonicTime,
    ) {
        if (ask.outcome == ItemOutcome.LISTED) {
            workspaces -= ask.item
            partials -= ask.item
        }
        ask.partial?.let { if (it.lastEvent > (partials[ask.item]?.lastEvent ?: -1)) partials[ask.item] = it }
        execute(dispatcher.onItem(ask.item, CallId(from, ask.number), ask.outcome, now))
    }

    fun onStatus(
        from: VmId,
        ask: StatusAsk,
        now: MonotonicTime,
    ): StatusAnswer {
        val vm = LiveVm(from, ask.name, ask.caller, ask.peer, ask.domain)
        val known = followers[from]
        if (known == null) {
            followers.values
                .filter { it.vm.name == ask.name }
                .map { it.vm.id }
                .forEach { lose(it, "restarted", hasEnded = true, now) }
            silent[ask.name]?.takeIf { it.vm != from }?.let {
                execute(dispatcher.onVmLost(it.vm, hasEnded = true, now))
            }
            followers[from] = Follower(vm, now, ask.isLeaving, ask.hasStore)
            silent -= ask.name
            EventLog.info("follower_joined", "vm" to from)
        } else {
            known.heardAt = now
            known.isLeaving = ask.isLeaving
            known.hasStore = ask.hasStore
        }
        updateFollowers()
        execute(dispatcher.onReport(from, ask.running, ask.unlisted, now))
        val news = if (ask.hasStore) null else view.newsSince(ask.operatorVersion, ask.serverVersion)
        val list = live.takeIf { ask.liveVersion != liveVersion }
        return StatusAnswer(list, liveVersion, isResigning, news)
    }

    private fun tick(now: MonotonicTime) {
        val lost = followers.values.filter { it.vm.id != self && now - it.heardAt > FOLLOWER_SILENCE }
        for (follower in lost) {
            lose(follower.vm.id, "silent", hasEnded = false, now)
            silent[follower.vm.name] = Silence(follower.vm.id, now)
        }
        val gone = silent.filterValues { now - it.since > UNLIST_SILENCE }.keys.toList()
        val quiet = silent.filterValues { now - it.since > MARK_SILENCE }.keys - marked
        marked += quiet
        marked.retainAll(silent.keys)
        quiet.forEach { name -> scope.launch { markSilent(name) } }
        for (name in gone) {
            silent -= name
            scope.launch { unlist(name) }
        }
        val others = followers.values.filter { it.vm.id != self }
        setResigning((isLeaving() || !view.hasStore(now)) && others.any { it.hasStore }, now)
        execute(dispatcher.tick(now))
        noteDoubts()
    }

    private fun noteDoubts() {
        val now = dispatcher.doubted
        if (now == doubted) return
        for (server in doubted.keys - now.keys) EventLog.info("server_trusted", "server" to server)
        for ((server, doubt) in now) {
            if (doubted[server] != doubt) EventLog.info("server_doubted", "server" to server, "reason" to doubt)
        }
        doubted = now
    }

    private fun setResigning(
        resigns: Boolean,
        now: MonotonicTime,
    ) {
        if (resigns == isResigning) return
        isResigning = resigns
        EventLog.info("coordinator_resigning", "resigns" to resigns)
        if (resigns) dispatcher.pauseItems() else dispatcher.allowItems(now)
    }

    private fun lose(
        vm: VmId,
        reason: String,
        hasEnded: Boolean,
        now: MonotonicTime,
    ) {
        val follower = followers.remove(vm) ?: return
        EventLog.info("follower_lost", "vm" to vm, "reason" to reason, "heard" to (now - follower.heardAt))
        updateFollowers()
        execute(dispatcher.onVmLost(vm, hasEnded, now))
    }

    private fun updateFollowers() {
        val taking = followers.values.filter { !it.isLeaving }.map { it.vm }
        if (taking != live) {
            live = taking
            liveVersion++
        }
        val serving = live.map { it.id }
        dispatcher.onFollowers(serving, maxOf(listedVms(), serving.size))
    }

    private fun execute(actions: List<DispatchAction>) {
        for (action in actions) {
            when (action) {
                is DispatchAction.Place -> decide(action.call, PlaceDecision.Placed(action.server))
                is DispatchAction.Refuse -> refuse(action)
                is DispatchAction.StartItem -> start(action)
                is DispatchAction.StopItem -> stop(action)
                is DispatchAction.GiveUpItem -> giveUp(action)
            }
        }
    }

    private fun refuse(action: DispatchAction.Refuse) {
        decide(action.call, PlaceDecision.Refused(action.kind, action.retryAfter.inWholeMilliseconds))
    }

    private fun decide(
        call: CallId,
        decision: PlaceDecision,
    ) {
        inline[call]?.let {
            it.complete(decision)
            return
        }
        val ask = DecisionAsk(call.number, decision)
        if (call.vm == self) onDecision(ask) else scope.launch { network.ask(call.vm, ask, PUSH_TIMEOUT) }
    }

    private fun start(action: DispatchAction.StartItem) {
        val ask =
            RunItemAsk(action.call.number, action.item, workspaces[action.item], action.server, partials[action.item])
        EventLog.info("item_placed", "item" to action.item, "vm" to action.call.vm, "server" to action.server)
        if (action.call.vm == self) {
            runItem(ask)
            return
        }
        scope.launch {
            if (network.ask(action.call.vm, ask, PUSH_TIMEOUT) != null) return@launch
            val now = MonotonicTime.now()
            execute(dispatcher.onItem(action.item, action.call, ItemOutcome.INTERRUPTED, now))
            execute(dispatcher.release(action.call, RunOutcome.STOPPED, null, now))
        }
    }

    private fun stop(action: DispatchAction.StopItem) {
        val ask = StopItemAsk(action.call.number, action.reason)
        if (action.call.vm == self) stopItem(ask) else scope.launch { network.ask(action.call.vm, ask, PUSH_TIMEOUT) }
    }

    private fun giveUp(action: DispatchAction.GiveUpItem) {
        EventLog.info("item_given_up", "item" to action.item, "reason" to action.reason)
        dispatcher.onListed(action.item)
        giveUpItem(action.item, workspaces[action.item])
    }

    private companion object {
        const val ITEM_NUMBER_BITS = 16
        val TICK_INTERVAL = 50.milliseconds

        // Every VM reports several times in that span.
        val TAKEOVER_WAIT = 800.milliseconds
        val FOLLOWER_SILENCE = 1.seconds

        // With the silence before it, half of the 6 s for which a dead VM may be named to callers.
        val MARK_SILENCE = 2.seconds

        // Longer than the cuts of single VMs that the users play, so that a VM that is cut off keeps its share.
        val UNLIST_SILENCE = 15.seconds
        val PUSH_TIMEOUT = 300.milliseconds
    }
}
