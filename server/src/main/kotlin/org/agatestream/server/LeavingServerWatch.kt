package org.agatestream.server

import org.agatestream.core.BackendServerId
import org.agatestream.core.MonotonicTime
import org.agatestream.core.ServerEntry
import org.agatestream.core.incarnation
import org.agatestream.http.HttpClientResponse
import org.agatestream.platform.BackendReply
import org.agatestream.platform.ServerReport

/** Notes the backend servers that announce that they are leaving, and shares them with the coordinator and other VMs. */
internal class LeavingServerWatch(
    private val view: PlatformView,
    /** Sends the next report to the coordinator now. */
    private val reportNow: () -> Unit = {},
) {
    // Null until the coordinator has answered a report.
    private var coordinatorFingerprint: Int? = null

    /** Reads the head of a response to a request to [server]; returns what [server] itself says, null if nothing. */
    fun onHead(
        server: ServerEntry,
        response: HttpClientResponse,
        reply: BackendReply,
        now: MonotonicTime,
    ): ServerReport? {
        val report = ServerReport.of(response, reply, server.id) ?: return null
        if (report.isLeaving) originOf(report, server)?.let { onLeaving(it, now) }
        return report.takeIf { it.origin == server.id }
    }

    /** Returns the incarnation that sent [report]; another server than [addressed] counts only if it has its address. */
    private fun originOf(
        report: ServerReport,
        addressed: ServerEntry,
    ): ServerEntry? =
        if (report.origin == addressed.id) {
            addressed
        } else {
            view.registry.find(report.origin)?.takeIf { it.address == addressed.address }
        }

    private fun onLeaving(
        server: ServerEntry,
        now: MonotonicTime,
    ) {
        if (view.onLeaving(server.incarnation, now)) reportNow()
    }

    /** Returns the servers that the coordinator may still assign although this VM knows that they are leaving. */
    fun unknownToCoordinator(now: MonotonicTime): Set<BackendServerId> =
        if (view.registry.leavingFingerprint == (coordinatorFingerprint ?: 0)) {
            emptySet()
        } else {
            view.registry.leavingFacts(now).mapTo(HashSet()) { it.server.server }
        }

    /** Returns this VM's report to the coordinator. */
    fun report(now: MonotonicTime): LeavingReport = reportTo(coordinatorFingerprint ?: 0, now)

    /** Returns this VM's report to a VM of which it does not know what it has. */
    fun reportToAny(now: MonotonicTime): LeavingReport = reportTo(0, now)

    /** Applies another VM's report and returns the response to it. */
    fun answer(
        report: LeavingReport,
        now: MonotonicTime,
    ): LeavingReport {
        report.facts?.let { view.mergeLeaving(it, now) }
        return reportTo(report.fingerprint, now)
    }

    /** Applies the coordinator's response to a report. */
    fun onAnswered(
        answer: LeavingReport,
        now: MonotonicTime,
    ) {
        coordinatorFingerprint = answer.fingerprint
        merge(answer, now)
    }

    /** Adds what another VM that does not coordinate knows. */
    fun merge(
        answer: LeavingReport,
        now: MonotonicTime,
    ) {
        answer.facts?.let { view.mergeLeaving(it, now) }
    }

    /** Makes the next report complete, as the new coordinator may know less. */
    fun onCoordinatorChanged() {
        coordinatorFingerprint = null
    }

    private fun reportTo(
        receiverFingerprint: Int,
        now: MonotonicTime,
    ): LeavingReport {
        val own = view.registry.leavingFingerprint
        if (own == 0 && receiverFingerprint == 0) return LeavingReport.NONE
        return LeavingReport(view.registry.leavingFacts(now).takeIf { own != receiverFingerprint }, own)
    }
}
