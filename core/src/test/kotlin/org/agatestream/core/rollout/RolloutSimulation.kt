package org.agatestream.core.rollout

import org.agatestream.core.BackendServerId
import org.agatestream.core.CallId
import org.agatestream.core.DispatchAction
import org.agatestream.core.Dispatcher
import org.agatestream.core.FailureDomainId
import org.agatestream.core.ItemId
import org.agatestream.core.ItemOutcome
import org.agatestream.core.ItemRef
import org.agatestream.core.JobId
import org.agatestream.core.JobLifetime
import org.agatestream.core.JobPlan
import org.agatestream.core.JobRules
import org.agatestream.core.Manifest
import org.agatestream.core.ManifestRoute
import org.agatestream.core.MonotonicTime
import org.agatestream.core.PlaceRequest
import org.agatestream.core.PlannedItem
import org.agatestream.core.RouteKind
import org.agatestream.core.RouteShare
import org.agatestream.core.RunDetail
import org.agatestream.core.RunOutcome
import org.agatestream.core.RunningCall
import org.agatestream.core.ServerEntry
import org.agatestream.core.ServiceId
import org.agatestream.core.ServiceSpec
import org.agatestream.core.StoreTime
import org.agatestream.core.UsableServer
import org.agatestream.core.VmId
import java.util.PriorityQueue
import kotlin.random.Random
import kotlin.time.Duration
import kotlin.time.Duration.Companion.milliseconds
import kotlin.time.Duration.Companion.seconds
import kotlin.time.DurationUnit

/** What a server of the new version does wrong in one run. */
internal data class Defect(
    val failureShare: Double = 0.0,
    val slowShare: Double = 0.0,
    val slowFactor: Double = 4.0,
)

/** The conditions under which a version misbehaves. */
internal data class RunConditions(
    /** The time since the order. */
    val age: Duration,
    val running: Int,
    val slots: Int,
    val route: String,
)

internal enum class StoreState { UP, AWAY, LOSES_ANSWERS }

/** A fleet with one service, servers of two versions and one order; all times are virtual. */
internal class RolloutSimulation(
    private val seed: Int,
    private val perSecond: Double = 150.0,
    private val duration: Duration = 12.seconds,
    private val oldServers: Int = 20,
    private val newServers: Int = 20,
    private val items: Int = 0,
    private val defect: (RunConditions) -> Defect? = { null },
    /** How much longer all runs take at a time since the order. */
    private val shortage: (Duration) -> Double = { 1.0 },
    private val storeState: (Duration) -> StoreState = { StoreState.UP },
    private val coordinatorReplacedAt: Duration? = null,
    private val withdrawnAt: Duration? = null,
) {
    private class Run(
        val call: CallId,
        val server: ServerEntry,
        val sentAt: MonotonicTime,
        val endAt: MonotonicTime,
        val firstEvent: Duration,
        val pause: Long,
        val isFailed: Boolean,
        val isBad: Boolean,
        val item: ItemRef?,
    )

    private val random = Random(seed)
    private val zero = MonotonicTime.ZERO + 100.seconds
    private var now = zero
    private val orderedAt = zero + WARM_UP
    private val entries = (1..oldServers).map { entryOf(it, "v1") } + (1..newServers).map { entryOf(100 + it, "v2") }
    private val order = RolloutOrder(SERVICE, ServerVersion("v2"), duration)
    private var book = bookOf()
    private var rollouts = Rollouts(book, "vm-1")
    private var dispatcher = dispatcherOf(1L shl 40)
    private val runs = PriorityQueue<Run>(compareBy { it.endAt })
    private val lost = HashSet<CallId>()
    private val running = HashMap<BackendServerId, Int>()
    private val routes = HashMap<CallId, String>()
    private var nextCall = 1L
    private var storedRecord: RolloutRecord? = null
    private var storedStatus: RolloutStatus? = null
    private val badAt = ArrayList<MonotonicTime>()

    /** Changes of stage, for messages of failed checks. */
    val changes = ArrayList<String>()
    var requests = 0
    var sentToNew = 0
    var itemsAtNew = 0
    var sentBeforeOrder = 0
    var failedOfGood = 0
    var lastSentToNew: MonotonicTime? = null
    var endedAfter: Duration? = null
    var runsAtOldWhenCompleted = 0
    val outcome: RolloutOutcome? get() = storedStatus?.outcome
    val fiftiethBadAt: MonotonicTime? get() = badAt.getOrNull(49)

    /** The most runs that a bad version may get. */
    val allowed: Int get() = requests / 10 + 50

    fun run(): RolloutSimulation {
        if (items > 0) addJob()
        var next = now
        while (now < orderedAt + duration + AFTER) {
            now += STEP
            if (now - STEP < orderedAt && now >= orderedAt) give(listOf(order))
            withdrawnAt?.let { if (now - STEP < orderedAt + it && now >= orderedAt + it) give(emptyList()) }
            coordinatorReplacedAt?.let {
                if (now - STEP < orderedAt + it &&
                    now >= orderedAt + it
                ) {
                    replaceCoordinator()
                }
            }
            finishRuns()
            while (next <= now) {
                arrive()
                next +=
                    (
                        -Math.log(
                            1 - random.nextDouble(),
                        ) / perSecond * 1_000_000
                    ).toLong().let { it / 1000.0 }.milliseconds
            }
            if ((now - zero).inWholeMilliseconds % 50 == 0L) execute(dispatcher.tick(now))
            if ((now - zero).inWholeMilliseconds % REPORT_MILLIS == 0L) report()
            if ((now - zero).inWholeMilliseconds % 100 == 0L) step()
        }
        return this
    }

    private fun give(orders: List<RolloutOrder>) {
        book.onOrders(orders)
        rollouts.onOrders(now).forEach { log(it) }
    }

    private fun step() {
        val age = now - orderedAt
        val state = storeState(age)
        if (state != StoreState.AWAY) {
            rollouts.unloaded.forEach { rollouts.load(it, storedRecord, storedStatus, storeTime(), now) }
        }
        val rollout = rollouts.all[SERVICE] ?: return
        val situation = RolloutSituation(dispatcher.runsAt(rollout.oldServers), dispatcher.demand(SERVICE), true)
        rollouts.advance(SERVICE, situation, now)?.let { log(it) }
        if (rollout.mustStopItems(now)) execute(dispatcher.stopItemsAt(rollout.oldServers, "rollout"))
        rollout.due(now)?.let { write(rollout, it, state) }
        rollouts.closeFinished()
    }

    private fun write(
        rollout: Rollout,
        record: RolloutRecord,
        state: StoreState,
    ) {
        if (state == StoreState.AWAY) return
        val isChange = storedStatus?.outcome != record.stage.outcome
        storedRecord = record
        storedStatus = RolloutStatus(record.stage.outcome, record.target)
        if (isChange && record.stage.outcome != RolloutOutcome.RUNNING) {
            endedAfter = now - orderedAt
            runsAtOldWhenCompleted = runs.count { it.server.version == "v1" && it.call !in lost }
        }
        // A lost answer is found by reading back, one step later at the earliest.
        if (state == StoreState.LOSES_ANSWERS && random.nextBoolean()) return
        rollout.onStored(record, now)?.let { log(it) }
    }

    private fun log(change: StageChange) {
        changes +=
            "${change.age}: ${change.from} to ${change.to} ${change.reason} ${change.exposed}/${change.requests} ${change.verdict}"
    }

    private fun replaceCoordinator() {
        book = bookOf()
        rollouts = Rollouts(book, "vm-2")
        book.onOrders(listOf(order))
        rollouts.onServers(entries)
        rollouts.load(order, storedRecord, storedStatus, storeTime(), now)
        dispatcher = dispatcherOf(1L shl 41)
        report()
    }

    private fun report() {
        val active = runs.filter { it.call !in lost }
        val reported =
            active.map { run ->
                val waited = now - run.sentAt
                val hasBegun = waited >= run.firstEvent
                RunningCall(
                    number = run.call.number,
                    server = run.server.id,
                    item = run.item,
                    hasBegun = hasBegun,
                    silentMillis = if (hasBegun) null else waited.inWholeMilliseconds,
                    firstEventMillis = if (hasBegun) run.firstEvent.inWholeMilliseconds else null,
                )
            }
        execute(dispatcher.onReport(VM, reported, emptyList(), now))
    }

    private fun storeTime(): StoreTime = StoreTime((now - zero).inWholeMilliseconds)

    private fun arrive() {
        val call = CallId(VM, nextCall++)
        val route = if (random.nextInt(4) == 0) "rare" else "common"
        if (now >= orderedAt && now < orderedAt + duration) requests++
        routes[call] = route
        val request =
            PlaceRequest(call, SERVICE, null, 0, now + 200.milliseconds, now + 3.seconds, emptySet(), route = route)
        execute(dispatcher.place(request, now))
    }

    private fun execute(actions: List<DispatchAction>) {
        for (action in actions) {
            when (action) {
                is DispatchAction.Place -> {
                    start(action.call, action.server, null)
                }

                is DispatchAction.StartItem -> {
                    start(action.call, action.server, action.item)
                }

                is DispatchAction.StopItem -> {
                    stop(action.call)
                }

                is DispatchAction.Refuse, is DispatchAction.GiveUpItem -> {}
            }
        }
    }

    private fun start(
        call: CallId,
        id: BackendServerId,
        item: ItemRef?,
    ) {
        val server = entries.first { it.id == id }
        val isNew = server.version == "v2"
        val busy = running.merge(id, 1, Int::plus)!!
        val age = now - orderedAt
        if (isNew && now < orderedAt) sentBeforeOrder++
        if (isNew) {
            if (age < duration) sentToNew++
            if (item != null) itemsAtNew++
            lastSentToNew = now
        }
        if (item != null && age >= Duration.ZERO && age < duration) requests++
        val conditions = RunConditions(age, busy, server.slots, routes[call] ?: "batch")
        val fault = if (isNew) defect(conditions) else null
        val isFailed = random.nextDouble() < (fault?.failureShare ?: USUAL_FAILURES)
        val isSlow = fault != null && random.nextDouble() < fault.slowShare
        val steady = (1 + 0.3 * busy / server.slots) * (if (isSlow) fault!!.slowFactor else 1.0)
        val factor = speed(server, now) * shortage(age) * steady
        val length = if (item == null) 0.6 + 0.8 * random.nextDouble() else 6.0
        val first = 60.0 * factor * (0.8 + 0.4 * random.nextDouble())
        val total = if (isFailed) first else first + streamMillis(server, 600.0 * length * steady)
        val pause = (40 * factor * (0.9 + 0.3 * random.nextDouble())).toLong()
        val isBad = fault != null && (isFailed || isSlow)
        runs += Run(call, server, now, now + total.milliseconds, first.milliseconds, pause, isFailed, isBad, item)
    }

    /** Returns how long [work] milliseconds of events take at [server] from now on. */
    private fun streamMillis(
        server: ServerEntry,
        work: Double,
    ): Double {
        var left = work
        var at = now
        while (left > 0) {
            left -= SLICE.inWholeMilliseconds / (speed(server, at) * shortage(at - orderedAt))
            at += SLICE
        }
        return (at - now).toDouble(DurationUnit.MILLISECONDS)
    }

    /** Returns how much longer events take at [server] because of its domain and of others on its host. */
    private fun speed(
        server: ServerEntry,
        at: MonotonicTime,
    ): Double {
        val span = (at - zero).inWholeMilliseconds / 600
        val isDisturbed = Random(seed * 31 + server.id.value.hashCode() * 7 + span).nextInt(100) < 15
        return (if (server.failureDomain.value == "slow") 1.8 else 0.83) * (if (isDisturbed) 2.5 else 1.0)
    }

    private fun stop(call: CallId) {
        val run = runs.firstOrNull { it.call == call && call !in lost } ?: return
        lost += call
        running.merge(run.server.id, -1, Int::plus)
        run.item?.let { execute(dispatcher.onItem(it, call, ItemOutcome.INTERRUPTED, now)) }
        execute(dispatcher.release(call, RunOutcome.STOPPED, null, now))
    }

    private fun finishRuns() {
        while (runs.isNotEmpty() && runs.peek().endAt <= now) {
            val run = runs.poll()
            if (run.call in lost) continue
            running.merge(run.server.id, -1, Int::plus)
            if (run.isBad && now >= orderedAt) badAt += now
            val detail = RunDetail(isServerError = run.isFailed, longestPauseMillis = run.pause)
            val first = if (run.isFailed) null else run.firstEvent
            run.item?.let { execute(dispatcher.onItem(it, run.call, ItemOutcome.LISTED, now)) }
            execute(dispatcher.release(run.call, RunOutcome.ANSWERED, first, now, detail))
        }
    }

    private fun addJob() {
        val planned = (1..items).map { PlannedItem(ItemId("i$it"), "/batch/$it") }
        val lifetime = JobLifetime(deadline = zero + 18.seconds, expiresAt = zero + 90.seconds)
        execute(dispatcher.onJob(JobPlan(JobId("j"), null, "h", lifetime, 1, null, planned), emptySet(), now))
    }

    private fun bookOf(): VersionBook = VersionBook().also { it.onServers(entries) }

    private fun dispatcherOf(firstItem: Long): Dispatcher {
        rollouts.onServers(entries)
        val created = Dispatcher(nextNumber = firstItem, random = Random(seed), gate = rollouts)
        val batch =
            ManifestRoute(
                name = "batch",
                host = "h",
                prefix = "/batch/",
                kind = RouteKind.BATCH,
                shares = listOf(RouteShare(SERVICE, 1)),
                timeout = 5.seconds,
                latencyTarget = 300.milliseconds,
                priority = 2,
                maxAttempts = 3,
                isPublic = false,
                isResumable = false,
                jobs = JobRules(18.seconds, 60.seconds, 10_000),
            )
        created.onManifest(Manifest(1, listOf(batch), mapOf(SERVICE to ServiceSpec(SERVICE, 0.0)), emptyList(), 1_000))
        created.onFollowers(listOf(VM), 1)
        created.onServers(entries.map { UsableServer(it, now) }, now)
        created.allowItems(now)
        return created
    }

    private fun entryOf(
        number: Int,
        version: String,
    ): ServerEntry {
        val domain = FailureDomainId(if (number % 4 == 0) "slow" else "d${number % 4}")
        return ServerEntry(
            BackendServerId("s$number"),
            SERVICE,
            "10.0.0.1:80",
            domain,
            8,
            false,
            Duration.ZERO,
            number.toLong(),
            version,
        )
    }

    /** A description of what happened, for messages of failed checks. */
    fun story(): String =
        "seed $seed: $outcome after ${endedAfter?.toDouble(DurationUnit.SECONDS)} s, $sentToNew of $allowed allowed, " +
            "${badAt.size} bad\n" + changes.joinToString("\n")

    private companion object {
        val SERVICE = ServiceId("chat")
        val VM = VmId("vm")
        const val REPORT_MILLIS = 300L
        const val USUAL_FAILURES = 0.002
        val STEP = 10.milliseconds
        val SLICE = 50.milliseconds
        val WARM_UP = 3.seconds
        val AFTER = 3.seconds
    }
}
