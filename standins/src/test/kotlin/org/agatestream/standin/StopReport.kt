package org.agatestream.standin

import org.agatestream.core.MonotonicTime
import kotlin.time.Duration
import kotlin.time.Duration.Companion.milliseconds
import kotlin.time.Duration.Companion.seconds

/** What callers saw around planned stops. */
internal class StopReport(
    private val requests: List<SentStream>,
    private val servers: List<PlatformServerStandIn>,
    private val stops: List<PlannedStop>,
    /** The VMs that outlived their grace period. */
    val killed: List<String>,
    private val requestTimeout: Duration = RollingStop.REQUEST_TIMEOUT,
    /** The jobs that were accepted and have items that were never listed. */
    val unlistedJobs: List<String> = emptyList(),
) {
    /** The number of requests with a whole stream. */
    val served: Int = requests.count { it.isWhole && it.status == STATUS_OK }

    /** Requests that were read or run, and ended without a whole answer though none of their timeouts was over. */
    val lost: List<SentStream> = requests.filter { isCut(it) && !isExcused(it) }

    /** Requests whose stream ended as whole without its last event. */
    val partial: List<SentStream> = requests.filter { it.isWhole && it.status == STATUS_OK && !hasLastEvent(it) }

    /** Requests that were answered whole though the connection broke before their end was sent. */
    private val refusedWhileSending = requests.filter { it.isWriteBroken && it.isWhole }

    /** Requests whose connection broke before their end was sent, without a whole answer. */
    private val brokenWhileSending = requests.filter { it.isWriteBroken && !it.isWhole }

    /** The figures in one line. */
    val summary: String
        get() {
            val statuses = requests.groupingBy { if (it.isWhole) it.status else 0 }.eachCount().toSortedMap()
            val cut = requests.count { isCut(it) }
            return "requests=${requests.size} served=$served by_status=$statuses cut=$cut lost=${lost.size} " +
                "partial=${partial.size} killed=$killed refused_while_sending=${refusedWhileSending.size}" +
                " broken_while_sending=${brokenWhileSending.size} timeouts=${requests.count { it.isTimeout }}"
        }

    /** Describes a request by its times relative to the stop of its VM. */
    fun describe(sent: SentStream): String {
        val stop = stopOf(sent)?.at
        val run = serverOf(sent)
        return "id=${sent.id} caller=${sent.caller} status=${sent.status} sent=${sent.sentAt.after(stop)} " +
            "ended=${sent.endedAt?.after(
                stop,
            )} server=${run?.id} server_ended=${run?.finished?.get(sent.id)?.after(stop)}"
    }

    private fun isCut(sent: SentStream): Boolean {
        val endedAt = sent.endedAt ?: return false
        if (sent.isWhole || sent.isTimeout || endedAt - sent.sentAt >= requestTimeout) return false
        val isHeld = sent.writtenAt?.let { endedAt - it > CROSSING } ?: false
        return serverOf(sent) != null || isHeld
    }

    /** A server that is still at work at the end of the grace period excuses a request that came early in it. */
    private fun isExcused(sent: SentStream): Boolean {
        val stop = stopOf(sent)?.at ?: return false
        val workedUntil = listOfNotNull(serverOf(sent)?.finished?.get(sent.id), sent.endedAt).min()
        return sent.sentAt - stop <= EARLY && workedUntil - stop >= FleetProcesses.GRACE * LAST_SHARE
    }

    private fun hasLastEvent(sent: SentStream): Boolean {
        val server = serverOf(sent) ?: return false
        return "${sent.id}-${server.events - 1}" in sent.body
    }

    private fun serverOf(sent: SentStream): PlatformServerStandIn? = servers.find { sent.id in it.started }

    /** Returns the last stop of the VM of [sent] before it ended, if the process of that stop can have had it. */
    private fun stopOf(sent: SentStream): PlannedStop? {
        val endedAt = sent.endedAt ?: return null
        return stops.lastOrNull {
            it.address == sent.address && it.at <= endedAt && sent.sentAt - it.at <= FleetProcesses.GRACE
        }
    }

    private fun MonotonicTime.after(stop: MonotonicTime?): String = stop?.let { "${this - it}" } ?: "no_stop"

    private companion object {
        const val LAST_SHARE = 5.0 / 6.0
        val EARLY = 3.seconds

        // A request that crosses the close of its connection counts only if it was passed on.
        val CROSSING = 200.milliseconds
    }
}
