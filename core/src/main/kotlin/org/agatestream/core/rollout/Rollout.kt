package org.agatestream.core.rollout

import org.agatestream.core.BackendServerId
import org.agatestream.core.CallId
import org.agatestream.core.MonotonicTime
import org.agatestream.core.RunDetail
import org.agatestream.core.RunOutcome
import org.agatestream.core.ServerEntry
import org.agatestream.core.StoreTime
import kotlin.math.roundToInt
import kotlin.time.Duration
import kotlin.time.Duration.Companion.milliseconds
import kotlin.time.Duration.Companion.seconds
import kotlin.time.DurationUnit

/** What a coordinator knows of the servers of a service when it decides on a roll-out. */
public data class RolloutSituation(
    /** The runs at servers that do not have the target's version. */
    val oldRuns: Int,
    /** The runs and waiting requests of the service. */
    val demand: Int,
    /** False while VMs that do not report may run something at old servers. */
    val isComplete: Boolean,
)

/** A change of stage, with what led to it. */
public data class StageChange(
    val order: RolloutOrder,
    val from: RolloutStage,
    val to: RolloutStage,
    val reason: String,
    val verdict: Verdict?,
    val age: Duration,
    val requests: Long,
    val exposed: Long,
)

/**
 * One roll-out as its coordinator carries it out.
 *
 * Runs of the target are limited by [ExposureBudget] until the version is proven. Not thread-safe.
 */
public class Rollout internal constructor(
    order: RolloutOrder,
    /** The version that was in use before the order; null if its servers have none. */
    public val base: ServerVersion?,
    private val writer: String,
    loaded: RolloutRecord?,
    storeTime: StoreTime?,
    private val createdAt: MonotonicTime,
) {
    public var order: RolloutOrder = order
        private set
    private val ageAtStart = loaded?.let { ageOf(it, storeTime) } ?: Duration.ZERO
    private val startedAt = createdAt - ageAtStart
    private val startedAtStore = if (loaded == null) storeTime else loaded.startedAt
    private val isTakenOver = loaded != null
    private val evidence = Evidence()
    private var plan = planOf(order)

    /** The stage that governs placement. */
    public var stage: RolloutStage = loaded?.stage ?: RolloutStage.ORDERED
        private set
    private var stored: RolloutRecord? = loaded
    private var storedAt: MonotonicTime? = null
    private var sequence = 0L

    /** The runs of the service since the order. */
    public var requests: Long = loaded?.requests ?: 0
        private set

    /** The runs of the target since the order, never less than there were. */
    public var exposed: Long = loaded?.exposed ?: 0
        private set
    private val requestsBefore = requests
    private var isProven = false

    // True for the last runs before the verdict, which show a defect that began late.
    private var isVerdictNear = false

    // False once another coordinator has been named; it gets the rest of the budget.
    private var isFenced = false
    private var isFilling = false
    private var newServers: List<ServerEntry> = emptyList()
    private var loadedServers: Set<BackendServerId> = emptySet()
    private val oldServerIds = HashSet<BackendServerId>()
    private val inFlight = HashMap<CallId, RunInFlight>()

    /** The servers of other versions that were seen since the order. */
    public val oldServers: Set<BackendServerId> get() = oldServerIds

    /** The part of the service's runs that the target may get now. */
    public val share: Double
        get() =
            when (stage) {
                RolloutStage.CANARY, RolloutStage.LOADED -> if (requests == 0L) 0.0 else exposed.toDouble() / requests
                RolloutStage.MOVING, RolloutStage.EMPTYING, RolloutStage.EMPTIED, RolloutStage.COMPLETED -> 1.0
                RolloutStage.ORDERED, RolloutStage.REJECTED, RolloutStage.ROLLED_BACK -> 0.0
            }

    /** Applies all servers of the service, with those that are [unusable]. */
    internal fun onServers(
        entries: Collection<ServerEntry>,
        unusable: Set<BackendServerId>,
    ) {
        val (new, old) = entries.partition { it.version == order.target.value }
        newServers = new.filter { it.id !in unusable }.sortedBy { it.id.value }
        // A server may come back with the new version under the id that it had.
        oldServerIds -= new.mapTo(HashSet()) { it.id }
        oldServerIds += old.map { it.id }
    }

    /** Applies a changed duration. */
    internal fun onOrder(order: RolloutOrder) {
        this.order = order
        plan = planOf(order)
    }

    internal fun rank(
        server: ServerEntry,
        now: MonotonicTime,
    ): Int? {
        val isNew = server.version == order.target.value
        if (!isNew && server.version != base?.value) return null
        return when (stage) {
            RolloutStage.ORDERED, RolloutStage.REJECTED, RolloutStage.ROLLED_BACK -> {
                if (isNew) null else 0
            }

            RolloutStage.CANARY -> {
                if (isNew) CANARY_RANK.takeIf { tokens() >= 1 } else OLD_RANK
            }

            RolloutStage.LOADED -> {
                if (isNew) CANARY_RANK.takeIf { mayFill(server, now) } else OLD_RANK
            }

            RolloutStage.MOVING -> {
                if (isNew) CANARY_RANK else OLD_RANK
            }

            RolloutStage.EMPTYING, RolloutStage.EMPTIED, RolloutStage.COMPLETED -> {
                if (isNew) 0 else null
            }
        }
    }

    private fun tokens(): Long {
        if (isFenced) return 0
        val limit = ExposureBudget.limit(stage, requests.toDouble(), isVerdictNear).toLong()
        return minOf(limit, stored?.exposed ?: 0) - exposed
    }

    /** Returns whether a server of the canary may get the run; runs are saved up to fill it, then spent at once. */
    private fun mayFill(
        server: ServerEntry,
        now: MonotonicTime,
    ): Boolean {
        val left = tokens()
        val saved = if (now >= plan.moveAt) 1L else fillSize()
        if (!isFilling && left >= saved) {
            isFilling = true
            loadedServers = chooseLoaded(now)
        }
        // Slow runs hold the slots of a server, so that the rest of the budget needs others.
        if (isFilling && left >= 2 * fillSize()) loadedServers = chooseLoaded(now)
        if (left < 1) isFilling = false
        return isFilling && server.id in loadedServers
    }

    private fun fillSize(): Long = (newServers.firstOrNull()?.slots ?: 1).coerceAtMost(MAX_FILL).toLong()

    /** Returns the servers that the share keeps at full load, others from time to time. */
    private fun chooseLoaded(now: MonotonicTime): Set<BackendServerId> {
        if (newServers.isEmpty()) return emptySet()
        val seconds = (now - createdAt).toDouble(DurationUnit.SECONDS).coerceAtLeast(1.0)
        val perSecond = (requests - requestsBefore) / seconds * CANARY_RATE
        val byRate = (perSecond * USUAL_RUN_SECONDS / fillSize()).roundToInt()
        val byBudget = (tokens() / fillSize()).toInt()
        val count = maxOf(byRate, byBudget).coerceIn(1, newServers.size)
        val turn = ((now - startedAt) / TURN).toInt()
        return (0 until count).mapTo(HashSet()) { newServers[(turn + it) % newServers.size].id }
    }

    internal fun onStarted(
        run: StartedRun,
        now: MonotonicTime,
    ) {
        requests++
        val side = if (run.server.version == order.target.value) VersionSide.NEW else VersionSide.OLD
        if (side == VersionSide.NEW) exposed++
        val level = LoadLevel.of(run.running, run.server.slots)
        val route = run.route ?: run.server.service.value
        val start =
            ObservedStart(side, run.server.id, run.server.failureDomain, level, route, now, run.isItem)
        inFlight[run.call] = RunInFlight(start)
    }

    internal fun onProgress(
        call: CallId,
        waitedMillis: Long,
        hasBegun: Boolean,
    ) {
        inFlight.computeIfPresent(call) { _, run -> run.copy(waitedMillis = waitedMillis, hasBegun = hasBegun) }
    }

    internal fun onEnded(
        call: CallId,
        outcome: RunOutcome,
        firstEvent: Duration?,
        detail: RunDetail,
        now: MonotonicTime,
    ) {
        val run = inFlight.remove(call) ?: return
        evidence.add(run.start, outcome, firstEvent, detail, now)
    }

    internal fun onForgotten(call: CallId) {
        inFlight -= call
    }

    /** Returns the factor on the limits of slowness: without old runs at the same time, only gross slowness counts. */
    private fun tolerance(): Double = if (stage < RolloutStage.MOVING) 1.0 else ALONE_TOLERANCE

    /** Ends the roll-out as not completed, as the order no longer exists. */
    internal fun withdraw(now: MonotonicTime): StageChange? = apply(RolloutEvent.FOUND_BAD, "withdrawn", null, now)

    /** Advances the roll-out; returns the change of stage, if there is one. */
    internal fun advance(
        situation: RolloutSituation,
        now: MonotonicTime,
    ): StageChange? {
        if (stage.isFinal || stage == RolloutStage.REJECTED || stage == RolloutStage.ORDERED) return null
        if (stage == RolloutStage.EMPTIED) {
            return if (situation.oldRuns > 0) apply(RolloutEvent.REFILLED, "run_at_old_server", null, now) else null
        }
        if (stage <= RolloutStage.LOADED) plan = planOf(order)
        isVerdictNear = stage == RolloutStage.LOADED && now >= plan.moveAt - VERDICT_TIME
        val verdict = judge(now)
        if (verdict is Verdict.Bad) return apply(RolloutEvent.FOUND_BAD, verdict.reason, verdict, now)
        return when (stage) {
            RolloutStage.CANARY -> passCanary(verdict, now)
            RolloutStage.LOADED -> prove(verdict, now)
            RolloutStage.MOVING -> close(situation, verdict, now)
            RolloutStage.EMPTYING -> empty(situation, verdict, now)
            else -> null
        }
    }

    private fun judge(now: MonotonicTime): Verdict =
        evidence.judge(inFlight.values, VerdictLimits(maxChance(now), tolerance()), now)

    /** Returns the limit of chance; when the verdict is due, a single judgement may be less certain. */
    private fun maxChance(now: MonotonicTime): Double =
        when {
            stage != RolloutStage.LOADED || now < plan.moveAt || isProven -> MAX_CHANCE
            evidence.sample < THIN_SAMPLE -> THIN_CHANCE
            else -> VERDICT_CHANCE
        }

    private fun passCanary(
        verdict: Verdict,
        now: MonotonicTime,
    ): StageChange? {
        val halfTime = startedAt + (plan.loadBy - startedAt) / 2
        val isEnough = evidence.sample >= MIN_SAMPLE && now >= halfTime
        if (!isEnough && now < plan.loadBy) return null
        return apply(RolloutEvent.CANARY_PASSED, "no_difference", verdict, now)
    }

    private fun prove(
        verdict: Verdict,
        now: MonotonicTime,
    ): StageChange? {
        if (newServers.isEmpty()) {
            return if (now >= plan.writeBy) apply(RolloutEvent.FOUND_BAD, "no_servers", verdict, now) else null
        }
        if (now >= plan.closeAt || (now >= plan.moveAt && evidence.sample >= MIN_SAMPLE)) isProven = true
        return null
    }

    private fun close(
        situation: RolloutSituation,
        verdict: Verdict,
        now: MonotonicTime,
    ): StageChange? {
        val fits = situation.demand <= newServers.sumOf { it.slots }
        if (!fits && now < plan.closeAt) return null
        return apply(RolloutEvent.CLOSED, if (fits) "enough_slots" else "time", verdict, now)
    }

    private fun empty(
        situation: RolloutSituation,
        verdict: Verdict,
        now: MonotonicTime,
    ): StageChange? {
        if (situation.oldRuns > 0 || (!situation.isComplete && now < plan.writeBy)) return null
        return apply(RolloutEvent.EMPTIED, "no_runs", verdict, now)
    }

    /** Returns whether items that still run at old servers must be stopped. */
    public fun mustStopItems(now: MonotonicTime): Boolean = stage == RolloutStage.EMPTYING && now >= plan.stopItemsAt

    /** Returns the record that must be written now; null if the store has all that must survive. */
    public fun due(now: MonotonicTime): RolloutRecord? {
        if (stage.isFinal || isFenced) return null
        val wanted = stageToRecord()
        val reserve = reservation(wanted)
        val last = stored
        val isChanged = last == null || last.stage != wanted || last.target != order.target
        val isSpent = last != null && reserve > last.exposed && last.exposed - exposed < fillSize() + 1
        val isDue = storedAt?.let { now - it >= RECORD_INTERVAL } ?: true
        if (!isChanged && !(isSpent && isDue && stage <= RolloutStage.LOADED)) return null
        return RolloutRecord(
            target = order.target,
            base = base,
            stage = wanted,
            startedAt = startedAtStore,
            ageMillis = (now - startedAt).inWholeMilliseconds,
            requests = requests,
            exposed = maxOf(reserve, exposed, last?.exposed ?: 0),
            writer = writer,
            sequence = ++sequence,
        )
    }

    private fun stageToRecord(): RolloutStage =
        if (stage == RolloutStage.LOADED && isProven) RolloutStage.MOVING else stage.recorded()

    private fun RolloutStage.recorded(): RolloutStage =
        when (this) {
            RolloutStage.ORDERED, RolloutStage.EMPTIED, RolloutStage.REJECTED -> after(RolloutEvent.RECORDED)
            else -> this
        }

    /** Returns the runs that the target may have had until the next record, for what may arrive until then. */
    private fun reservation(stage: RolloutStage): Long {
        if (stage > RolloutStage.LOADED) return 0
        return ExposureBudget.limit(stage, requests + EXPECTED_REQUESTS, isVerdictNear).toLong()
    }

    /** Records that the store has [record]. */
    public fun onStored(
        record: RolloutRecord,
        now: MonotonicTime,
    ): StageChange? {
        stored = record
        storedAt = now
        return when {
            // A write whose answer was lost has taken effect; the platform acts on it.
            record.stage.isFinal && !stage.isFinal && record.stage != stage.recorded() -> {
                val from = stage
                stage = record.stage
                change(from, "late_write", null, now)
            }

            record.stage == RolloutStage.MOVING && stage == RolloutStage.LOADED -> {
                apply(RolloutEvent.PROVEN, "no_difference", Verdict.NoDifference(evidence.sample), now)
            }

            record.stage == stage.recorded() && record.stage != stage -> {
                apply(RolloutEvent.RECORDED, "recorded", null, now)
            }

            else -> {
                null
            }
        }
    }

    /** Applies a record that another coordinator wrote: its runs of the target count, and its outcome is final. */
    public fun onForeignRecord(
        record: RolloutRecord,
        now: MonotonicTime,
    ): StageChange? {
        if (record.target != order.target) return null
        exposed = maxOf(exposed, record.exposed)
        requests = maxOf(requests, record.requests)
        stored = record
        storedAt = now
        if (!record.stage.isFinal && (record.stage <= stage || stage == RolloutStage.REJECTED)) return null
        val from = stage
        stage = record.stage
        return change(from, "other_coordinator", null, now)
    }

    /** Stops the share of the target, as the store names another coordinator. */
    public fun fence() {
        isFenced = true
    }

    private fun apply(
        event: RolloutEvent,
        reason: String,
        verdict: Verdict?,
        now: MonotonicTime,
    ): StageChange? {
        val from = stage
        stage = from.after(event)
        return if (stage == from) null else change(from, reason, verdict, now)
    }

    private fun change(
        from: RolloutStage,
        reason: String,
        verdict: Verdict?,
        now: MonotonicTime,
    ): StageChange = StageChange(order, from, stage, reason, verdict, now - startedAt, requests, exposed)

    private fun planOf(order: RolloutOrder): RolloutPlan =
        RolloutPlan.of(startedAt, order.duration, evidence.longestOldRun, createdAt.takeIf { isTakenOver })

    private fun ageOf(
        record: RolloutRecord,
        storeTime: StoreTime?,
    ): Duration {
        val known = record.ageMillis.milliseconds
        if (storeTime == null || record.startedAt == null) return known
        return maxOf(known, storeTime - record.startedAt)
    }

    private companion object {
        const val CANARY_RANK = 0
        const val OLD_RANK = 1
        const val MAX_FILL = 16

        // The share that the budget grows by with each request.
        const val CANARY_RATE = 0.07
        const val USUAL_RUN_SECONDS = 0.7

        // A write that raises the reservation, and two reports of first events.
        val VERDICT_TIME: Duration = 1300.milliseconds
        val TURN: Duration = 1.seconds
        val RECORD_INTERVAL: Duration = 400.milliseconds

        // The requests of a busy service between two records.
        const val EXPECTED_REQUESTS = 80.0

        // A version that fails every fifth run shows three failures in twelve runs more often than not.
        const val MIN_SAMPLE = 12
        const val THIN_SAMPLE = 20

        // With few runs, the likelier explanation decides.
        const val THIN_CHANCE = 0.01
        const val VERDICT_CHANCE = 0.003

        // A judgement is made ten times a second on several groups, so that a single one must be far from chance.
        const val MAX_CHANCE = 0.0003
        const val ALONE_TOLERANCE = 1.5
    }
}
