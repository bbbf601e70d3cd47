package org.agatestream.core.limit

import org.agatestream.core.MonotonicTime
import org.agatestream.core.RateBucket
import kotlin.time.Duration
import kotlin.time.Duration.Companion.milliseconds
import kotlin.time.Duration.Companion.seconds

/**
 * Spaces the requests to one backend server while it names a limit.
 *
 * The limit holds for all VMs together, so each dispatcher uses its share of it. A limit lasts until a later response names
 * none, or for [RETENTION] without a response.
 */
internal class RequestLimiter {
    private var limit: Double? = null
    private var observedAt = MonotonicTime.ZERO
    private var bucket = RateBucket.start(burst = 0.0, spare = 0.0, MonotonicTime.ZERO)

    /** Returns the requests per second that the server takes at [now]; null if it names no limit. */
    fun limitAt(now: MonotonicTime): Double? = limit?.takeIf { now - observedAt < RETENTION }

    /** Applies what a response said that a VM received at [receivedAt]. */
    fun onReported(
        perSecond: Double?,
        receivedAt: MonotonicTime,
        now: MonotonicTime,
    ) {
        if (receivedAt <= observedAt) return
        // The server has enough work when it first names a limit, so nothing may start at once.
        if (limitAt(now) == null) bucket = RateBucket.start(burst = 0.0, spare = 0.0, now)
        limit = perSecond
        observedAt = receivedAt
    }

    /** Returns whether a request may start at [now] by a dispatcher that may use [share] of the limit. */
    fun allows(
        share: Double,
        now: MonotonicTime,
    ): Boolean {
        val perSecond = limitAt(now) ?: return true
        val rate = maxOf(perSecond, MIN_PER_SECOND) * share
        bucket = bucket.refill(rate, rate * BURST_SECONDS, now)
        return bucket.hasToken
    }

    /** Records that a request started. */
    fun onStarted(now: MonotonicTime) {
        if (limitAt(now) != null) bucket = bucket.take()
    }

    companion object {
        /**
         * How long a limit holds without a response.
         *
         * Runs take about a second, and the lowest rate sends a request to the server every two seconds.
         */
        val RETENTION: Duration = 6.seconds

        // A server that takes nothing would never be found to have recovered.
        private const val MIN_PER_SECOND = 0.5

        // The limit is a number of requests in a second; what it leaves unused in a trough serves the next wave.
        private const val BURST_SECONDS = 1.0
    }
}
