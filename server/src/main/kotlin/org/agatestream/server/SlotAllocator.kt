package org.agatestream.server

import kotlinx.coroutines.CompletableDeferred
import kotlinx.coroutines.CoroutineScope
import kotlinx.coroutines.launch
import kotlinx.coroutines.withTimeoutOrNull
import org.agatestream.core.BackendServerId
import org.agatestream.core.CallId
import org.agatestream.core.DispatchAction
import org.agatestream.core.Dispatcher
import org.agatestream.core.ErrorKind
import org.agatestream.core.Failure
import org.agatestream.core.FailureDomainId
import org.agatestream.core.MonotonicTime
import org.agatestream.core.PlaceRequest
import org.agatestream.core.PromptPart
import org.agatestream.core.RunDetail
import org.agatestream.core.RunOutcome
import org.agatestream.core.RunningCall
import org.agatestream.core.SchedulingPolicy
import org.agatestream.core.ServerEntry
import org.agatestream.core.ServiceId
import org.agatestream.core.VmId
import org.agatestream.core.WorkspaceId
import org.agatestream.core.incarnation
import org.agatestream.core.limit.NamedLimits
import org.agatestream.core.limit.ObservedLimit
import org.agatestream.core.limit.ReportedLimit
import org.agatestream.core.placement.ObservedLoad
import org.agatestream.core.placement.PlacementSettings
import org.agatestream.core.placement.PromptShape
import org.agatestream.core.startup.CoordinatorWait
import org.agatestream.core.startup.holdTime
import org.agatestream.platform.ServerReport
import kotlin.time.Duration
import kotlin.time.Duration.Companion.milliseconds
import kotlin.time.Duration.Companion.seconds

/** The requirements of a request on its slot. */
internal class SlotRequirements(
    val service: ServiceId,
    /** The workspace whose rate the request counts against; null once it has been counted. */
    val meteredWorkspace: WorkspaceId?,
    val priority: Int,
    /** When a run must start for its answer to meet the latency target. */
    val latestStart: MonotonicTime,
    /** When the request is refused if it has no slot. */
    val queueDeadline: MonotonicTime,
    /** The prompt parts that other requests may share, in order. */
    val parts: List<PromptPart>,
    /** The workspace that asks, also once its rate was charged. */
    val workspace: WorkspaceId? = meteredWorkspace,
    val prompt: PromptShape = PromptShape.UNKNOWN,
    /** The name of the route. */
    val route: String? = null,
)

/** Permission to run one request at [server]; the holder must release it. */
internal class Slot(
    val number: Long,
    val server: ServerEntry,
    /** The coordinator to notify of the release, which granted the slot or may have done so; null if none was asked. */
    val coordinator: VmId?,
    /** The VM that chose the server: the coordinator, or this VM if none answered. */
    val chosenBy: VmId,
)

/** The outcome of [SlotAllocator.acquire]. */
internal sealed interface Placement {
    class Granted(
        val slot: Slot,
    ) : Placement

    class Refused(
        val failure: Failure,
        /** The VM that refused: the coordinator, or this VM if none answered. */
        val decidedBy: VmId,
    ) : Placement
}

/** A decision on a slot and the VM that made it. */
private class AttributedDecision(
    val decision: PlaceDecision,
    val decidedBy: VmId,
)

/** Acquires slots from the coordinator or, while none is reachable, from this VM's share of each rate. */
internal class SlotAllocator(
    private val self: VmId,
    private val domain: FailureDomainId,
    private val network: PeerTransport,
    private val view: PlatformView,
    private val scope: CoroutineScope,
    private val membership: FleetMembership,
    private val parts: PromptPartWatch,
    private val role: () -> CoordinatorRole?,
    private val leaving: LeavingServerWatch = LeavingServerWatch(view),
    policy: SchedulingPolicy = SchedulingPolicy(),
) {
    private val pendingDecisions = HashMap<Long, CompletableDeferred<PlaceDecision>>()
    private val runs = LinkedHashMap<Long, RunningCall>()

    // Run number to the time when it was sent, for runs without a first event.
    private val awaitingFirstEvent = HashMap<Long, MonotonicTime>()
    private var coordinatorHeard = CompletableDeferred<Unit>()
    private var heldRequests = 0
    private val loads = ReportedLoads()
    private val limits = NamedLimits()
    private val localDispatcher =
        Dispatcher(nextNumber = 0, suspects = parts.suspects, policy = policy, gate = view.versions)
    private var nextNumber = 1L

    /** Returns the runs in flight at this VM, with the time that each has waited for its first event at [now]. */
    fun runningCalls(now: MonotonicTime): List<RunningCall> =
        runs.values.map { run ->
            run.copy(silentMillis = awaitingFirstEvent[run.number]?.let { (now - it).inWholeMilliseconds })
        }

    /** Records that the run was sent and awaits its first event. */
    fun onSent(
        number: Long,
        now: MonotonicTime,
    ) {
        if (number in runs) awaitingFirstEvent[number] = now
    }

    /** Records what [server] said about itself in a response. */
    fun onServerReport(
        server: BackendServerId,
        report: ServerReport,
        now: MonotonicTime,
    ) {
        report.load?.let { load ->
            loads.add(server, load, now)
            localDispatcher.onServerLoads(listOf(ObservedLoad(server, load, ageMillis = 0)), now)
        }
        val incarnation = view.registry.find(server)?.incarnation ?: return
        limits.onResponse(incarnation, report.requestLimit, now)
        localDispatcher.onServerLimits(listOf(ObservedLimit(incarnation, ReportedLimit(report.requestLimit))), now)
    }

    /** Returns the limits that servers named to this VM and that the coordinator may not know. */
    fun unreportedLimits(now: MonotonicTime): List<ObservedLimit> = limits.unreported(now)

    /** Records that the coordinator has received [reported]. */
    fun onLimitsReported(reported: List<ObservedLimit>) = limits.onReported(reported)

    /** Returns the loads that servers reported since the last call, for the coordinator. */
    fun takeReportedLoads(now: MonotonicTime): List<ObservedLoad> = loads.take(now)

    /** Records the first event of a run. */
    fun onFirstEvent(
        number: Long,
        now: MonotonicTime,
    ) {
        val sentAt = awaitingFirstEvent.remove(number)
        val run = runs[number] ?: return
        val waited = sentAt?.takeIf { view.versions.hasOpenOrders }?.let { (now - it).inWholeMilliseconds }
        runs[number] = run.copy(hasBegun = true, firstEventMillis = waited)
        parts.onSoundStart(run.parts, now)
    }

    /** Looks for the reason why the run, sent to [server] at [sentAt], was lost. */
    suspend fun onLost(
        number: Long,
        server: ServerEntry,
        sentAt: MonotonicTime,
    ) {
        runs[number]?.let { parts.onLost(it, server, sentAt) }
    }

    /** Records the prompt parts of an item's run and the tokens that it is expected to occupy. */
    fun onItemParts(
        number: Long,
        shared: List<PromptPart>,
        tokens: Int,
    ) {
        runs.computeIfPresent(number) { _, call -> call.copy(parts = shared, tokens = tokens) }
    }

    /** Applies a change of the manifest or of the servers to the local dispatcher. */
    fun onViewChanged(now: MonotonicTime) {
        view.manifest?.let { localDispatcher.onManifest(it) }
        localDispatcher.onServers(view.registry.usable(), now)
    }

    /** Resumes the queued request that the decision is for. */
    fun onDecision(notice: DecisionNotice) {
        pendingDecisions.remove(notice.number)?.complete(notice.decision)
    }

    /** Requeues all waiting requests after a change of coordinator. */
    fun onCoordinatorChanged() {
        limits.onCoordinatorChanged()
        val all = pendingDecisions.values.toList()
        pendingDecisions.clear()
        all.forEach { it.complete(PlaceDecision.Queued) }
    }

    /** Records the run of an item that the coordinator placed at this VM. */
    fun onItemStarted(call: RunningCall) {
        runs[call.number] = call
    }

    /** Waits for a slot at a server outside [excluded] and returns it, or the reason for a refusal. */
    suspend fun acquire(
        requirements: SlotRequirements,
        excluded: Set<BackendServerId>,
    ): Placement {
        var meteredWorkspace = requirements.meteredWorkspace
        val excludedServers = HashSet(excluded)
        excludedServers += leaving.unknownToCoordinator(MonotonicTime.now())
        repeat(MAX_DECISIONS) {
            val number = nextNumber++
            val coordinator = membership.reachableCoordinator()
            val decided = decide(number, requirements, meteredWorkspace, excludedServers, coordinator)
            when (val decision = decided.decision) {
                is PlaceDecision.Placed -> {
                    meteredWorkspace = null
                    val server = view.registry.usable(decision.server)?.entry
                    val isServed = server != null && server.service == requirements.service
                    // The coordinator may not know yet that the version was rolled back.
                    if (isServed && !view.versions.isRolledBack(server)) {
                        runs[number] =
                            RunningCall(
                                number,
                                server.id,
                                parts = requirements.parts,
                                tokens = requirements.prompt.totalTokens,
                            )
                        return Placement.Granted(Slot(number, server, coordinator, decided.decidedBy))
                    }
                    // This VM and the coordinator disagree on the server, as one has older data; it must not be used.
                    sendRelease(coordinator, number, RunOutcome.STOPPED, null, emptyList())
                    excludedServers += decision.server
                }

                is PlaceDecision.Refused -> {
                    val retryAfter = decision.retryAfterMillis.milliseconds
                    if (coordinator == null && awaitCoordinator(decision.kind, retryAfter, requirements)) return@repeat
                    val failure = Failure(decision.kind, "no slot: ${decision.kind.code}", retryAfter)
                    return Placement.Refused(failure, decided.decidedBy)
                }

                is PlaceDecision.Queued -> {
                    meteredWorkspace = null
                    if (MonotonicTime.now() >= requirements.queueDeadline) return refuseNoCapacity()
                }
            }
        }
        return refuseNoCapacity()
    }

    /** Resumes the requests that wait for a coordinator. */
    fun onCoordinatorHeard() {
        coordinatorHeard.complete(Unit)
        coordinatorHeard = CompletableDeferred()
    }

    /** Waits for a coordinator, or for this VM's own share; returns false if the request must be refused at once. */
    private suspend fun awaitCoordinator(
        refusal: ErrorKind,
        retryAfter: Duration,
        requirements: SlotRequirements,
    ): Boolean {
        val now = MonotonicTime.now()
        val missingFor = membership.coordinatorMissingFor(now)
        val wait = CoordinatorWait(refusal, retryAfter, requirements.queueDeadline - now, missingFor, heldRequests)
        val atMost = wait.holdTime() ?: return false
        val heard = coordinatorHeard
        heldRequests++
        try {
            withTimeoutOrNull(atMost) { heard.await() }
        } finally {
            heldRequests--
        }
        return MonotonicTime.now() < requirements.queueDeadline
    }

    /** Releases the slot. */
    fun release(
        slot: Slot,
        outcome: RunOutcome,
        firstEvent: Duration?,
        detail: RunDetail = RunDetail.NONE,
    ) {
        localDispatcher.release(CallId(self, slot.number), outcome, firstEvent, MonotonicTime.now(), detail)
        sendRelease(slot.coordinator, slot.number, outcome, firstEvent, removeRun(slot.number, outcome), detail)
    }

    /** Releases the slot of an item's run. */
    fun releaseItem(
        number: Long,
        outcome: RunOutcome,
        firstEvent: Duration?,
        detail: RunDetail = RunDetail.NONE,
    ) {
        val shared = removeRun(number, outcome)
        sendRelease(membership.reachableCoordinator(), number, outcome, firstEvent, shared, detail)
    }

    /** Removes a run that ended and returns its prompt parts. */
    private fun removeRun(
        number: Long,
        outcome: RunOutcome,
    ): List<PromptPart> {
        awaitingFirstEvent -= number
        val shared = runs.remove(number)?.parts.orEmpty()
        if (outcome == RunOutcome.ANSWERED) parts.onSoundStart(shared, MonotonicTime.now())
        return shared
    }

    private suspend fun decide(
        number: Long,
        requirements: SlotRequirements,
        meteredWorkspace: WorkspaceId?,
        excludedServers: Set<BackendServerId>,
        coordinator: VmId?,
    ): AttributedDecision {
        val now = MonotonicTime.now()
        val queuedDecision = CompletableDeferred<PlaceDecision>()
        pendingDecisions[number] = queuedDecision
        var isFinal = false
        try {
            val request =
                PlaceSlotRequest(
                    number = number,
                    service = requirements.service,
                    meteredWorkspace = meteredWorkspace,
                    priority = requirements.priority,
                    onTimeMillis = (requirements.latestStart - now).inWholeMilliseconds,
                    giveUpMillis = (requirements.queueDeadline - now).inWholeMilliseconds,
                    excluded = excludedServers,
                    parts = requirements.parts,
                    facts = parts.factsOn(requirements.parts, now),
                    workspace = requirements.workspace,
                    origin = domain,
                    prompt = requirements.prompt,
                    route = requirements.route,
                )
            val immediate = requestSlot(coordinator, request, now)
            val decision =
                when (immediate) {
                    null -> {
                        placeLocally(number, requirements, meteredWorkspace, excludedServers, now)
                    }

                    is PlaceDecision.Queued -> {
                        withTimeoutOrNull(requirements.queueDeadline + DECISION_TIMEOUT_MARGIN - now) {
                            queuedDecision.await()
                        }
                    }

                    is PlaceDecision.Placed, is PlaceDecision.Refused -> {
                        immediate
                    }
                }
            isFinal = decision != null && decision !is PlaceDecision.Queued
            val decidedBy = if (immediate == null || coordinator == null) self else coordinator
            return AttributedDecision(decision ?: PlaceDecision.Queued, decidedBy)
        } finally {
            pendingDecisions -= number
            if (!isFinal) sendRelease(coordinator, number, RunOutcome.STOPPED, null, emptyList())
        }
    }

    private suspend fun requestSlot(
        coordinator: VmId?,
        request: PlaceSlotRequest,
        now: MonotonicTime,
    ): PlaceDecision? {
        if (coordinator == null) return null
        val own = role()
        if (coordinator == self && own != null) return own.place(self, request, now)
        val answer = network.call(coordinator, request, REQUEST_TIMEOUT)
        if (answer == null) membership.onRequestUnanswered(coordinator, now)
        return (answer as? PlaceSlotResponse)?.decision
    }

    private fun placeLocally(
        number: Long,
        requirements: SlotRequirements,
        meteredWorkspace: WorkspaceId?,
        excludedServers: Set<BackendServerId>,
        now: MonotonicTime,
    ): PlaceDecision {
        val vms = maxOf(1, membership.listedCount)
        localDispatcher.onFollowers(listOf(self), vms, SPARE_BURST_REQUESTS / vms)
        localDispatcher.onReport(self, runningCalls(now), emptyList(), now)
        val call = CallId(self, number)
        // This VM does not learn of slots that other VMs release, so a request that finds none is refused at once.
        val request =
            PlaceRequest(
                call = call,
                service = requirements.service,
                meteredWorkspace = meteredWorkspace,
                priority = requirements.priority,
                latestStart = requirements.latestStart,
                queueDeadline = now + LOCAL_QUEUE_TIME,
                excluded = excludedServers,
                parts = requirements.parts,
                workspace = requirements.workspace,
                origin = domain,
                prompt = requirements.prompt,
                route = requirements.route,
            )
        val actions = localDispatcher.place(request, now) + localDispatcher.tick(now + LOCAL_QUEUE_TIME)
        for (action in actions) {
            if (action is DispatchAction.Place && action.call == call) return PlaceDecision.Placed(action.server)
            if (action is DispatchAction.Refuse && action.call == call) {
                return PlaceDecision.Refused(action.kind, action.retryAfter.inWholeMilliseconds)
            }
        }
        return PlaceDecision.Refused(ErrorKind.NO_CAPACITY, RETRY_DELAY.inWholeMilliseconds)
    }

    private fun sendRelease(
        to: VmId?,
        number: Long,
        outcome: RunOutcome,
        firstEvent: Duration?,
        shared: List<PromptPart>,
        detail: RunDetail = RunDetail.NONE,
    ) {
        if (to == null) return
        val facts = parts.factsOn(shared, MonotonicTime.now())
        val request = ReleaseSlotRequest(number, outcome, firstEvent?.inWholeMilliseconds, facts, detail)
        val own = role()
        if (to == self) {
            own?.release(self, request, MonotonicTime.now())
        } else {
            scope.launch { network.call(to, request, REQUEST_TIMEOUT) }
        }
    }

    private fun refuseNoCapacity(): Placement =
        Placement.Refused(Failure(ErrorKind.NO_CAPACITY, "no server has a free slot", RETRY_DELAY), self)

    private companion object {
        const val MAX_DECISIONS = 5

        // About thirty times the round trip to another failure domain; a slower coordinator is not worth waiting for.
        val REQUEST_TIMEOUT = 100.milliseconds
        val DECISION_TIMEOUT_MARGIN = 100.milliseconds

        // The rules tolerate 20 requests beyond rate and burst over all VMs; a share of a small burst admits nothing.
        const val SPARE_BURST_REQUESTS = 15.0
        val LOCAL_QUEUE_TIME = 1.milliseconds
        val RETRY_DELAY = 1.seconds
    }
}
