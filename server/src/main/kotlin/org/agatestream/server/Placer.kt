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
import org.agatestream.core.MonotonicTime
import org.agatestream.core.PlaceRequest
import org.agatestream.core.RunOutcome
import org.agatestream.core.RunningCall
import org.agatestream.core.ServerEntry
import org.agatestream.core.ServiceId
import org.agatestream.core.VmId
import org.agatestream.core.WorkspaceId
import kotlin.time.Duration
import kotlin.time.Duration.Companion.milliseconds
import kotlin.time.Duration.Companion.seconds

/** What a request needs of a slot. */
internal class SlotNeed(
    val service: ServiceId,
    /** The workspace whose rate it counts against; null once it was counted. */
    val metered: WorkspaceId?,
    val priority: Int,
    val onTimeBy: MonotonicTime,
    val giveUpAt: MonotonicTime,
)

/** The right to run one request at [server]; it must be released. */
internal class Slot(
    val number: Long,
    val server: ServerEntry,
    /** The coordinator that is told of its release: it gave the slot, or was asked and may have. */
    val coordinator: VmId?,
    /** Who chose the server: the coordinator, or this VM if none answered. */
    val chosenBy: VmId,
)

/** What came of the search for a slot. */
internal sealed interface Placement {
    class Given(
        val slot: Slot,
    ) : Placement

    class Refused(
        val failure: Failure,
        /** Who refused: the coordinator, or this VM if none answered. */
        val by: VmId,
    ) : Placement
}

/** A decision on a slot and the VM that took it. */
private class Decided(
    val decision: PlaceDecision,
    val by: VmId,
)

/** Gets slots from the coordinator, or chooses by this VM's own part of each rate while there is none. */
internal class Placer(
    private val self: VmId,
    private val network: PeerTransport,
    private val view: PlatformView,
    private val scope: CoroutineScope,
    private val coordinators: Coordinators,
    private val role: () -> CoordinatorRole?,
) {
    private val waiting = HashMap<Long, CompletableDeferred<PlaceDecision>>()
    private val running = LinkedHashMap<Long, RunningCall>()

    // Runs that wait for their first event.
    private val sentAt = HashMap<Long, MonotonicTime>()
    private val local = Dispatcher(nextNumber = 0)
    private var nextNumber = 1L

    /** All runs that this VM carries, with what is known of their events at [now]. */
    fun runningCalls(now: MonotonicTime): List<RunningCall> =
        running.values.map { it.copy(silentMillis = sentAt[it.number]?.let { at -> (now - at).inWholeMilliseconds }) }

    /** Notes that the run was sent and that an event is due. */
    fun onSent(
        number: Long,
        now: MonotonicTime,
    ) {
        if (number in running) sentAt[number] = now
    }

    /** Notes the first event of a run. */
    fun onBegun(number: Long) {
        sentAt -= number
        running.computeIfPresent(number) { _, call -> call.copy(hasBegun = true) }
    }

    /** Applies a change of the manifest or of the servers. */
    fun onView(now: MonotonicTime) {
        view.manifest?.let { local.onManifest(it) }
        local.onServers(view.registry.usable(), now)
    }

    /** Completes the wait for a request's decision. */
    fun onDecision(ask: DecisionAsk) {
        waiting.remove(ask.number)?.complete(ask.decision)
    }

    /** Decides the waiting requests anew when another VM coordinates. */
    fun onCoordinator() {
        val all = waiting.values.toList()
        waiting.clear()
        all.forEach { it.complete(PlaceDecision.Queued) }
    }

    /** Notes the run of an item that the coordinator placed. */
    fun onItemStarted(call: RunningCall) {
        running[call.number] = call
    }

    /** Returns a slot at a server other than [excluded] as soon as there is one, or why there is none. */
    suspend fun acquire(
        need: SlotNeed,
        excluded: Set<BackendServerId>,
    ): Placement {
        var metered = need.metered
        val avoided = HashSet(excluded)
        repeat(MAX_DECISIONS) {
            val number = nextNumber++
            val from = coordinators.reachable()
            val decided = decide(number, need, metered, avoided, from)
            when (val decision = decided.decision) {
                is PlaceDecision.Placed -> {
                    metered = null
                    val server = view.registry.usable(decision.server)?.entry
                    if (server != null && server.service == need.service) {
                        running[number] = RunningCall(number, server.id)
                        return Placement.Given(Slot(number, server, from, decided.by))
                    }
                    // This VM knows better, or not yet; either way it must not send there.
                    tellReleased(from, number, RunOutcome.STOPPED, null)
                    avoided += decision.server
                }

                is PlaceDecision.Refused -> {
                    val retryAfter = decision.retryAfterMillis.milliseconds
                    val failure = Failure(decision.kind, "no slot: ${decision.kind.code}", retryAfter)
                    return Placement.Refused(failure, decided.by)
                }

                is PlaceDecision.Queued -> {
                    metered = null
                    if (MonotonicTime.now() >= need.giveUpAt) return noCapacity()
                }
            }
        }
        return noCapacity()
    }

    /** Frees the slot. */
    fun release(
        slot: Slot,
        outcome: RunOutcome,
        firstEvent: Duration?,
    ) {
        running -= slot.number
        sentAt -= slot.number
        local.release(CallId(self, slot.number), outcome, firstEvent, MonotonicTime.now())
        tellReleased(slot.coordinator, slot.number, outcome, firstEvent)
    }

    /** Frees the slot of an item's run. */
    fun releaseItem(
        number: Long,
        outcome: RunOutcome,
        firstEvent: Duration?,
    ) {
        running -= number
        sentAt -= number
        tellReleased(coordinators.reachable(), number, outcome, firstEvent)
    }

    private suspend fun decide(
        number: Long,
        need: SlotNeed,
        metered: WorkspaceId?,
        avoided: Set<BackendServerId>,
        from: VmId?,
    ): Decided {
        val now = MonotonicTime.now()
        val later = CompletableDeferred<PlaceDecision>()
        waiting[number] = later
        var isDecided = false
        try {
            val ask =
                PlaceAsk(
                    number = number,
                    service = need.service,
                    metered = metered,
                    priority = need.priority,
                    onTimeMillis = (need.onTimeBy - now).inWholeMilliseconds,
                    giveUpMillis = (need.giveUpAt - now).inWholeMilliseconds,
                    excluded = avoided,
                )
            val first = ask(from, ask, now)
            val decision =
                when (first) {
                    null -> {
                        placeLocally(number, need, metered, avoided, now)
                    }

                    is PlaceDecision.Queued -> {
                        withTimeoutOrNull(need.giveUpAt + DECISION_MARGIN - now) { later.await() }
                    }

                    is PlaceDecision.Placed, is PlaceDecision.Refused -> {
                        first
                    }
                }
            isDecided = decision != null && decision !is PlaceDecision.Queued
            val by = if (first == null || from == null) self else from
            return Decided(decision ?: PlaceDecision.Queued, by)
        } finally {
            waiting -= number
            if (!isDecided) tellReleased(from, number, RunOutcome.STOPPED, null)
        }
    }

    private suspend fun ask(
        from: VmId?,
        ask: PlaceAsk,
        now: MonotonicTime,
    ): PlaceDecision? {
        if (from == null) return null
        val own = role()
        if (from == self && own != null) return own.place(self, ask, now)
        val answer = network.ask(from, ask, ASK_TIMEOUT)
        if (answer == null) coordinators.onUnanswered(from, now)
        return (answer as? PlaceAnswer)?.decision
    }

    private fun placeLocally(
        number: Long,
        need: SlotNeed,
        metered: WorkspaceId?,
        avoided: Set<BackendServerId>,
        now: MonotonicTime,
    ): PlaceDecision {
        val vms = maxOf(1, coordinators.listed)
        local.onFollowers(listOf(self), vms, SPARE_REQUESTS / vms)
        local.onReport(self, runningCalls(now), emptyList(), now)
        val call = CallId(self, number)
        // Nothing tells this VM of a slot that others free, so a request that finds none does not wait.
        val request =
            PlaceRequest(call, need.service, metered, need.priority, need.onTimeBy, now + LOCAL_WAIT, avoided)
        val actions = local.place(request, now) + local.tick(now + LOCAL_WAIT)
        for (action in actions) {
            if (action is DispatchAction.Place && action.call == call) return PlaceDecision.Placed(action.server)
            if (action is DispatchAction.Refuse && action.call == call) {
                return PlaceDecision.Refused(action.kind, action.retryAfter.inWholeMilliseconds)
            }
        }
        return PlaceDecision.Refused(ErrorKind.NO_CAPACITY, LOCAL_RETRY.inWholeMilliseconds)
    }

    private fun tellReleased(
        to: VmId?,
        number: Long,
        outcome: RunOutcome,
        firstEvent: Duration?,
    ) {
        if (to == null) return
        val ask = ReleaseAsk(number, outcome, firstEvent?.inWholeMilliseconds)
        val own = role()
        if (to == self) {
            own?.release(self, ask, MonotonicTime.now())
        } else {
            scope.launch { network.ask(to, ask, ASK_TIMEOUT) }
        }
    }

    private fun noCapacity(): Placement =
        Placement.Refused(Failure(ErrorKind.NO_CAPACITY, "no server has a free slot", LOCAL_RETRY), self)

    private companion object {
        const val MAX_DECISIONS = 5

        // Some thirty times the way to another failure domain and back; a VM that is slower is not worth the wait.
        val ASK_TIMEOUT = 100.milliseconds
        val DECISION_MARGIN = 100.milliseconds

        // The rules leave 20 requests beyond a rate and burst for all VMs; a part of a small burst lets nothing through.
        const val SPARE_REQUESTS = 15.0
        val LOCAL_WAIT = 1.milliseconds
        val LOCAL_RETRY = 1.seconds
    }
}
