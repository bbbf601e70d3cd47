package org.agatestream.core.placement

/**
 * Estimates the time to the first event at a server of usual speed, from observations of all servers of a service.
 *
 * The estimate is linear in the number of runs at the server and in the prompt tokens that it reads. Both slopes are
 * fitted by least squares over recent observations and stay at their defaults while these don't vary.
 */
internal class FirstEventModel {
    private var count = 0
    private var meanRunning = 0.0
    private var meanTokens = 0.0
    private var meanMillis = 0.0
    private var varRunning = 0.0
    private var varTokens = 0.0
    private var covRunningTokens = 0.0
    private var covRunningMillis = 0.0
    private var covTokensMillis = 0.0
    private var base = DEFAULT_BASE_MILLIS

    /** The milliseconds that each run at the server adds. */
    var millisPerRun: Double = DEFAULT_MILLIS_PER_RUN
        private set

    /** The milliseconds that each prompt token adds that the server does not have cached. */
    var millisPerToken: Double = DEFAULT_MILLIS_PER_TOKEN
        private set

    /** Returns the expected time to the first event in milliseconds; [running] includes the new run. */
    fun estimate(
        running: Int,
        tokensRead: Int,
    ): Double = maxOf(MIN_ESTIMATE_MILLIS, base + millisPerRun * running + millisPerToken * tokensRead)

    /** Records that the first event of a run took [millis] at a server of usual speed. */
    fun record(
        running: Int,
        tokensRead: Int,
        millis: Double,
    ) {
        count++
        val weight = maxOf(MIN_WEIGHT, 1.0 / count)
        val runningDelta = running - meanRunning
        val tokensDelta = tokensRead - meanTokens
        val millisDelta = millis - meanMillis
        val kept = 1.0 - weight
        meanRunning += weight * runningDelta
        meanTokens += weight * tokensDelta
        meanMillis += weight * millisDelta
        varRunning = kept * (varRunning + weight * runningDelta * runningDelta)
        varTokens = kept * (varTokens + weight * tokensDelta * tokensDelta)
        covRunningTokens = kept * (covRunningTokens + weight * runningDelta * tokensDelta)
        covRunningMillis = kept * (covRunningMillis + weight * runningDelta * millisDelta)
        covTokensMillis = kept * (covTokensMillis + weight * tokensDelta * millisDelta)
        fit()
    }

    private fun fit() {
        val a = varRunning + RUNNING_RIDGE
        val d = varTokens + TOKENS_RIDGE
        val x = covRunningMillis + RUNNING_RIDGE * DEFAULT_MILLIS_PER_RUN
        val y = covTokensMillis + TOKENS_RIDGE * DEFAULT_MILLIS_PER_TOKEN
        val determinant = a * d - covRunningTokens * covRunningTokens
        millisPerRun =
            ((x * d - y * covRunningTokens) / determinant).coerceIn(MIN_MILLIS_PER_RUN, MAX_MILLIS_PER_RUN)
        millisPerToken = ((y * a - x * covRunningTokens) / determinant).coerceIn(0.0, MAX_MILLIS_PER_TOKEN)
        base = meanMillis - millisPerRun * meanRunning - millisPerToken * meanTokens
    }

    private companion object {
        // First events take 60 to 90 ms at a server with few runs and up to 160 ms at one with eight.
        const val DEFAULT_BASE_MILLIS = 40.0
        const val DEFAULT_MILLIS_PER_RUN = 10.0
        const val DEFAULT_MILLIS_PER_TOKEN = 0.05
        const val MIN_ESTIMATE_MILLIS = 5.0

        // Without a minimum, servers that nothing slows would not be used evenly.
        const val MIN_MILLIS_PER_RUN = 2.0
        const val MAX_MILLIS_PER_RUN = 50.0
        const val MAX_MILLIS_PER_TOKEN = 1.0

        // The last 300 observations determine the fit; a service has some 160 a second.
        const val MIN_WEIGHT = 1.0 / 300

        // A variance below one run squared, or 100 tokens squared, says less than the defaults.
        const val RUNNING_RIDGE = 1.0
        const val TOKENS_RIDGE = 10_000.0
    }
}
