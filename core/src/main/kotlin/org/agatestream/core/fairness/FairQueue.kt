package org.agatestream.core.fairness

import org.agatestream.core.MonotonicTime
import org.agatestream.core.PlaceRequest
import org.agatestream.core.WorkspaceId
import java.util.TreeSet
import kotlin.time.Duration
import kotlin.time.Duration.Companion.milliseconds
import kotlin.time.Duration.Companion.seconds

/**
 * The requests that wait for a slot of one service, in the order in which they should start.
 *
 * Workspaces share the slots in proportion to their weights by start-time fair queueing. Requests that can still be on
 * time and those with a higher priority go first; they take a workspace at most [MAX_LEAD] ahead of the others. While
 * the demand exceeds the capacity and half of the slots are in use, a workspace that demands more than its share uses no more
 * slots than its share, so that the others find free ones. Time without waiting requests earns a workspace nothing.
 */
internal class FairQueue(
    private val weightOf: (WorkspaceId) -> Double,
    private val startedAt: MonotonicTime,
    /** True if workspaces share the slots; otherwise all requests count as those of one workspace. */
    private val sharesSlots: Boolean = true,
) {
    private val groups = LinkedHashMap<WorkspaceId?, ShareGroup>()
    private val order = LaneOrder()
    private val capped = ArrayList<ShareGroup>()
    private val byLatestStart = TreeSet(compareBy<WaitingRequest>({ it.request.latestStart }, { it.number }))
    private var virtualTime = 0.0
    private var groupNumber = 0L
    private val waitingWork = RankedWork()
    private var level = ShareLevel.UNLIMITED
    private var totalWeight = 1.0
    private var overWeight = 1.0
    private var levelAt: MonotonicTime? = null

    // The requests of workspaces within their share that became late while waiting.
    private val delayedWithinShare = DecayedRate(startedAt, RESERVE_TIME)

    // Requests that had to start on time and became late since the last call of [takeMissed].
    private val missed = ArrayList<WaitingRequest>()

    /** The number of waiting requests that may start as soon as a slot is free. */
    var startable: Int = 0
        private set

    /** The number of waiting requests. */
    var size: Int = 0
        private set

    /** The number of workspaces whose state is kept. */
    val trackedGroups: Int get() = groups.size

    /** Records that [request] asks for a slot at [now], whether or not it will be queued. */
    fun onAsked(
        request: PlaceRequest,
        now: MonotonicTime,
    ) {
        val group = groupOf(request.workspace)
        group.lastAskedAt = now
        // A request that a server turned away asks again and has been counted.
        if (request.excluded.isEmpty()) group.demand.add(RunWork.of(request.prompt), now)
    }

    /** Adds a request that arrives at [now]. */
    fun add(
        request: PlaceRequest,
        number: Long,
        now: MonotonicTime,
        mustStartOnTime: Boolean = false,
    ): WaitingRequest {
        val group = groupOf(request.workspace)
        val waiting = WaitingRequest(request, number, group, mustStartOnTime)
        waiting.isLate = waiting.isLateAt(now)
        // A workspace that had nothing waiting starts level with the others, without a backlog of work.
        if (group.lanes.isEmpty()) group.pass = maxOf(group.pass, virtualTime)
        size++
        count(waiting, 1)
        insert(waiting)
        return waiting
    }

    /** Removes a request without granting it work. */
    fun remove(waiting: WaitingRequest) {
        size--
        count(waiting, -1)
        detach(waiting)
    }

    /** Removes a request for the rest of a scheduling pass; [putBack] returns it to its position. */
    fun detach(waiting: WaitingRequest) {
        byLatestStart -= waiting
        val group = waiting.group
        val lane = group.lanes.first { it.rank == waiting.rank }
        lane.requests -= waiting.number
        if (lane.requests.isNotEmpty()) return
        if (!group.isCapped) order.remove(lane)
        group.lanes -= lane
    }

    /** Returns a request to the queue; [isHeld] is whether it must wait for another one although a slot may be free. */
    fun putBack(
        waiting: WaitingRequest,
        isHeld: Boolean,
    ) {
        hold(waiting, isHeld)
        insert(waiting)
    }

    /** Sets whether the request must wait for another one although a slot may be free. */
    fun hold(
        waiting: WaitingRequest,
        isHeld: Boolean,
    ) {
        if (waiting.isHeld == isHeld) return
        count(waiting, -1)
        waiting.isHeld = isHeld
        count(waiting, 1)
    }

    /** Starts a scheduling pass at [now]. */
    fun beginPass(
        capacity: Capacity,
        now: MonotonicTime,
    ) {
        markLate(capacity, now)
        for (group in capped) {
            group.isCapped = false
            group.lanes.forEach(order::add)
        }
        capped.clear()
    }

    /** Returns the request that should start next at [now], or null if none waits or may start. */
    fun next(
        capacity: Capacity,
        now: MonotonicTime,
    ): WaitingRequest? {
        while (!order.isEmpty) {
            val lane = order.first(MAX_LEAD)
            if (!usesItsSlots(lane.group, capacity, now)) return lane.requests.firstEntry().value
            lane.group.lanes.forEach(order::remove)
            lane.group.isCapped = true
            capped += lane.group
        }
        return null
    }

    /** Removes a request that starts and charges its work to its workspace. */
    fun start(waiting: WaitingRequest) {
        val group = waiting.group
        virtualTime = maxOf(virtualTime, order.lowestPass)
        remove(waiting)
        group.running++
        group.lanes.forEach(order::remove)
        group.pass += waiting.work / group.weight
        group.lanes.forEach(order::add)
    }

    /** Records that a run of [workspace] ended which had been started from this queue. */
    fun onEnded(workspace: WorkspaceId?) {
        groups[keyOf(workspace)]?.let { it.running = maxOf(0, it.running - 1) }
    }

    /**
     * Returns how long the new [request] would wait.
     *
     * One that can start on time goes before the late requests and those of lower priority, so their work does not count.
     */
    fun expectedWait(
        request: PlaceRequest,
        capacity: Capacity,
        now: MonotonicTime,
    ): Duration {
        markLate(capacity, now)
        val rank = Rank(isLate = false, request.priority)
        val onTime = expectedWait(request.workspace, capacity, now) { it.ahead(rank) }
        if (now + onTime <= request.latestStart) return onTime
        return expectedWait(request.workspace, capacity, now) { it.total }
    }

    /** Returns how long a request of [workspace] with [work] would wait behind all that wait. */
    fun expectedWaitBehindAll(
        workspace: WorkspaceId?,
        capacity: Capacity,
        now: MonotonicTime,
        work: Double,
    ): Duration = expectedWait(workspace, capacity, now) { it.total + work }

    private inline fun expectedWait(
        workspace: WorkspaceId?,
        capacity: Capacity,
        now: MonotonicTime,
        workAhead: (RankedWork) -> Double,
    ): Duration {
        val all = (workAhead(waitingWork) / capacity.workPerSecond).seconds
        val group = groups[keyOf(workspace)] ?: return all
        val own = (workAhead(group.waitingWork) / available(group, capacity, now)).seconds
        return if (isOverShare(group, capacity, now)) own else minOf(all, own)
    }

    /**
     * Returns the requests to refuse as their workspace, which exceeds its share, can't get them started in time.
     *
     * Takes those that would start last: late ones before others, low priorities first, the newest first.
     */
    fun excess(
        capacity: Capacity,
        now: MonotonicTime,
    ): List<WaitingRequest> {
        if (levelOf(capacity, now) == ShareLevel.UNLIMITED) return emptyList()
        return groups.values
            .filter { it.lanes.isNotEmpty() && isOverShare(it, capacity, now) }
            .flatMap { excess(it, available(it, capacity, now), now) }
    }

    private fun excess(
        group: ShareGroup,
        workPerSecond: Double,
        now: MonotonicTime,
    ): List<WaitingRequest> {
        val excess = ArrayList<WaitingRequest>()
        var work = group.waitingWork.total
        for (lane in group.lanes.sortedByDescending { it.rank }) {
            for (waiting in lane.requests.descendingMap().values) {
                val wait = (work / workPerSecond).seconds
                if (now + wait / EXCESS_MARGIN < waiting.request.queueDeadline) return excess
                if (waiting.isHeld) continue
                excess += waiting
                work -= waiting.work
            }
        }
        return excess
    }

    /** Returns, once each, the requests that had to start on time, became late and would miss their deadline at [now]. */
    fun takeMissed(
        capacity: Capacity,
        now: MonotonicTime,
    ): List<WaitingRequest> {
        markLate(capacity, now)
        if (missed.isEmpty()) return emptyList()
        val hopeless = missed.filter { misses(it.request, capacity, now) }
        missed.clear()
        return hopeless
    }

    /** Returns whether [request] would miss its deadline behind all that wait. */
    fun misses(
        request: PlaceRequest,
        capacity: Capacity,
        now: MonotonicTime,
    ): Boolean = now + expectedWaitBehindAll(request.workspace, capacity, now, 0.0) >= request.queueDeadline

    /** Returns the number of workspaces that demand more than their share at [now]; 0 while the capacity suffices. */
    fun overShare(
        capacity: Capacity,
        now: MonotonicTime,
    ): Int = groups.values.count { isOverShare(it, capacity, now) }

    /** Returns whether [workspace] demands more than its share while the capacity does not suffice for all. */
    fun isOverShare(
        workspace: WorkspaceId?,
        capacity: Capacity,
        now: MonotonicTime,
    ): Boolean = groups[keyOf(workspace)]?.let { isOverShare(it, capacity, now) } == true

    /** Forgets the workspaces that asked for nothing for [RETENTION]. */
    fun forgetIdle(now: MonotonicTime) {
        groups.values.removeAll { it.lanes.isEmpty() && it.running == 0 && now - it.lastAskedAt > RETENTION }
    }

    private fun isOverShare(
        group: ShareGroup,
        capacity: Capacity,
        now: MonotonicTime,
    ): Boolean {
        val level = levelOf(capacity, now)
        return level != ShareLevel.UNLIMITED && group.demand.perSecond(now) > level * group.weight
    }

    /** Returns whether [group], which demands more than its share, has as many runs as its share has slots. */
    private fun usesItsSlots(
        group: ShareGroup,
        capacity: Capacity,
        now: MonotonicTime,
    ): Boolean {
        val isBusy = groups.size > 1 && capacity.used >= capacity.slots * MIN_USE
        if (!isBusy || !isOverShare(group, capacity, now)) return false
        return group.running >= maxOf(1.0, slotsOf(group, capacity, now))
    }

    /** Returns the slots of the share of [group], less its part of the reserve for workspaces within their shares. */
    private fun slotsOf(
        group: ShareGroup,
        capacity: Capacity,
        now: MonotonicTime,
    ): Double {
        val slots = capacity.slots * available(group, capacity, now) / capacity.workPerSecond
        val reserve = delayedWithinShare.sum(now) * group.weight / overWeight
        val equalPart = capacity.slots * group.weight / totalWeight
        return maxOf(slots - reserve, slots * MIN_SHARE_LEFT, equalPart)
    }

    /** Returns the work per second that [group] may count on. */
    private fun available(
        group: ShareGroup,
        capacity: Capacity,
        now: MonotonicTime,
    ): Double = minOf(capacity.workPerSecond, levelOf(capacity, now) * group.weight)

    private fun levelOf(
        capacity: Capacity,
        now: MonotonicTime,
    ): Double {
        if (!sharesSlots) return ShareLevel.UNLIMITED
        if (levelAt?.let { (now - it).absoluteValue < LEVEL_VALIDITY } == true) return level
        val demands = groups.values.map { WeightedDemand(it.demand.perSecond(now), it.weight) }
        level = ShareLevel.of(demands, capacity.workPerSecond)
        totalWeight = demands.sumOf { it.weight }
        overWeight =
            demands.filter { it.workPerSecond > level * it.weight }.sumOf { it.weight }.coerceAtLeast(MIN_WEIGHT)
        levelAt = now
        return level
    }

    private fun groupOf(workspace: WorkspaceId?): ShareGroup =
        groups.getOrPut(keyOf(workspace)) {
            val key = keyOf(workspace)
            val weight = if (key == null) 1.0 else weightOf(key).coerceAtLeast(MIN_WEIGHT)
            ShareGroup(key, weight, groupNumber++, DecayedRate(startedAt))
        }

    private fun keyOf(workspace: WorkspaceId?): WorkspaceId? = workspace.takeIf { sharesSlots }

    private fun markLate(
        capacity: Capacity,
        now: MonotonicTime,
    ) {
        while (byLatestStart.isNotEmpty()) {
            val waiting = byLatestStart.first()
            if (!waiting.isLateAt(now)) return
            detach(waiting)
            count(waiting, -1)
            waiting.isLate = true
            count(waiting, 1)
            insert(waiting)
            if (waiting.mustStartOnTime) missed += waiting
            if (!isOverShare(waiting.group, capacity, now)) delayedWithinShare.add(1.0, now)
        }
    }

    private fun insert(waiting: WaitingRequest) {
        if (!waiting.isLate) byLatestStart += waiting
        val group = waiting.group
        var lane = group.lanes.find { it.rank == waiting.rank }
        if (lane == null) {
            lane = Lane(group, waiting.rank)
            group.lanes += lane
            if (!group.isCapped) order.add(lane)
        }
        lane.requests[waiting.number] = waiting
    }

    private fun count(
        waiting: WaitingRequest,
        sign: Int,
    ) {
        if (waiting.isHeld) return
        startable += sign
        for (work in listOf(waitingWork, waiting.group.waitingWork)) {
            if (sign > 0) work.add(waiting.rank, waiting.work) else work.remove(waiting.rank, waiting.work)
        }
    }

    companion object {
        /** The work that a workspace of weight 1 may be granted ahead of others due to its rank: eight usual runs. */
        val MAX_LEAD: Double = 8 * RunWork.UNKNOWN

        /** How long the state of a workspace is kept without requests. */
        val RETENTION: Duration = 10.seconds

        // The level changes with rates that are averaged over about 1 s.
        private val LEVEL_VALIDITY = 20.milliseconds

        // The estimate of a wait follows changes of the load within about 1 s, so a request is only refused early if
        // it would miss its deadline also at a somewhat higher speed.
        private const val EXCESS_MARGIN = 1.25

        // Runs of the load profiles take up to about 1 s, and requests that were delayed once are delayed again about
        // one run later, as the slots then become free at the same times.
        private val RESERVE_TIME = 4.seconds

        // While more of the slots are free, nobody is held back, as the estimate of the capacity may be too low.
        private const val MIN_USE = 0.5

        // The part of its share that a workspace keeps whatever the delays of others.
        private const val MIN_SHARE_LEFT = 0.25
        private const val MIN_WEIGHT = 0.001
    }
}
