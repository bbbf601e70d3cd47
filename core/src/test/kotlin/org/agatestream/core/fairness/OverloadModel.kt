package org.agatestream.core.fairness

import org.agatestream.core.BackendServerId
import org.agatestream.core.CallId
import org.agatestream.core.DispatchAction
import org.agatestream.core.Dispatcher
import org.agatestream.core.EventQueue
import org.agatestream.core.MonotonicTime
import org.agatestream.core.PlaceRequest
import org.agatestream.core.RunOutcome
import org.agatestream.core.RunningCall
import org.agatestream.core.START
import org.agatestream.core.VM_A
import org.agatestream.core.VM_B
import org.agatestream.core.VmId
import org.agatestream.core.WorkspaceId
import org.agatestream.core.manifestOf
import org.agatestream.core.nextGap
import org.agatestream.core.requestOf
import org.agatestream.core.serverOf
import kotlin.random.Random
import kotlin.time.Duration
import kotlin.time.Duration.Companion.milliseconds
import kotlin.time.Duration.Companion.seconds

/** The requests of one workspace: [rate] per second at each time, each with the properties that [shape] sets. */
internal class Demand(
    val workspace: WorkspaceId?,
    val runTime: Duration = 1.seconds,
    val shape: (PlaceRequest) -> PlaceRequest = { it },
    val rate: (Duration) -> Double,
)

/** Outcome counts of the requests of one workspace. */
internal class Outcomes {
    var sent = 0
    var onTime = 0
    var late = 0
    var refused = 0

    /** Slot time granted, by the time of the start. */
    val starts = ArrayList<Pair<Duration, Duration>>()
    val fractionOnTime: Double get() = onTime.toDouble() / maxOf(1, sent)
    val served: Int get() = onTime + late

    override fun toString(): String = "sent=$sent on_time=$onTime late=$late refused=$refused"
}

/**
 * Simulates requests of several workspaces at one service, without a network.
 *
 * With several [vms] there is no coordinator: each dispatches its part of the requests with a dispatcher of its own, and
 * a full server turns requests away. A [restartAt] replaces the dispatcher, as a new coordinator does.
 */
internal class OverloadModel(
    private val demands: List<Demand>,
    private val servers: Int = 40,
    private val slots: Int = 8,
    private val length: Duration = 8.seconds,
    private val restartAt: Duration? = null,
    private val vms: Int = 1,
) {
    val outcomes: Map<WorkspaceId?, Outcomes> = demands.associate { it.workspace to Outcomes() }
    private val queue = EventQueue()
    private val random = Random(1)
    private val names = if (vms == 1) listOf(VM_A) else (1..vms).map { VmId("vm$it") }
    private var dispatchers = names.associateWith { create(it) }
    private val requests = HashMap<CallId, Pair<Demand, PlaceRequest>>()
    private val waiting = LinkedHashMap<CallId, PlaceRequest>()
    private val runs = HashMap<CallId, BackendServerId>()
    private val load = HashMap<BackendServerId, Int>()
    private var nextNumber = 1L
    private val now: MonotonicTime get() = START + queue.time

    fun run(): OverloadModel {
        demands.forEach { scheduleArrivals(it) }
        queue.after(Duration.ZERO, ::tick)
        restartAt?.let { queue.at(it, ::restart) }
        queue.runUntil(length + DEADLINE)
        return this
    }

    fun sum(workspaces: (WorkspaceId?) -> Boolean): Outcomes =
        outcomes.filterKeys(workspaces).values.fold(Outcomes()) { sum, it ->
            sum.apply {
                sent += it.sent
                onTime += it.onTime
                late += it.late
                refused += it.refused
                starts += it.starts
            }
        }

    private fun create(vm: VmId): Dispatcher {
        val dispatcher = Dispatcher(nextNumber = 1_000_000, random = Random(1))
        dispatcher.onManifest(manifestOf())
        dispatcher.onFollowers(if (vms == 1) listOf(VM_A, VM_B) else listOf(vm), maxOf(2, vms))
        dispatcher.onServers((1..servers).map { serverOf("s$it", slots) }, START)
        return dispatcher
    }

    private fun scheduleArrivals(demand: Demand) {
        queue.after(random.nextGap(HIGHEST_RATE)) {
            if (queue.time < length) {
                if (random.nextDouble() * HIGHEST_RATE < demand.rate(queue.time)) send(demand)
                scheduleArrivals(demand)
            }
        }
    }

    private fun send(demand: Demand) {
        val number = nextNumber++
        val queueTime = if (vms == 1) DEADLINE else LOCAL_QUEUE_TIME
        val base =
            requestOf(
                number,
                now,
            ).copy(call = CallId(names.random(random), number), workspace = demand.workspace)
        val request = demand.shape(base.copy(queueDeadline = now + queueTime))
        requests[request.call] = demand to request
        outcomes.getValue(demand.workspace).sent++
        place(request)
    }

    private fun place(request: PlaceRequest) {
        waiting[request.call] = request
        val dispatcher = dispatchers.getValue(request.call.vm)
        execute(dispatcher.place(request, now))
        if (vms > 1) execute(dispatcher.tick(now + LOCAL_QUEUE_TIME))
    }

    private fun execute(actions: List<DispatchAction>) {
        for (action in actions) {
            when (action) {
                is DispatchAction.Place -> start(action.call, action.server)
                is DispatchAction.Refuse -> refuse(action.call)
                is DispatchAction.StartItem, is DispatchAction.StopItem, is DispatchAction.GiveUpItem -> Unit
            }
        }
    }

    private fun start(
        call: CallId,
        server: BackendServerId,
    ) {
        val request = waiting.remove(call) ?: return
        val (demand, _) = requests.getValue(call)
        if ((load[server] ?: 0) >= slots) {
            execute(dispatchers.getValue(call.vm).release(call, RunOutcome.NOT_RUN, null, now))
            retryElsewhere(request, server)
            return
        }
        load.merge(server, 1, Int::plus)
        runs[call] = server
        val count = outcomes.getValue(demand.workspace)
        if (now <= request.latestStart) count.onTime++ else count.late++
        count.starts += queue.time to demand.runTime
        queue.after(demand.runTime) {
            runs -= call
            load.merge(server, -1, Int::plus)
            execute(dispatchers.getValue(call.vm).release(call, RunOutcome.ANSWERED, 50.milliseconds, now))
        }
    }

    /** Sends a request that a full server turned away to another one, as a VM does. */
    private fun retryElsewhere(
        request: PlaceRequest,
        server: BackendServerId,
    ) {
        val entry = requests.remove(request.call) ?: return
        val again = request.copy(call = CallId(request.call.vm, nextNumber++), excluded = request.excluded + server)
        requests[again.call] = entry.first to again
        if (again.excluded.size < MAX_DECISIONS) {
            place(again)
        } else {
            outcomes.getValue(entry.first.workspace).refused++
        }
    }

    private fun refuse(call: CallId) {
        val request = waiting.remove(call) ?: return
        outcomes.getValue(requests.getValue(call).first.workspace).refused++
    }

    private fun tick() {
        dispatchers.values.forEach { execute(it.tick(now)) }
        queue.after(50.milliseconds, ::tick)
    }

    private fun restart() {
        dispatchers = names.associateWith { create(it) }
        val reported = runs.map { (call, server) -> RunningCall(call.number, server, hasBegun = true) }
        execute(dispatchers.getValue(VM_A).onReport(VM_A, reported, emptyList(), now))
        waiting.values.toList().forEach { execute(dispatchers.getValue(VM_A).place(it, now)) }
    }

    companion object {
        private const val HIGHEST_RATE = 1_600.0
        private const val MAX_DECISIONS = 5
        private val DEADLINE = 3.seconds
        private val LOCAL_QUEUE_TIME = 1.milliseconds
    }
}
