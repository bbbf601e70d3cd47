package org.agatestream.core.fairness

import kotlin.time.Duration
import kotlin.time.Duration.Companion.milliseconds
import kotlin.time.DurationUnit

/** The speed at which a slot of a service works, from the runs that ended. */
internal class RunPace {
    private var meanMillis = DEFAULT_RUN_TIME.toDouble(DurationUnit.MILLISECONDS)
    private var meanWork = RunWork.UNKNOWN
    private var isKnown = false
    private var hasRequests = false

    /** The mean time of a run. */
    val runTime: Duration get() = meanMillis.milliseconds

    /** The work that a slot does per second, in units of [RunWork]. */
    val workPerSecond: Double get() = meanWork / runTime.toDouble(DurationUnit.SECONDS).coerceAtLeast(MIN_SECONDS)

    /** Records the [work] of a request; before the first run ends, a usual request is assumed to take the usual time. */
    fun onAsked(work: Double) {
        if (isKnown) return
        meanWork = if (hasRequests) meanWork + SMOOTHING * (work - meanWork) else work
        hasRequests = true
    }

    /** Records a run of [time] that did [work]. */
    fun record(
        time: Duration,
        work: Double,
    ) {
        val smoothing = if (isKnown) SMOOTHING else 1.0
        isKnown = true
        meanMillis += smoothing * (time.toDouble(DurationUnit.MILLISECONDS) - meanMillis)
        meanWork += smoothing * (work - meanWork)
    }

    private companion object {
        const val SMOOTHING = 0.1
        const val MIN_SECONDS = 1e-6

        /** The assumed duration of a run before the first one completes. */
        val DEFAULT_RUN_TIME = 700.milliseconds
    }
}
