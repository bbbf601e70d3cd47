package org.agatestream.core.placement

import org.agatestream.core.MonotonicTime
import kotlin.math.abs
import kotlin.math.exp
import kotlin.math.ln
import kotlin.time.Duration
import kotlin.time.Duration.Companion.seconds

/**
 * Estimates how long work takes at a server relative to the usual server of its service; 1 is the usual.
 *
 * The estimate blends the figure that the server reports with observed times. The figure is calibrated against the
 * observed times of the same runs, and its weight falls with its age and with its error in these comparisons.
 */
internal class ServerSpeed {
    private var lasting = 1.0
    private var recent = 1.0
    private var observedAt: MonotonicTime? = null
    private var observationError = INITIAL_OBSERVATION_ERROR
    private var recentError = INITIAL_OBSERVATION_ERROR
    private var lastingError = INITIAL_OBSERVATION_ERROR
    private var figure = 0.0
    private var figureTakenAt: MonotonicTime? = null
    private var logCalibration = 0.0
    private var figureError = INITIAL_FIGURE_ERROR

    /** True if the server ever reported how long work takes. */
    val hasFigure: Boolean get() = figureTakenAt != null

    /** Applies the figure [percent] that the server reported at [takenAt]; older ones than the last are ignored. */
    fun onReported(
        percent: Int,
        takenAt: MonotonicTime,
    ) {
        if (figureTakenAt?.let { takenAt <= it } == true) return
        figure = toFactor(percent)
        figureTakenAt = takenAt
    }

    /** Records that a run took [factor] times the usual; [percent] is the figure reported with it, null if none. */
    fun onObserved(
        factor: Double,
        percent: Int?,
        now: MonotonicTime,
    ) {
        val bounded = factor.coerceIn(MIN_FACTOR, MAX_FACTOR)
        observationError += ERROR_SMOOTHING * (abs(ln(bounded / observed(now))) - observationError)
        if (percent != null) compare(bounded, toFactor(percent))
        recentError += ERROR_SMOOTHING * (abs(ln(bounded / recent)) - recentError)
        lastingError += ERROR_SMOOTHING * (abs(ln(bounded / lasting)) - lastingError)
        recent += RECENT_SMOOTHING * (bounded - recent)
        lasting += LASTING_SMOOTHING * (bounded - lasting)
        observedAt = now
    }

    /**
     * Returns how long work takes relative to the usual at [now].
     *
     * [shift] is how much longer work takes in the failure domain of the server than it lately did.
     */
    fun factor(
        now: MonotonicTime,
        shift: Double = 1.0,
    ): Double {
        val observed = observed(now) * shift
        val taken = figureTakenAt ?: return observed
        val freshness = remaining(now - taken, FIGURE_LIFETIME)
        if (freshness <= 0.0) return observed
        val reported = (figure * exp(logCalibration)).coerceIn(observed / MAX_DEVIATION, observed * MAX_DEVIATION)
        val weight = freshness * weight(observationError, figureError)
        return weight * reported + (1.0 - weight) * observed
    }

    private fun compare(
        observed: Double,
        reported: Double,
    ) {
        val deviation = ln(observed / reported) - logCalibration
        figureError += ERROR_SMOOTHING * (abs(deviation) - figureError)
        logCalibration = (logCalibration + CALIBRATION_SMOOTHING * deviation).coerceIn(-MAX_LOG, MAX_LOG)
    }

    /**
     * Returns the factor by observed times; the latest count only as far as they have predicted later ones.
     *
     * Forgets a short slowdown, then also a lasting one, so that a server without runs is tried again.
     */
    private fun observed(now: MonotonicTime): Double {
        val age = observedAt?.let { now - it } ?: return 1.0
        val kept = 1.0 + (lasting - 1.0) * remaining(age - RECENT_LIFETIME, LASTING_LIFETIME)
        return kept + (recent - lasting) * remaining(age, RECENT_LIFETIME) * weight(lastingError, recentError)
    }

    /** Returns the weight of an estimate with [error] beside one with [otherError]. */
    private fun weight(
        otherError: Double,
        error: Double,
    ): Double = otherError * otherError / (otherError * otherError + error * error + MIN_ERROR)

    private fun remaining(
        age: Duration,
        lifetime: Duration,
    ): Double = (1.0 - age / lifetime).coerceIn(0.0, 1.0)

    private fun toFactor(percent: Int): Double = (percent / PERCENT).coerceIn(MIN_FIGURE, MAX_FIGURE)

    private companion object {
        const val PERCENT = 100.0
        const val MIN_FACTOR = 0.2
        const val MAX_FACTOR = 6.0

        // Bounds the influence of a false figure, together with MAX_DEVIATION from what was observed.
        const val MIN_FIGURE = 0.5
        const val MAX_FIGURE = 4.0
        const val MAX_DEVIATION = 4.0
        const val MAX_LOG = 1.6
        const val RECENT_SMOOTHING = 0.4
        const val LASTING_SMOOTHING = 0.03

        // A false figure loses most of its weight within about ten runs, which take a server less than a second.
        const val ERROR_SMOOTHING = 0.15
        const val CALIBRATION_SMOOTHING = 0.05
        const val INITIAL_FIGURE_ERROR = 0.15
        const val INITIAL_OBSERVATION_ERROR = 0.3
        const val MIN_ERROR = 0.0025

        // The shortest known interval after which the speed of servers changes.
        val FIGURE_LIFETIME = 0.6.seconds
        val RECENT_LIFETIME = 1.5.seconds

        // A server that is avoided gets a run again after at most the sum of both.
        val LASTING_LIFETIME = 3.seconds
    }
}
