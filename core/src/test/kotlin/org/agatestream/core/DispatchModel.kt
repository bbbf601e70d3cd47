package org.agatestream.core

import kotlin.math.ceil
import kotlin.random.Random
import kotlin.time.Duration
import kotlin.time.Duration.Companion.milliseconds
import kotlin.time.Duration.Companion.seconds

/** A span of a model's time in which something is different. */
internal class Span(
    val from: Duration,
    val length: Duration,
) {
    operator fun contains(at: Duration): Boolean = at >= from && at < from + length
}

/** A backend server of the model and what is wrong with it. */
internal class ModelServer(
    val name: String,
    val slots: Int = 8,
    /** When it joins and leaves the list. */
    val listed: Span = Span(-(1.seconds), 1_000.seconds),
    /** Takes requests and sends nothing. */
    val silent: Span? = null,
    /** Answers [SLOW_FACTOR] times as slowly. */
    val slow: Span? = null,
    val coldFor: Duration = Duration.ZERO,
) {
    companion object {
        const val SLOW_FACTOR = 5
    }
}

/** Who comes when; the figures are those of a site with nine servers of eight slots. */
internal class ModelLoad(
    val servers: List<ModelServer> = (1..9).map { ModelServer("s$it") },
    val vms: Int = 11,
    /** Online requests a second, by workspace. */
    val online: Map<WorkspaceId, (Duration) -> Double>,
    val jobsPerSecond: (Duration) -> Double = { 0.0 },
    val manifest: Manifest = manifestOf(),
    /** How often a refused caller comes back after the time it was told. */
    val returns: Int = 1,
    val length: Duration = 30.seconds,
)

/** What became of the requests of one workspace, or of the items. */
internal data class ModelCount(
    val asked: Int = 0,
    val inTime: Int = 0,
    val late: Int = 0,
    val refused: Int = 0,
    val failed: Int = 0,
) {
    val inTimeShare: Double get() = if (asked == 0) 1.0 else inTime.toDouble() / asked
}

/**
 * Plays a load against [Dispatcher] in model time: VMs that forward, servers with slots, callers and jobs.
 *
 * With [isApart] there is no coordinator: each VM decides by its own part and by what it runs itself.
 */
internal class DispatchModel(
    private val load: ModelLoad,
    seed: Int,
    private val isApart: Boolean = false,
) {
    private val queue = EventQueue()
    private val random = Random(seed)
    private val vms = (1..load.vms).map { VmId("vm$it") }
    private val dispatchers = (if (isApart) vms else vms.take(1)).associateWith { dispatcher(it) }
    private val servers = load.servers.associate { BackendServerId(it.name) to ServerState(it) }
    private val runs = HashMap<CallId, Run>()
    private val asked = HashMap<CallId, Caller>()
    private val items = HashMap<ItemRef, ItemState>()
    private var nextNumber = 1L

    /** Requests refused for want of a slot while a sound server had one. */
    var refusedBesideFreeSlots = 0
        private set
    val counts = HashMap<WorkspaceId, ModelCount>()
    var itemCount = ModelCount()
        private set

    private class ServerState(
        val server: ModelServer,
    ) {
        var running = 0

        /** Slots that the coordinator counts as taken: placements and ends that are on their way. */
        var onTheWay = 0
    }

    private class Caller(
        val workspace: WorkspaceId,
        val vm: VmId,
        val at: Duration,
        val returnsLeft: Int,
        val excluded: Set<BackendServerId> = emptySet(),
        val decisions: Int = 1,
    )

    private class ItemState(
        val dueAt: Duration,
        var left: Duration = ITEM_RUN,
    )

    private class Run(
        val server: BackendServerId,
        val item: ItemRef?,
        val sentAt: Duration,
    ) {
        var hasBegun = false
    }

    private val now: MonotonicTime get() = START + queue.time

    fun play(): DispatchModel {
        queue.after(Duration.ZERO, ::tick)
        queue.after(Duration.ZERO, ::report)
        for ((workspace, rate) in load.online) arriveNext(rate) { ask(newCaller(workspace)) }
        arriveNext(load.jobsPerSecond, ::submit)
        queue.runUntil(load.length + DRAIN)
        return this
    }

    private fun dispatcher(vm: VmId): Dispatcher {
        val made = Dispatcher(nextNumber = FIRST_ITEM_NUMBER, random = Random(random.nextInt()))
        made.onManifest(load.manifest)
        made.onFollowers(if (isApart) listOf(vm) else vms, vms.size)
        if (!isApart) made.allowItems(START)
        return made
    }

    private fun arriveNext(
        rate: (Duration) -> Double,
        action: () -> Unit,
    ) {
        // Thinning: candidates come at the highest rate, and each counts with the share that holds then.
        queue.after(random.nextGap(HIGHEST_RATE)) {
            if (queue.time < load.length) {
                if (random.nextDouble() * HIGHEST_RATE < rate(queue.time)) action()
                arriveNext(rate, action)
            }
        }
    }

    private fun newCaller(workspace: WorkspaceId): Caller {
        count(workspace) { it.copy(asked = it.asked + 1) }
        return Caller(workspace, vms.random(random), queue.time, load.returns)
    }

    private fun count(
        workspace: WorkspaceId,
        change: (ModelCount) -> ModelCount,
    ) {
        counts[workspace] = change(counts[workspace] ?: ModelCount())
    }

    private fun ask(caller: Caller) {
        val call = CallId(caller.vm, nextNumber++)
        asked[call] = caller
        queue.after(WAY) {
            val request =
                PlaceRequest(
                    call = call,
                    service = CHAT,
                    metered = caller.workspace.takeIf { caller.decisions == 1 },
                    priority = 0,
                    onTimeBy = START + caller.at + AIM - FIRST_EVENT,
                    giveUpAt = if (isApart) now + 1.milliseconds else START + caller.at + PATIENCE,
                    excluded = caller.excluded,
                )
            execute(dispatcherOf(caller.vm).place(request, now))
            if (isApart) execute(dispatcherOf(caller.vm).tick(now + 1.milliseconds))
        }
    }

    private fun dispatcherOf(vm: VmId): Dispatcher = dispatchers[vm] ?: dispatchers.values.first()

    private fun execute(actions: List<DispatchAction>) {
        for (action in actions) {
            when (action) {
                is DispatchAction.Place -> place(action)
                is DispatchAction.Refuse -> refuse(action)
                is DispatchAction.StartItem -> queue.after(WAY) { sendItem(action) }
                is DispatchAction.StopItem -> queue.after(WAY) { stopItem(action.call) }
                is DispatchAction.GiveUpItem -> dispatcherOf(vms.first()).onListed(action.item)
            }
        }
    }

    private fun place(action: DispatchAction.Place) {
        val state = servers.getValue(action.server)
        state.onTheWay++
        queue.after(WAY) {
            state.onTheWay--
            send(action.call, action.server)
        }
    }

    private fun refuse(action: DispatchAction.Refuse) {
        val caller = asked.remove(action.call) ?: return
        val isFree = servers.values.any { it.isSound() && it.running + it.onTheWay < it.server.slots }
        if (action.kind == ErrorKind.NO_CAPACITY && isFree) refusedBesideFreeSlots++
        if (caller.returnsLeft > 0 && queue.time + action.retryAfter < caller.at + PATIENCE) {
            val again = Caller(caller.workspace, vms.random(random), caller.at, caller.returnsLeft - 1)
            queue.after(action.retryAfter.coerceAtLeast(1.milliseconds)) { ask(again) }
        } else {
            count(caller.workspace) { it.copy(refused = it.refused + 1) }
        }
    }

    private fun ServerState.isSound(): Boolean =
        queue.time in server.listed && (server.silent == null || queue.time !in server.silent)

    private fun send(
        call: CallId,
        id: BackendServerId,
    ) {
        val caller = asked.getValue(call)
        val state = servers.getValue(id)
        if (state.running >= state.server.slots) {
            asked -= call
            release(call, RunOutcome.NOT_RUN, null)
            if (caller.decisions < MAX_DECISIONS) {
                ask(
                    Caller(
                        caller.workspace,
                        caller.vm,
                        caller.at,
                        caller.returnsLeft,
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
        if (state.isSound()) {
            val factor = state.factor()
            queue.after(FIRST_EVENT * factor) {
                run.hasBegun = true
                val isInTime = queue.time - caller.at <= AIM
                count(
                    caller.workspace,
                ) { if (isInTime) it.copy(inTime = it.inTime + 1) else it.copy(late = it.late + 1) }
            }
            queue.after(ONLINE_RUN * factor) { end(call, RunOutcome.ANSWERED, FIRST_EVENT * factor) }
        } else {
            queue.at(sent + CALLER_GAP) {
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
        state.onTheWay++
        asked -= call
        queue.after(WAY) { state.onTheWay-- }
        release(call, outcome, firstEvent)
    }

    private fun release(
        call: CallId,
        outcome: RunOutcome,
        firstEvent: Duration?,
    ) {
        queue.after(WAY) { execute(dispatcherOf(call.vm).release(call, outcome, firstEvent, now)) }
    }

    private fun submit() {
        val id = JobId("job${nextNumber++}")
        val planned = (1..ITEMS_PER_JOB).map { PlannedItem(ItemId("$it"), "/batch/x") }
        val plan = JobPlan(id, null, "h.example", now + ITEM_AIM, now + 60.seconds, null, planned)
        for (item in planned) items[ItemRef(id, item.id)] = ItemState(queue.time + ITEM_AIM)
        itemCount = itemCount.copy(asked = itemCount.asked + planned.size)
        execute(dispatcherOf(vms.first()).onJob(plan, emptySet(), now))
    }

    private fun sendItem(start: DispatchAction.StartItem) {
        val state = servers.getValue(start.server)
        if (state.running >= state.server.slots || !state.isSound()) {
            release(start.call, RunOutcome.NOT_RUN, null)
            report(start.item, start.call, ItemOutcome.INTERRUPTED)
            return
        }
        val item = items.getValue(start.item)
        val run = Run(start.server, start.item, queue.time)
        runs[start.call] = run
        state.running++
        queue.after(FIRST_EVENT) { run.hasBegun = true }
        queue.after(item.left + FIRST_EVENT) {
            if (runs[start.call] === run) {
                end(start.call, RunOutcome.ANSWERED, FIRST_EVENT)
                report(start.item, start.call, ItemOutcome.FINISHED)
                dispatcherOf(vms.first()).onListed(start.item)
                val isInTime = queue.time <= item.dueAt
                itemCount =
                    if (isInTime) {
                        itemCount.copy(inTime = itemCount.inTime + 1)
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
        item.left = (item.left - (queue.time - run.sentAt - FIRST_EVENT).coerceAtLeast(Duration.ZERO))
        end(call, RunOutcome.STOPPED, null)
        report(ref, call, ItemOutcome.INTERRUPTED)
    }

    private fun report(
        ref: ItemRef,
        call: CallId,
        outcome: ItemOutcome,
    ) {
        queue.after(WAY) { execute(dispatcherOf(call.vm).onItem(ref, call, outcome, now)) }
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
            val own =
                runs.filterKeys { it.vm == vm }.map { (call, run) ->
                    val silence = (queue.time - run.sentAt).inWholeMilliseconds.takeIf { !run.hasBegun }
                    RunningCall(call.number, run.server, run.item, run.hasBegun, silence)
                }
            execute(dispatcherOf(vm).onReport(vm, own, emptyList(), now))
        }
        queue.after(REPORT_INTERVAL, ::report)
    }

    /** Returns the counts of all workspaces together. */
    fun total(): ModelCount =
        counts.values.fold(ModelCount()) { sum, it ->
            ModelCount(
                sum.asked + it.asked,
                sum.inTime + it.inTime,
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
        private val WAY = 1.4.milliseconds
        private val TICK = 50.milliseconds
        private val REPORT_INTERVAL = 250.milliseconds
        private val DRAIN = 30.seconds

        // The sheet of relais-repit: aim, patience and gap of its callers; runs as measured on a calm day.
        val AIM: Duration = 300.milliseconds
        private val PATIENCE = 4.seconds
        private val CALLER_GAP = 3.2.seconds
        private val ITEM_AIM = 18.seconds
        private val FIRST_EVENT = 70.milliseconds
        private val ONLINE_RUN = 600.milliseconds
        private val ITEM_RUN = 4.5.seconds

        /** Requests a second of a site whose day comes in waves; [scale] is 1 on its standard day. */
        fun waves(scale: Double): (Duration) -> Double =
            { at ->
                val inWave = at.inWholeMilliseconds % WAVE_MILLIS >= QUIET_MILLIS
                scale * MEAN_RATE * (if (inWave) WAVE else QUIET)
            }

        private const val MEAN_RATE = 41.7
        private const val WAVE_MILLIS = 5_200L
        private const val QUIET_MILLIS = 3_000L
        private const val QUIET = 0.378
        private const val WAVE = 1.85

        /** Returns the requests that [rate] and [burst] allow in [span], with a tenth and 20 more, as the rules count. */
        fun mostAllowed(
            rate: Double,
            burst: Double,
            span: Duration,
        ): Int = ceil((rate * span.inWholeMilliseconds / 1_000 + burst) * 1.1 + 20).toInt()
    }
}
