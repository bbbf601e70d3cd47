package org.agatestream.core.rollout

import org.agatestream.core.FailureDomainId
import org.agatestream.core.MonotonicTime
import kotlin.time.Duration
import kotlin.time.Duration.Companion.milliseconds
import kotlin.time.Duration.Companion.seconds

/**
 * How long runs of the old version took recently.
 *
 * A run is compared with old runs of its own time, route, load level and failure domain, so that neither a shortage that
 * slows both versions nor a slow domain is blamed on the new version.
 */
internal class SpeedReference {
    private class Sample(
        val start: ObservedStart,
        val times: RunTimes,
        val at: MonotonicTime,
    )

    private data class Key(
        val route: String?,
        val level: LoadLevel?,
        val domain: FailureDomainId?,
    )

    /** The medians of one group of old runs, in milliseconds; null where too few runs have the figure. */
    private class Medians(
        val firstEvent: Long?,
        val longestPause: Long?,
        val total: Long?,
    )

    private val samples = ArrayDeque<Sample>()
    private val cache = HashMap<Key, Medians?>()
    private var cachedAt: MonotonicTime? = null

    fun add(
        start: ObservedStart,
        times: RunTimes,
        now: MonotonicTime,
    ) {
        samples.addLast(Sample(start, times, now))
        if (samples.size > MAX_SAMPLES) samples.removeFirst()
    }

    /**
     * Returns how many times as long as comparable old runs a run with [times] takes; null if there are none.
     *
     * The figure that differs most counts.
     */
    fun slowdown(
        start: ObservedStart,
        times: RunTimes,
        now: MonotonicTime,
    ): Double? {
        refresh(now)
        return listOfNotNull(
            ratio(times.firstEvent, start) { it.firstEvent },
            ratio(times.longestPause, start) { it.longestPause },
            ratio(times.total, start) { it.total },
        ).maxOrNull()
    }

    private fun ratio(
        millis: Long?,
        start: ObservedStart,
        figure: (Medians) -> Long?,
    ): Double? {
        if (millis == null) return null
        for ((key, stretch) in candidates(start)) {
            val median = medians(key)?.let(figure) ?: continue
            return maxOf(0L, millis - CLOCK_NOISE_MILLIS) / (maxOf(1L, median) * stretch)
        }
        return null
    }

    /** Returns the groups to compare with, the closest first, with the factor that their difference calls for. */
    private fun candidates(start: ObservedStart): List<Pair<Key, Double>> =
        listOf(
            Key(start.route, start.level, start.domain) to 1.0,
            Key(start.route, start.level, null) to OTHER_DOMAIN_FACTOR,
            Key(start.route, null, start.domain) to OTHER_LEVEL_FACTOR,
            Key(start.route, null, null) to OTHER_DOMAIN_FACTOR * OTHER_LEVEL_FACTOR,
        )

    private fun medians(key: Key): Medians? =
        cache.getOrPut(key) {
            val group = samples.filter { matches(key, it.start) }
            Medians(
                median(group.mapNotNull { it.times.firstEvent }),
                median(group.mapNotNull { it.times.longestPause }),
                median(group.mapNotNull { it.times.total }),
            )
        }

    private fun matches(
        key: Key,
        start: ObservedStart,
    ): Boolean =
        (key.route == null || key.route == start.route) &&
            (key.level == null || key.level == start.level) &&
            (key.domain == null || key.domain == start.domain)

    private fun median(values: List<Long>): Long? =
        if (values.size < MIN_GROUP) null else values.sorted()[values.size / 2]

    private fun refresh(now: MonotonicTime) {
        val last = cachedAt
        if (last != null && now - last < CACHE_TIME) return
        cachedAt = now
        cache.clear()
        // The last samples are kept when the old version gets no more requests.
        while (samples.size > MIN_KEPT && now - samples.first().at > WINDOW) samples.removeFirst()
    }

    private companion object {
        // The domains of a deployment differ in speed by a factor of up to 2.2.
        const val OTHER_DOMAIN_FACTOR = 2.0

        // With continuous batching, a full engine takes up to half as long again for each event.
        const val OTHER_LEVEL_FACTOR = 1.5
        const val CLOCK_NOISE_MILLIS = 20L
        const val MIN_GROUP = 8
        const val MIN_KEPT = 60
        const val MAX_SAMPLES = 800
        val WINDOW: Duration = 2.seconds
        val CACHE_TIME: Duration = 100.milliseconds
    }
}
