package org.agatestream.core

import kotlinx.serialization.Serializable
import kotlin.math.floor
import kotlin.math.min

/** The warm-up state of a backend server; the names are the states of the chart `backend-server`. */
@Serializable
public enum class WarmthState {
    COLD,
    WARMING,
    WARM,
}

/** The results that VMs observed on a backend server since their last report. */
@Serializable
public data class ServerResults(
    val succeeded: Int = 0,
    val failed: Int = 0,
    /** True on a sign of a restart other than a new incarnation: a reload error or a latency jump. */
    val restarted: Boolean = false,
    /** The incarnation that the server gave in its newest response. */
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
 * The number of concurrent requests that a backend server can run, estimated by its owner during warm-up.
 *
 * Starts at the server's cold slots and grows with each success. Each fallback while warming halves the growth, until
 * the server has been warm once.
 */
public data class BackendWarmth(
    val state: WarmthState = WarmthState.COLD,
    private val addedSlots: Double = 0.0,
    private val fallbacks: Int = 0,
    private val consecutiveFailures: Int = 0,
    /** The incarnations that the server has given, the current one last. */
    private val incarnations: List<String> = emptyList(),
) {
    /** Returns the number of requests that the server can run concurrently. */
    public fun slots(setting: BackendServerSetting): Int =
        when (state) {
            WarmthState.COLD -> setting.coldSlots
            WarmthState.WARMING -> min(setting.coldSlots + floor(addedSlots).toInt(), setting.warmSlots)
            WarmthState.WARM -> setting.warmSlots
        }

    /** Records [results]; signs of a restart take precedence over successes. */
    public fun record(
        results: ServerResults,
        setting: BackendServerSetting,
        chart: BackendChart,
    ): BackendWarmth {
        val restarted = results.restarted || isNew(results.incarnation)
        val observed = withIncarnation(results.incarnation)
        val failures = if (results.succeeded > 0) results.failed else consecutiveFailures + results.failed
        return when {
            restarted -> {
                observed.fallBack(chart.after(state, BackendEvent.RESTARTED))
            }

            results.failed > 0 && failures >= MAX_CONSECUTIVE_FAILURES -> {
                observed.fallBack(
                    chart.after(state, BackendEvent.FAILED),
                )
            }

            results.succeeded > 0 -> {
                observed.copy(consecutiveFailures = failures).grow(results.succeeded, setting, chart)
            }

            else -> {
                observed.copy(consecutiveFailures = failures)
            }
        }
    }

    private fun isNew(incarnation: String?): Boolean =
        incarnation != null && incarnations.isNotEmpty() && incarnation !in incarnations

    private fun withIncarnation(incarnation: String?): BackendWarmth =
        if (incarnation == null ||
            incarnation in incarnations
        ) {
            this
        } else {
            copy(incarnations = (incarnations + incarnation).takeLast(MAX_INCARNATIONS))
        }

    private fun grow(
        succeeded: Int,
        setting: BackendServerSetting,
        chart: BackendChart,
    ): BackendWarmth {
        val grown =
            copy(
                state = chart.after(state, BackendEvent.SUCCEEDED),
                addedSlots = addedSlots + succeeded * growthPerSuccess(),
            )
        if (grown.slots(setting) < setting.warmSlots) return grown
        return grown.copy(state = chart.after(grown.state, BackendEvent.FILLED), addedSlots = 0.0, fallbacks = 0)
    }

    private fun fallBack(next: WarmthState): BackendWarmth {
        val nextFallbacks = if (state == WarmthState.WARMING) min(fallbacks + 1, MAX_FALLBACKS) else fallbacks
        return copy(state = next, addedSlots = 0.0, fallbacks = nextFallbacks, consecutiveFailures = 0)
    }

    private fun growthPerSuccess(): Double = 1.0 / (1 shl fallbacks)

    private companion object {
        const val MAX_CONSECUTIVE_FAILURES = 2
        const val MAX_FALLBACKS = 4
        const val MAX_INCARNATIONS = 4
    }
}

/** An event in the warm-up of a backend server; the names are the events of the chart `backend-server`. */
public enum class BackendEvent {
    SUCCEEDED,
    FILLED,
    FAILED,
    RESTARTED,
}

/** The state chart of a backend server's warm-up. */
public typealias BackendChart = TypedChart<WarmthState, BackendEvent>

/** Loads the chart `backend-server`. */
public fun loadBackendChart(): BackendChart = TypedChart.load("backend-server")

private fun BackendChart.after(
    state: WarmthState,
    event: BackendEvent,
): WarmthState =
    when (val step = next(state, event)) {
        is Step.Moved -> step.state
        Step.Ignored, Step.Refused -> state
    }
