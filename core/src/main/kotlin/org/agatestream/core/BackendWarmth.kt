package org.agatestream.core

import kotlinx.serialization.Serializable
import kotlin.math.floor
import kotlin.math.min

/** How far a backend server has warmed up; the names are the states of the chart `backend-server`. */
@Serializable
public enum class WarmthState {
    COLD,
    WARMING,
    WARM,
}

/** What VMs saw of a backend server since their last report. */
@Serializable
public data class ServerResults(
    val succeeded: Int = 0,
    val failed: Int = 0,
    /** True on a sign of a restart other than a new incarnation: a reload error or a sudden latency. */
    val restarted: Boolean = false,
    /** The identity that the server gave with its newest answer. */
    val incarnation: String? = null,
) {
    public operator fun plus(other: ServerResults): ServerResults =
        ServerResults(
            succeeded + other.succeeded,
            failed + other.failed,
            restarted || other.restarted,
            other.incarnation ?: incarnation,
        )

    public companion object {
        public val NONE: ServerResults = ServerResults()
    }
}

/**
 * How many requests a backend server bears at once, as its owner has seen it warm up.
 *
 * Starts at the server's cold slots and grows with each success. After a relapse while warming it grows half as fast
 * as before, until it has been warm once.
 */
public data class BackendWarmth(
    val state: WarmthState = WarmthState.COLD,
    private val level: Double = 0.0,
    private val relapses: Int = 0,
    private val failuresInRow: Int = 0,
    /** Identities that the server has given, the present one last. */
    private val incarnations: List<String> = emptyList(),
) {
    /** Returns the number of requests that the server bears at once. */
    public fun slots(setting: BackendServerSetting): Int =
        when (state) {
            WarmthState.COLD -> setting.coldSlots
            WarmthState.WARMING -> min(setting.coldSlots + floor(level).toInt(), setting.warmSlots)
            WarmthState.WARM -> setting.warmSlots
        }

    /** Takes [results] into account; signs of a restart count before successes. */
    public fun record(
        results: ServerResults,
        setting: BackendServerSetting,
        chart: BackendChart,
    ): BackendWarmth {
        val restarted = results.restarted || isNew(results.incarnation)
        val seen = see(results.incarnation)
        val failures = if (results.succeeded > 0) results.failed else failuresInRow + results.failed
        return when {
            restarted -> {
                seen.relapse(chart.after(state, BackendEvent.RESTARTED))
            }

            results.failed > 0 && failures >= MOST_FAILURES_IN_ROW -> {
                seen.relapse(
                    chart.after(state, BackendEvent.FAILED),
                )
            }

            results.succeeded > 0 -> {
                seen.copy(failuresInRow = failures).grow(results.succeeded, setting, chart)
            }

            else -> {
                seen.copy(failuresInRow = failures)
            }
        }
    }

    private fun isNew(incarnation: String?): Boolean =
        incarnation != null && incarnations.isNotEmpty() && incarnation !in incarnations

    private fun see(incarnation: String?): BackendWarmth =
        if (incarnation == null ||
            incarnation in incarnations
        ) {
            this
        } else {
            copy(incarnations = (incarnations + incarnation).takeLast(MOST_INCARNATIONS))
        }

    private fun grow(
        succeeded: Int,
        setting: BackendServerSetting,
        chart: BackendChart,
    ): BackendWarmth {
        val grown = copy(state = chart.after(state, BackendEvent.SUCCEEDED), level = level + succeeded * growth())
        if (grown.slots(setting) < setting.warmSlots) return grown
        return grown.copy(state = chart.after(grown.state, BackendEvent.FILLED), level = 0.0, relapses = 0)
    }

    private fun relapse(next: WarmthState): BackendWarmth {
        val more = if (state == WarmthState.WARMING) min(relapses + 1, MOST_RELAPSES) else relapses
        return copy(state = next, level = 0.0, relapses = more, failuresInRow = 0)
    }

    private fun growth(): Double = 1.0 / (1 shl relapses)

    private companion object {
        const val MOST_FAILURES_IN_ROW = 2
        const val MOST_RELAPSES = 4
        const val MOST_INCARNATIONS = 4
    }
}

/** What happens to a backend server's warmth; the names are the events of the chart `backend-server`. */
public enum class BackendEvent {
    SUCCEEDED,
    FILLED,
    FAILED,
    RESTARTED,
}

/** The state chart of a backend server's warmth. */
public typealias BackendChart = TypedChart<WarmthState, BackendEvent>

/** Loads the chart that comes with the program. */
public fun loadBackendChart(): BackendChart = TypedChart.load("backend-server")

private fun BackendChart.after(
    state: WarmthState,
    event: BackendEvent,
): WarmthState =
    when (val step = next(state, event)) {
        is Step.Moved -> step.state
        Step.Ignored, Step.Refused -> state
    }
