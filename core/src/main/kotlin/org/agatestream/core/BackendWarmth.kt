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
    /** True on any sign of a restart: a new incarnation, a reload error or a sudden latency. */
    val restarted: Boolean = false,
) {
    public operator fun plus(other: ServerResults): ServerResults =
        ServerResults(succeeded + other.succeeded, failed + other.failed, restarted || other.restarted)

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
) {
    /** Returns the number of requests that the server bears at once. */
    public fun slots(setting: BackendServerSetting): Int =
        when (state) {
            WarmthState.COLD -> setting.coldSlots
            WarmthState.WARMING -> min(setting.coldSlots + floor(level).toInt(), setting.warmSlots)
            WarmthState.WARM -> setting.warmSlots
        }

    /** Takes [results] into account; failures and restarts count before successes. */
    public fun record(
        results: ServerResults,
        setting: BackendServerSetting,
        chart: BackendChart,
    ): BackendWarmth =
        when {
            results.restarted -> {
                relapse(chart.next(state, BackendEvent.RESTARTED))
            }

            results.failed > MOST_FAILED && results.failed > results.succeeded -> {
                relapse(
                    chart.next(state, BackendEvent.FAILED),
                )
            }

            results.succeeded > 0 -> {
                grow(results.succeeded, setting, chart)
            }

            else -> {
                this
            }
        }

    private fun grow(
        succeeded: Int,
        setting: BackendServerSetting,
        chart: BackendChart,
    ): BackendWarmth {
        val grown = copy(state = chart.next(state, BackendEvent.SUCCEEDED), level = level + succeeded * growth())
        if (grown.slots(setting) < setting.warmSlots) return grown
        return BackendWarmth(chart.next(grown.state, BackendEvent.FILLED))
    }

    private fun relapse(next: WarmthState): BackendWarmth {
        val more = if (state == WarmthState.WARMING) min(relapses + 1, MOST_RELAPSES) else relapses
        return BackendWarmth(next, relapses = more)
    }

    private fun growth(): Double = 1.0 / (1 shl relapses)

    private companion object {
        const val MOST_FAILED = 2
        const val MOST_RELAPSES = 4
    }
}

/** What happens to a backend server's warmth; the names are the events of the chart `backend-server`. */
public enum class BackendEvent {
    SUCCEEDED,
    FILLED,
    FAILED,
    RESTARTED,
}

/** The state chart of a backend server. */
public fun interface BackendChart {
    /** Returns the state after [event] in [state]. */
    public fun next(
        state: WarmthState,
        event: BackendEvent,
    ): WarmthState
}
