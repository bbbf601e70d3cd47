package org.agatestream.server

import org.agatestream.core.LatencyWatch
import org.agatestream.core.MonotonicTime
import org.agatestream.core.ServerResults

/** What this VM saw of one backend server. */
internal class SeenServer {
    @Volatile
    var latency: LatencyWatch = LatencyWatch()
        private set

    @Volatile
    var failedAt: MonotonicTime? = null
        private set

    @Volatile
    var load: SeenLoad? = null
        private set

    private var incarnation: String? = null

    /** Takes down a load report; returns true if the server has a new identity. */
    @Synchronized
    fun report(
        report: LoadReport,
        own: Int,
        now: MonotonicTime,
    ): Boolean {
        load = SeenLoad(report.running + report.waiting, own, now)
        val changed = incarnation != null && incarnation != report.incarnation
        incarnation = report.incarnation
        if (changed) failedAt = now
        return changed
    }

    /** Takes down how a request ended and returns what its owner should know. */
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
        latency = latency.answered(result.firstByteAfter, now)
        return ServerResults(succeeded = 1, restarted = latency.isSudden, incarnation = result.incarnation)
    }
}

/** A load report with this VM's own requests at the time. */
internal class SeenLoad(
    val running: Int,
    val own: Int,
    val at: MonotonicTime,
)
