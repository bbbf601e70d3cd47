package org.agatestream.server

import org.agatestream.core.LatencyWatch
import org.agatestream.core.MonotonicTime
import org.agatestream.core.ServerResults

/** This VM's observations of one backend server. */
internal class ObservedServer {
    @Volatile
    var latency: LatencyWatch = LatencyWatch()
        private set

    @Volatile
    var failedAt: MonotonicTime? = null
        private set

    @Volatile
    var load: ObservedLoad? = null
        private set

    private var incarnation: String? = null

    /** Records a load report made during [own] requests of this VM; returns true if the server has restarted. */
    @Synchronized
    fun report(
        report: LoadReport,
        own: Int,
        now: MonotonicTime,
    ): Boolean {
        load = ObservedLoad(report.running + report.waiting, own, now)
        val changed = incarnation != null && incarnation != report.incarnation
        incarnation = report.incarnation
        if (changed) failedAt = now
        return changed
    }

    /** Records the result of a request and returns the results to report to the server's owner. */
    @Synchronized
    fun ended(
        result: SlotResult,
        now: MonotonicTime,
    ): ServerResults =
        when (result) {
            is SlotResult.Answered -> {
                answered(result, now)
            }

            SlotResult.Failed -> {
                failedAt = now
                ServerResults(failed = 1)
            }

            SlotResult.Broken -> {
                failedAt = now
                ServerResults(failed = 1, restarted = true)
            }

            SlotResult.Cancelled, SlotResult.NotSent -> {
                ServerResults.NONE
            }
        }

    private fun answered(
        result: SlotResult.Answered,
        now: MonotonicTime,
    ): ServerResults {
        latency = latency.onResponse(result.firstByteAfter, now)
        return ServerResults(succeeded = 1, restarted = latency.isLatencyJump, incarnation = result.incarnation)
    }
}

/** A server's load report, with the number of this VM's own requests at that time. */
internal class ObservedLoad(
    val running: Int,
    val own: Int,
    val at: MonotonicTime,
)
