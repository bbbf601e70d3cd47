package org.agatestream.server

import org.agatestream.core.MonotonicTime
import org.agatestream.core.RunDetail
import org.agatestream.core.limit.ReportedLimit
import org.agatestream.platform.BackendReply
import org.agatestream.platform.ServerReport
import kotlin.time.Duration

/** Collects what a VM sees of one run, for the release of its slot. */
internal class RunObserver(
    private val sentAt: MonotonicTime,
    private val onReport: (ServerReport, MonotonicTime) -> Unit = { _, _ -> },
) {
    private var report: ServerReport? = null
    private var reportedAt = sentAt
    private var lastEventAt: MonotonicTime? = null
    private var longestPause: Duration? = null
    private var isServerError = false

    /** The time from sending the request to its first event; null before that. */
    var firstEvent: Duration? = null
        private set

    /** Records the head of the response; [report] is null if it is not proven to be the addressed server's own. */
    fun onHead(
        reply: BackendReply,
        report: ServerReport?,
        now: MonotonicTime,
    ) {
        if (report == null) return
        this.report = report
        reportedAt = now
        onReport(report, now)
        if (reply is BackendReply.Ran && reply.status >= FIRST_SERVER_ERROR) isServerError = true
    }

    /** Records the arrival of one or more events. */
    fun onEvents(now: MonotonicTime) {
        val last = lastEventAt
        if (last == null) firstEvent = now - sentAt
        if (last != null) longestPause = maxOf(longestPause ?: Duration.ZERO, now - last)
        lastEventAt = now
    }

    fun detail(now: MonotonicTime): RunDetail {
        val load = report?.load
        val age = (now - reportedAt).inWholeMilliseconds
        return RunDetail(
            isServerError = isServerError,
            longestPauseMillis = longestPause?.inWholeMilliseconds,
            load = load,
            loadAgeMillis = if (load == null) 0 else age,
            isServerLeaving = report?.isLeaving == true,
            limit = report?.let { ReportedLimit(it.requestLimit, age) },
        )
    }

    private companion object {
        const val FIRST_SERVER_ERROR = 500
    }
}
