package org.agatestream.core.rollout

import org.agatestream.core.BackendServerId
import org.agatestream.core.MonotonicTime
import org.agatestream.core.RunDetail
import org.agatestream.core.RunOutcome
import kotlin.math.roundToInt
import kotlin.math.sqrt
import kotlin.time.Duration
import kotlin.time.Duration.Companion.milliseconds
import kotlin.time.Duration.Companion.seconds

/** What the runs so far say about the new version. */
public sealed interface Verdict {
    /** The runs do not differ from those of the old version; [sample] runs of the new version have ended. */
    public data class NoDifference(
        val sample: Int,
    ) : Verdict

    /** The new version fails or is slow more often than the old one, by more than chance explains. */
    public data class Bad(
        /** `failures` or `slow`. */
        val reason: String,
        /** The runs that show it: `all`, a route or a load level. */
        val group: String,
        val newHits: Int,
        val newRuns: Int,
        val oldHits: Int,
        val oldRuns: Int,
        /** The probability that a sound version shows as many. */
        val chance: Double,
    ) : Verdict
}

/** What a difference must exceed to count. */
internal data class VerdictLimits(
    /** The probability that a sound version shows the difference must be below this. */
    val maxChance: Double,
    /** A factor on the slowness that counts against the new version. */
    val tolerance: Double,
)

/** Compares runs of the new version with runs of the old one over the same span, by route and by load level. */
internal class Evidence {
    private val reference = SpeedReference()
    private val runs =
        mapOf<VersionSide, ArrayDeque<RunObservation>>(
            VersionSide.OLD to ArrayDeque(),
            VersionSide.NEW to ArrayDeque(),
        )
    private val lastLoss = HashMap<BackendServerId, MonotonicTime>()

    /** The longest run of an online request at an old server. */
    var longestOldRun: Duration = Duration.ZERO
        private set

    /** The number of runs of the new version that ended and count as evidence. */
    val sample: Int get() = runs.getValue(VersionSide.NEW).size

    /** Records the end of a run. */
    fun add(
        start: ObservedStart,
        outcome: RunOutcome,
        firstEvent: Duration?,
        detail: RunDetail,
        now: MonotonicTime,
    ) {
        val isLost = outcome == RunOutcome.LOST || outcome == RunOutcome.UNREACHABLE
        // A run that was cancelled or not run says nothing about the version.
        if (!isLost && outcome != RunOutcome.ANSWERED) return
        if (isLost && !isNewLoss(start.server, now)) return
        val isFailure = isLost || detail.isServerError
        val total = now - start.at
        val times = RunTimes(firstEvent?.inWholeMilliseconds, detail.longestPauseMillis, total.inWholeMilliseconds)
        val slowdown = if (isFailure) null else reference.slowdown(start, times, now)
        if (!isFailure && start.side == VersionSide.OLD) {
            reference.add(start, times, now)
            if (!start.isItem) longestOldRun = maxOf(longestOldRun, total)
        }
        val list = runs.getValue(start.side)
        list.addLast(RunObservation(start, now, isFailure, slowdown))
        if (list.size > MAX_RUNS) list.removeFirst()
    }

    /** Returns whether [server] has lost no run just before: the end of a server loses all its runs at once. */
    private fun isNewLoss(
        server: BackendServerId,
        now: MonotonicTime,
    ): Boolean {
        val last = lastLoss[server]
        if (last != null && now - last < LOSS_CLUSTER) return false
        lastLoss[server] = now
        return true
    }

    /**
     * Judges the new version by the runs that ended and by what is known of those [inFlight].
     *
     * A difference counts if a sound version shows it with less probability than [limits] say.
     */
    fun judge(
        inFlight: Collection<RunInFlight>,
        limits: VerdictLimits,
        now: MonotonicTime,
    ): Verdict {
        val unfinished = inFlight.mapNotNull { observe(it, now) }
        val new = runs.getValue(VersionSide.NEW) + unfinished.filter { it.start.side == VersionSide.NEW }
        val old = runs.getValue(VersionSide.OLD) + unfinished.filter { it.start.side == VersionSide.OLD }
        for (from in listOf(null, now - RECENT)) {
            val newSpan = if (from == null) new else new.filter { it.endedAt >= from }
            val oldSpan = if (from == null) old else old.filter { it.endedAt >= from }
            findDifference(newSpan, oldSpan, limits)?.let { return it }
        }
        return Verdict.NoDifference(sample)
    }

    /** Returns a run that has not ended as an observation, if it has begun or already takes several times as long. */
    private fun observe(
        run: RunInFlight,
        now: MonotonicTime,
    ): RunObservation? {
        val times = RunTimes(run.waitedMillis, null, (now - run.start.at).inWholeMilliseconds)
        val slowdown = reference.slowdown(run.start, times, now) ?: return null
        return if (run.hasBegun || slowdown >= SLOW) RunObservation(run.start, now, false, slowdown) else null
    }

    private fun findDifference(
        new: List<RunObservation>,
        old: List<RunObservation>,
        limits: VerdictLimits,
    ): Verdict.Bad? {
        compare("all", new, old, old, limits)?.let { return it }
        for ((route, group) in new.groupBy { it.start.route }) {
            compare(route, group, old.filter { it.start.route == route }, old, limits)?.let { return it }
        }
        for ((level, group) in new.groupBy { it.start.level }) {
            val name = level.name.lowercase()
            compare(name, group, old.filter { it.start.level == level }, old, limits)?.let { return it }
        }
        return null
    }

    private fun compare(
        group: String,
        new: List<RunObservation>,
        alike: List<RunObservation>,
        allOld: List<RunObservation>,
        limits: VerdictLimits,
    ): Verdict.Bad? {
        val old = if (alike.size >= MIN_OLD_RUNS) alike else allOld
        return compareFailures(group, new, old, limits)
            ?: compareSlow(group, new, old, VERY_SLOW, limits)
            ?: compareSlow(group, new, old, SLOW, limits)
    }

    private fun compareFailures(
        group: String,
        new: List<RunObservation>,
        old: List<RunObservation>,
        limits: VerdictLimits,
    ): Verdict.Bad? {
        val hits = new.count { it.isFailure }
        if (hits < MIN_FAILURES) return null
        val oldHits = old.count { it.isFailure }
        val usual = maxOf(USUAL_FAILURES, OLD_TOLERANCE * (oldHits + 1) / (old.size + OLD_PRIOR_RUNS))
        val chance = binomialTail(new.size, hits, minOf(usual, MAX_USUAL))
        if (chance >= limits.maxChance) return null
        return Verdict.Bad("failures", group, hits, new.size, oldHits, old.size, chance)
    }

    private fun compareSlow(
        group: String,
        new: List<RunObservation>,
        old: List<RunObservation>,
        slow: Double,
        limits: VerdictLimits,
    ): Verdict.Bad? {
        val judged = new.filter { it.slowdown != null }
        val slowRuns = judged.filter { (it.slowdown ?: 0.0) >= slow * limits.tolerance }
        val hits = slowRuns.size
        if (hits < MIN_SLOW || judged.size < MIN_JUDGED || slowRuns.episodes() < MIN_EPISODES) return null
        val oldRatios = old.mapNotNull { it.slowdown }
        // A new coordinator has seen few runs of the old version, and slow hosts would be blamed on the new one.
        if (oldRatios.size < MIN_OLD_RUNS) return null
        val oldHits = oldRatios.count { it >= slow }
        val usual = maxOf(USUAL_SLOW, OLD_TOLERANCE * (oldHits + 1) / (oldRatios.size + OLD_PRIOR_RUNS))
        val perEpisode = judged.size.toDouble() / judged.episodes()
        // A busy host alone seldom makes runs very slow, so that these depend on each other less.
        val cluster = maxOf(1, (if (slow == VERY_SLOW) sqrt(perEpisode) else perEpisode).roundToInt())
        val chance = binomialTail(judged.size / cluster, hits / cluster, minOf(usual, MAX_USUAL))
        if (chance >= limits.maxChance) return null
        return Verdict.Bad("slow", group, hits, judged.size, oldHits, oldRatios.size, chance)
    }

    /** Returns the number of independent groups: runs that share a server and a time share what slows it. */
    private fun List<RunObservation>.episodes(): Int =
        distinctBy { it.start.server to (it.start.at - MonotonicTime.ZERO).inWholeMilliseconds / EPISODE_MILLIS }.size

    private companion object {
        const val MAX_RUNS = 1_500
        const val MIN_OLD_RUNS = 20

        // A sound server now and then loses a single response.
        const val MIN_FAILURES = 3
        const val USUAL_FAILURES = 0.01
        const val MIN_SLOW = 5
        const val MIN_JUDGED = 10

        // Servers that share their host are slow for this long.
        const val EPISODE_MILLIS = 600
        const val MIN_EPISODES = 3

        // A server whose host is shared takes up to 2.5 times as long for a while; a bad version several times as long.
        const val SLOW = 2.0
        const val VERY_SLOW = 3.2
        const val USUAL_SLOW = 0.08
        const val OLD_TOLERANCE = 1.5
        const val OLD_PRIOR_RUNS = 20
        const val MAX_USUAL = 0.9

        // All runs of a server that ends are lost within this time.
        val LOSS_CLUSTER: Duration = 500.milliseconds

        // Shows a defect that begins late, which all runs together would dilute.
        val RECENT: Duration = 2.seconds
    }
}
