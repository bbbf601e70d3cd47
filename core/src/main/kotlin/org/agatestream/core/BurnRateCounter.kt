package org.agatestream.core

import kotlinx.serialization.Serializable
import kotlin.time.Duration
import kotlin.time.Duration.Companion.hours
import kotlin.time.Duration.Companion.minutes

/** The service level objective of one request class. */
@Serializable
public data class ServiceLevelObjective(
    val requestClass: RequestClass,
    /** The target fraction of good requests, as in 0.99. */
    val goodShare: Double,
    /** An online request is good if its first byte is sent within this many milliseconds. */
    val firstByteMillis: Long,
)

/** Counts of good and bad requests. */
@Serializable
public data class LevelCounts(
    val good: Long = 0,
    val bad: Long = 0,
) {
    public operator fun plus(other: LevelCounts): LevelCounts = LevelCounts(good + other.good, bad + other.bad)

    /**
     * Returns the burn rate of the error budget for the objective [goodShare]: 1 uses the budget up exactly.
     *
     * The burn rate is 0 without requests.
     */
    public fun burnRate(goodShare: Double): Double {
        val total = good + bad
        if (total == 0L) return 0.0
        return bad.toDouble() / total / (1 - goodShare)
    }
}

/** One line of the burn rate report: the counts of a workspace and class over one window. */
@Serializable
public data class BurnRateLine(
    val workspace: String,
    val requestClass: RequestClass,
    val windowMinutes: Long,
    val counts: LevelCounts,
)

/**
 * Counts good and bad requests of each workspace and class over sliding windows that end now.
 *
 * Counts are kept in slots of one minute, so a window may cover up to a minute more than its length.
 */
public class BurnRateCounter {
    private val series = mutableMapOf<SeriesKey, ArrayDeque<MinuteSlot>>()

    /** Counts one request that ended at [now]. */
    @Synchronized
    public fun record(
        workspace: WorkspaceId,
        requestClass: RequestClass,
        good: Boolean,
        now: MonotonicTime,
    ) {
        val queue = series.getOrPut(SeriesKey(workspace, requestClass)) { ArrayDeque() }
        val minute = minuteOf(now)
        if (queue.lastOrNull()?.minute != minute) queue.addLast(MinuteSlot(minute))
        queue.last().add(good)
        while (queue.first().minute < minute - LONGEST_WINDOW_MINUTES) queue.removeFirst()
    }

    /** Returns a line for each workspace, class and window, in this order. */
    @Synchronized
    public fun report(now: MonotonicTime): List<BurnRateLine> =
        series.keys.sortedBy { "${it.workspace} ${it.requestClass}" }.flatMap { key ->
            WINDOWS.map { window -> lineOf(key, window, minuteOf(now)) }
        }

    private fun lineOf(
        key: SeriesKey,
        window: Duration,
        minute: Long,
    ): BurnRateLine {
        val windowStart = minute - window.inWholeMinutes
        val counts =
            series
                .getValue(key)
                .filter { it.minute > windowStart }
                .fold(LevelCounts()) { sum, slot -> sum + slot.counts }
        return BurnRateLine(key.workspace.value, key.requestClass, window.inWholeMinutes, counts)
    }

    private fun minuteOf(now: MonotonicTime): Long = (now - MonotonicTime.ZERO).inWholeMinutes

    private data class SeriesKey(
        val workspace: WorkspaceId,
        val requestClass: RequestClass,
    )

    private class MinuteSlot(
        val minute: Long,
    ) {
        var counts = LevelCounts()
            private set

        fun add(good: Boolean) {
            counts += if (good) LevelCounts(good = 1) else LevelCounts(bad = 1)
        }
    }

    public companion object {
        /** The windows of the report. */
        public val WINDOWS: List<Duration> = listOf(5.minutes, 1.hours, 6.hours)
        private val LONGEST_WINDOW_MINUTES = WINDOWS.max().inWholeMinutes

        /** The objectives for online requests and batch items. */
        public val OBJECTIVES: List<ServiceLevelObjective> =
            listOf(
                ServiceLevelObjective(RequestClass.ONLINE, goodShare = 0.99, firstByteMillis = 390),
                ServiceLevelObjective(RequestClass.BATCH, goodShare = 0.999, firstByteMillis = Long.MAX_VALUE),
            )
    }
}

/** Merges the reports of several VMs by adding up the counts of equal workspace, class and window. */
public fun mergeBurnLines(reports: List<List<BurnRateLine>>): List<BurnRateLine> =
    reports
        .flatten()
        .groupBy { it.copy(counts = LevelCounts()) }
        .map { (_, lines) -> lines.reduce { sum, line -> sum.copy(counts = sum.counts + line.counts) } }
        .sortedWith(compareBy({ it.workspace }, { it.requestClass }, { it.windowMinutes }))
