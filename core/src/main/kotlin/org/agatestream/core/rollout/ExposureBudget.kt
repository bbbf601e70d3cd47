package org.agatestream.core.rollout

/**
 * How many runs the new version may get while it is not proven.
 *
 * A bad version may get a tenth of all requests and 50 more; the budget stays below 70 % of that until just before the
 * verdict, because placements that were lost on the way and attempts that repeat a request are counted too.
 */
internal object ExposureBudget {
    private const val REQUEST_SHARE = 0.07
    private const val SLACK = 35.0

    // Just before the verdict, the requests until the end of the duration add to the bound, but not to the runs.
    private const val VERDICT_SHARE = 0.09
    private const val VERDICT_SLACK = 45.0

    // The first runs need not use up what a later comparison at full load needs.
    private const val CANARY_SHARE = 0.05
    private const val CANARY_SLACK = 12.0

    /** Returns the most runs that the new version may have had at [stage] after [requests] runs of the service. */
    fun limit(
        stage: RolloutStage,
        requests: Double,
        isVerdictNear: Boolean,
    ): Int =
        when (stage) {
            RolloutStage.ORDERED, RolloutStage.CANARY -> (CANARY_SHARE * requests + CANARY_SLACK).toInt()
            else -> limitOfLoaded(requests, isVerdictNear)
        }

    private fun limitOfLoaded(
        requests: Double,
        isVerdictNear: Boolean,
    ): Int =
        if (isVerdictNear) {
            (VERDICT_SHARE * requests + VERDICT_SLACK).toInt()
        } else {
            (REQUEST_SHARE * requests + SLACK).toInt()
        }
}
