package org.agatestream.core

import kotlin.math.ceil
import kotlin.random.Random
import kotlin.time.Duration
import kotlin.time.Duration.Companion.milliseconds
import kotlin.time.Duration.Companion.seconds

/** An interval of simulated time. */
internal class Span(
    val from: Duration,
    val length: Duration,
) {
    operator fun contains(at: Duration): Boolean = at >= from && at < from + length
}

/** A simulated backend server with its faults. */
internal class ModelServer(
    val name: String,
    val slots: Int = 8,
    /** When it is in the server list. */
    val listed: Span = Span(-(1.seconds), 1_000.seconds),
    /** When it accepts requests but sends nothing. */
    val silent: Span? = null,
    /** When it responds [SLOW_FACTOR] times as slowly. */
    val slow: Span? = null,
    val coldFor: Duration = Duration.ZERO,
) {
    companion object {
        const val SLOW_FACTOR = 5
    }
}

/** The load of a simulation; the defaults are those of a site with nine servers of eight slots. */
internal class ModelLoad(
    val servers: List<ModelServer> = (1..9).map { ModelServer("s$it") },
    val vms: Int = 11,
    /** Online requests per second, by workspace. */
    val online: Map<WorkspaceId, (Duration) -> Double>,
    val jobsPerSecond: (Duration) -> Double = { 0.0 },
    val manifest: Manifest = manifestOf(),
    /** How often a refused caller retries after the time given in the refusal. */
    val retries: Int = 1,
    val length: Duration = 30.seconds,
)

/** Outcome counts of the requests of one workspace, or of the items. */
internal data class ModelCount(
    val arrived: Int = 0,
    val onTime: Int = 0,
    val late: Int = 0,
    val refused: Int = 0,
    val failed: Int = 0,
) {
    val onTimeFraction: Double get() = if (arrived == 0) 1.0 else onTime.toDouble() / arrived
}

/**
 * Simulates a load against [Dispatcher]: VMs that forward requests, servers with slots, callers and jobs.
 *
 * With [isUncoordinated] there is no coordinator: each VM dispatches with its share of the rates and knows only its own
 * runs.
 */
internal class DispatchModel(
    private val load: ModelLoad,
    seed: Int,
    private val isUncoordinated: Boolean = false,
) {
    private val queue = EventQueue()
    private val random = Random(seed)
    private val vms = (1..load.vms).map { VmId("vm$it") }
    private val dispatchers = (if (isUncoordinated) vms else vms.take(1)).associateWith { createDispatcher(it) }
    private val servers = load.servers.associate { BackendServerId(it.name) to ServerState(it) }
    private val runs = HashMap<CallId, Run>()
    private val pendingCallers = HashMap<CallId, Caller>()
    private val items = HashMap<ItemRef, ItemState>()
    private var nextNumber = 1L

    /** Requests refused for lack of a slot while a healthy server had a free one. */
    var refusedDespiteFreeSlots = 0
        private set
    val counts = HashMap<WorkspaceId, ModelCount>()
    var itemCount = ModelCount()
        private set

    private class ServerState(
        val server: ModelServer,
    ) {
        var running = 0

        /** Slots that the coordinator counts as occupied because of placements and releases in transit. */
        var inTransit = 0
    }

    private class Caller(
        val workspace: WorkspaceId,
        val vm: VmId,
        val at: Duration,
        val retriesLeft: Int,
        val excluded: Set<BackendServerId> = emptySet(),
        val decisions: Int = 1,
    )

    private class ItemState(
        val dueAt: Duration,
        var remaining: Duration = ITEM_RUN_TIME,
    )

    private class Run(
        val server: BackendServerId,
        val item: ItemRef?,
        val sentAt: Duration,
    ) {
        var hasBegun = false
    }

    private val now: MonotonicTime get() = START + queue.time

    fun run(): DispatchModel {
        queue.after(Duration.ZERO, ::tick)
        queue.after(Duration.ZERO, ::report)
        for ((workspace, rate) in load.online) scheduleArrivals(rate) { sendRequest(newCaller(workspace)) }
        scheduleArrivals(load.jobsPerSecond, ::submit)
        queue.runUntil(load.length + DRAIN)
        return this
    }

    private fun createDispatcher(vm: VmId): Dispatcher {
        val dispatcher = Dispatcher(nextNumber = FIRST_ITEM_NUMBER, random = Random(random.nextInt()))
        dispatcher.onManifest(load.manifest)
        dispatcher.onFollowers(if (isUncoordinated) listOf(vm) else vms, vms.size)
        if (!isUncoordinated) dispatcher.allowItems(START)
        return dispatcher
    }

    private fun scheduleArrivals(
        rate: (Duration) -> Double,
        action: () -> Unit,
    ) {
        // Thinning: candidates arrive at the highest rate and are accepted with probability rate / highest rate.
        queue.after(random.nextGap(HIGHEST_RATE)) {
            if (queue.time < load.length) {
                if (random.nextDouble() * HIGHEST_RATE < rate(queue.time)) action()
                scheduleArrivals(rate, action)
            }
        }
    }

    private fun newCaller(workspace: WorkspaceId): Caller {
        count(workspace) { it.copy(arrived = it.arrived + 1) }
        return Caller(workspace, vms.random(random), queue.time, load.retries)
    }

    private fun count(
        workspace: WorkspaceId,
        change: (ModelCount) -> ModelCount,
    ) {
        counts[workspace] = change(counts[workspace] ?: ModelCount())
    }

    private fun sendRequest(caller: Caller) {
        val call = CallId(caller.vm, nextNumber++)
        pendingCallers[call] = caller
        queue.after(NETWORK_DELAY) {
            val request =
                PlaceRequest(
                    call = call,
                    service = CHAT,
                    meteredWorkspace = caller.workspace.takeIf { caller.decisions == 1 },
                    priority = 0,
                    latestStart = START + caller.at + LATENCY_TARGET - FIRST_EVENT,
                    queueDeadline = if (isUncoordinated) now + 1.milliseconds else START + caller.at + CALLER_TIMEOUT,
                    excluded = caller.excluded,
                )
            execute(dispatcherOf(caller.vm).place(request, now))
            if (isUncoordinated) execute(dispatcherOf(caller.vm).tick(now + 1.milliseconds))
        }
    }

    private fun dispatcherOf(vm: VmId): Dispatcher = dispatchers[vm] ?: dispatchers.values.first()

    private fun execute(actions: List<DispatchAction>) {
        for (action in actions) {
            when (action) {
                is DispatchAction.Place -> place(action)
                is DispatchAction.Refuse -> refuse(action)
                is DispatchAction.StartItem -> queue.after(NETWORK_DELAY) { sendItem(action) }
                is DispatchAction.StopItem -> queue.after(NETWORK_DELAY) { stopItem(action.call) }
                is DispatchAction.GiveUpItem -> dispatcherOf(vms.first()).onListed(action.item)
            }
        }
    }

    private fun place(action: DispatchAction.Place) {
        val state = servers.getValue(action.server)
        state.inTransit++
        queue.after(NETWORK_DELAY) {
            state.inTransit--
            send(action.call, action.server)
        }
    }

    private fun refuse(action: DispatchAction.Refuse) {
        val caller = pendingCallers.remove(action.call) ?: return
        val isFree = servers.values.any { it.isHealthy() && it.running + it.inTransit < it.server.slots }
        if (action.kind == ErrorKind.NO_CAPACITY && isFree) refusedDespiteFreeSlots++
        if (caller.retriesLeft > 0 && queue.time + action.retryAfter < caller.at + CALLER_TIMEOUT) {
            val again = Caller(caller.workspace, vms.random(random), caller.at, caller.retriesLeft - 1)
            queue.after(action.retryAfter.coerceAtLeast(1.milliseconds)) { sendRequest(again) }
        } else {
            count(caller.workspace) { it.copy(refused = it.refused + 1) }
        }
    }

    private fun ServerState.isHealthy(): Boolean =
        queue.time in server.listed && (server.silent == null || queue.time !in server.silent)

    private fun send(
        call: CallId,
        id: BackendServerId,
    ) {
        val caller = pendingCallers.getValue(call)
        val state = servers.getValue(id)
        if (state.running >= state.server.slots) {
            pendingCallers -= call
            release(call, RunOutcome.NOT_RUN, null)
            if (caller.decisions < MAX_DECISIONS) {
                sendRequest(
                    Caller(
                        caller.workspace,
                        caller.vm,
                        caller.at,
                        caller.retriesLeft,
                        caller.excluded + id,
                        caller.decisions + 1,
                    ),
                )
            } else {
                count(caller.workspace) { it.copy(refused = it.refused + 1) }
            }
            return
        }
        val run = Run(id, null, queue.time)
        runs[call] = run
        state.running++
        val sent = queue.time
        if (state.isHealthy()) {
            val factor = state.factor()
            queue.after(FIRST_EVENT * factor) {
                run.hasBegun = true
                val isOnTime = queue.time - caller.at <= LATENCY_TARGET
                count(
                    caller.workspace,
                ) { if (isOnTime) it.copy(onTime = it.onTime + 1) else it.copy(late = it.late + 1) }
            }
            queue.after(ONLINE_RUN_TIME * factor) { end(call, RunOutcome.ANSWERED, FIRST_EVENT * factor) }
        } else {
            queue.at(sent + CALLER_MAX_EVENT_GAP) {
                count(caller.workspace) { it.copy(failed = it.failed + 1) }
                end(call, RunOutcome.STOPPED, null)
            }
        }
    }

    private fun ServerState.factor(): Int =
        if (server.slow != null &&
            queue.time in server.slow
        ) {
            ModelServer.SLOW_FACTOR
        } else {
            1
        }

    private fun end(
        call: CallId,
        outcome: RunOutcome,
        firstEvent: Duration?,
    ) {
        val run = runs.remove(call) ?: return
        val state = servers.getValue(run.server)
        state.running--
        state.inTransit++
        pendingCallers -= call
        queue.after(NETWORK_DELAY) { state.inTransit-- }
        release(call, outcome, firstEvent)
    }

    private fun release(
        call: CallId,
        outcome: RunOutcome,
        firstEvent: Duration?,
    ) {
        queue.after(NETWORK_DELAY) { execute(dispatcherOf(call.vm).release(call, outcome, firstEvent, now)) }
    }

    private fun submit() {
        val id = JobId("job${nextNumber++}")
        val planned = (1..ITEMS_PER_JOB).map { PlannedItem(ItemId("$it"), "/batch/x") }
        val plan = JobPlan(id, null, "h.example", JobLifetime(now + ITEM_DEADLINE, now + 60.seconds), 0, null, planned)
        for (item in planned) items[ItemRef(plan.ref, item.id)] = ItemState(queue.time + ITEM_DEADLINE)
        itemCount = itemCount.copy(arrived = itemCount.arrived + planned.size)
        execute(dispatcherOf(vms.first()).onJob(plan, emptySet(), now))
    }

    private fun sendItem(start: DispatchAction.StartItem) {
        val state = servers.getValue(start.server)
        if (state.running >= state.server.slots || !state.isHealthy()) {
            release(start.call, RunOutcome.NOT_RUN, null)
            report(start.item, start.call, ItemOutcome.INTERRUPTED)
            return
        }
        val item = items.getValue(start.item)
        val run = Run(start.server, start.item, queue.time)
        runs[start.call] = run
        state.running++
        queue.after(FIRST_EVENT) { run.hasBegun = true }
        queue.after(item.remaining + FIRST_EVENT) {
            if (runs[start.call] === run) {
                end(start.call, RunOutcome.ANSWERED, FIRST_EVENT)
                report(start.item, start.call, ItemOutcome.FINISHED)
                dispatcherOf(vms.first()).onListed(start.item)
                val isOnTime = queue.time <= item.dueAt
                itemCount =
                    if (isOnTime) {
                        itemCount.copy(onTime = itemCount.onTime + 1)
                    } else {
                        itemCount.copy(
                            late =
                                itemCount.late + 1,
                        )
                    }
            }
        }
    }

    private fun stopItem(call: CallId) {
        val run = runs[call] ?: return
        val ref = run.item ?: return
        val item = items.getValue(ref)
        item.remaining = (item.remaining - (queue.time - run.sentAt - FIRST_EVENT).coerceAtLeast(Duration.ZERO))
        end(call, RunOutcome.STOPPED, null)
        report(ref, call, ItemOutcome.INTERRUPTED)
    }

    private fun report(
        ref: ItemRef,
        call: CallId,
        outcome: ItemOutcome,
    ) {
        queue.after(NETWORK_DELAY) { execute(dispatcherOf(call.vm).onItem(ref, call, outcome, now)) }
    }

    private fun tick() {
        val usable =
            load.servers.filter { queue.time in it.listed }.map {
                val coldUntil = START + it.listed.from.coerceAtLeast(Duration.ZERO) + it.coldFor
                serverOf(it.name, it.slots).copy(coldUntil = coldUntil)
            }
        for (dispatcher in dispatchers.values) {
            execute(dispatcher.onServers(usable, now))
            execute(dispatcher.tick(now))
        }
        queue.after(TICK, ::tick)
    }

    private fun report() {
        for (vm in vms) {
            val reportedRuns =
                runs.filterKeys { it.vm == vm }.map { (call, run) ->
                    val silence = (queue.time - run.sentAt).inWholeMilliseconds.takeIf { !run.hasBegun }
                    RunningCall(call.number, run.server, run.item, run.hasBegun, silence)
                }
            execute(dispatcherOf(vm).onReport(vm, reportedRuns, emptyList(), now))
        }
        queue.after(REPORT_INTERVAL, ::report)
    }

    /** Returns the sum of the counts of all workspaces. */
    fun total(): ModelCount =
        counts.values.fold(ModelCount()) { sum, it ->
            ModelCount(
                sum.arrived + it.arrived,
                sum.onTime + it.onTime,
                sum.late + it.late,
                sum.refused + it.refused,
                sum.failed + it.failed,
            )
        }

    companion object {
        private const val HIGHEST_RATE = 2_000.0
        private const val FIRST_ITEM_NUMBER = 1_000_000L
        private const val MAX_DECISIONS = 5
        private const val ITEMS_PER_JOB = 10
        private val NETWORK_DELAY = 1.4.milliseconds
        private val TICK = 50.milliseconds
        private val REPORT_INTERVAL = 250.milliseconds
        private val DRAIN = 30.seconds

        // The load profile of relais-repit: its callers' latency target, timeout and event gap; run times at low load.
        val LATENCY_TARGET: Duration = 300.milliseconds
        private val CALLER_TIMEOUT = 4.seconds
        private val CALLER_MAX_EVENT_GAP = 3.2.seconds
        private val ITEM_DEADLINE = 18.seconds
        private val FIRST_EVENT = 70.milliseconds
        private val ONLINE_RUN_TIME = 600.milliseconds
        private val ITEM_RUN_TIME = 4.5.seconds

        /** Returns the requests per second of a site with periodic load; [scale] is 1 on its standard day. */
        fun waves(scale: Double): (Duration) -> Double =
            { at ->
                val inWave = at.inWholeMilliseconds % WAVE_MILLIS >= QUIET_MILLIS
                scale * MEAN_RATE * (if (inWave) WAVE_LOAD else QUIET_LOAD)
            }

        private const val MEAN_RATE = 41.7
        private const val WAVE_MILLIS = 5_200L
        private const val QUIET_MILLIS = 3_000L
        private const val QUIET_LOAD = 0.378
        private const val WAVE_LOAD = 1.85

        /** Returns the requests that [rate] and [burst] allow in [span], with the tolerance of a tenth plus 20. */
        fun mostAllowed(
            rate: Double,
            burst: Double,
            span: Duration,
        ): Int = ceil((rate * span.inWholeMilliseconds / 1_000 + burst) * 1.1 + 20).toInt()
    }
}
