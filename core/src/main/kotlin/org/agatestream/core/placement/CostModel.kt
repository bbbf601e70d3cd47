package org.agatestream.core.placement

import org.agatestream.core.FailureDomainId

/** Estimates, for one service, what a run costs at a server. */
internal class CostModel(
    private val settings: PlacementSettings,
) {
    private val firstEvents = FirstEventModel()
    private var meanFactor = 1.0

    /** Returns the expected time to the first event at a server, in milliseconds; [running] includes the new run. */
    fun firstEventMillis(
        running: Int,
        tokensRead: Int,
        factor: Double,
    ): Double = factor * firstEvents.estimate(running, tokensRead)

    /** Returns the delay that a new run brings to the runs of a server with then [running] runs, in milliseconds. */
    fun crowdingMillis(
        running: Int,
        factor: Double,
    ): Double = CROWDING_WEIGHT * factor * firstEvents.millisPerRun * running

    /** Returns the offer of a domain without a free slot, of whose [slots] the next to be freed serves the request. */
    fun offerAfterWait(slots: Int): DomainOffer {
        val millis = RUN_MILLIS / slots + firstEvents.estimate(FULL_RUNNING, tokensRead = 0)
        return DomainOffer(millis, millis, tokensRead = 0)
    }

    /** Returns the latency of the way from the domain of [demand] to [domain], in milliseconds. */
    fun latencyMillis(
        demand: PlacementDemand,
        domain: FailureDomainId,
    ): Double = if (demand.origin == null || demand.origin == domain) 0.0 else settings.domainLatencyMillis

    /** Returns the cost of the way from the domain of [demand] to [domain], in milliseconds. */
    fun wayMillis(
        demand: PlacementDemand,
        domain: FailureDomainId,
    ): Double {
        if (demand.origin == null || demand.origin == domain) return 0.0
        val bytes = demand.promptTokens * BYTES_PER_PROMPT_TOKEN + demand.prompt.outputTokens * BYTES_PER_EVENT
        return settings.domainLatencyMillis + settings.domainMillisPerMegabyte * bytes / BYTES_PER_MEGABYTE
    }

    /**
     * Records that the first event of [run] took [millis] at a server whose work was expected to take [factor] times
     * the usual; returns the factor that this run shows.
     */
    fun onFirstEvent(
        run: PlacedRun,
        millis: Double,
        factor: Double,
    ): Double {
        val shown = millis / firstEvents.estimate(run.running, run.tokensRead)
        meanFactor += MEAN_SMOOTHING * (factor - meanFactor)
        firstEvents.record(run.running, run.tokensRead, millis * meanFactor / factor)
        return shown
    }

    private companion object {
        const val BYTES_PER_PROMPT_TOKEN = 4.0

        // One token with the frame of a server-sent event.
        const val BYTES_PER_EVENT = 60.0
        const val BYTES_PER_MEGABYTE = 1_000_000.0

        // The duration of a run and the runs at a full server, for the wait until a slot is free.
        const val RUN_MILLIS = 700.0
        const val FULL_RUNNING = 8

        // In a model of deployment A, weight 0 gave the busiest server 1.76 times the mean load and 8 gave 1.34, while
        // 18 % and 45 % of the shared tokens were read again; 2 gave 1.45 and 31 %.
        const val CROWDING_WEIGHT = 2.0
        const val MEAN_SMOOTHING = 0.01
    }
}
