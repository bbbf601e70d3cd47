package org.agatestream.server

import kotlinx.coroutines.CoroutineScope
import kotlinx.coroutines.delay
import kotlinx.coroutines.isActive
import kotlinx.coroutines.launch
import kotlinx.serialization.Serializable
import org.agatestream.core.CrashSuspects
import org.agatestream.core.MonotonicTime
import org.agatestream.core.PartFacts
import org.agatestream.core.PromptPart
import org.agatestream.core.PromptVerdict
import org.agatestream.core.RunningCall
import org.agatestream.core.ServerEntry
import org.agatestream.core.ServerIncarnation
import org.agatestream.core.incarnation
import kotlin.time.Duration.Companion.seconds

/** The part of a status report, or of its response, on prompt parts that end servers. */
@Serializable
internal class PartReport(
    /** All facts that the sender has; null if the receiver has them already. */
    val facts: List<PartFacts>?,
    /** The version of the sender's facts. */
    val version: Long,
    /** The version of the receiver's facts that the sender has; 0 if it has none. */
    val knownVersion: Long,
) {
    companion object {
        /** The report of a VM whose build knows of no such facts. */
        val NONE = PartReport(facts = null, version = 0, knownVersion = 0)
    }
}

/** Notes the servers that end on requests, and shares what this VM knows about prompt parts with the coordinator. */
internal class PromptPartWatch(
    private val view: PlatformView,
    /** Returns whether a server refuses connections at an address. */
    private val isRefused: suspend (String) -> Boolean,
) {
    val suspects = CrashSuspects()
    private var condemned: Set<PromptPart> = emptySet()
    private var acknowledgedVersion = 0L
    private var coordinatorVersion = 0L

    /** Forgets unused facts until [scope] ends. */
    fun start(scope: CoroutineScope) {
        scope.launch {
            while (isActive) {
                delay(EXPIRY_INTERVAL)
                suspects.expire(MonotonicTime.now())
                logVerdicts()
            }
        }
    }

    fun judge(
        parts: List<PromptPart>,
        now: MonotonicTime,
    ): PromptVerdict = suspects.judge(parts, now)

    /** Notes that an answer to a request with [parts] began. */
    fun onSoundStart(
        parts: List<PromptPart>,
        now: MonotonicTime,
    ) {
        if (parts.isEmpty()) return
        suspects.onSoundStart(parts, now)
        logVerdicts()
    }

    /**
     * Notes that [run] was lost at [server] before its answer began.
     *
     * A broken connection alone is no evidence that the server ended: it must also refuse a new one, or its entry must
     * be gone or that of another start.
     */
    suspend fun onLost(
        run: RunningCall,
        server: ServerEntry,
        sentAt: MonotonicTime,
    ) {
        if (run.parts.isEmpty() || run.hasBegun) return
        // It ends on purpose, whatever it runs.
        if (view.registry.isLeaving(server.incarnation)) return
        val lostAt = MonotonicTime.now()
        val current = view.registry.usable(server.id)?.entry
        if (current?.startedAtMillis == server.startedAtMillis && !isRefused(server.address)) return
        suspects.onCrash(run.parts, server.incarnation, sentAt, lostAt)
        EventLog.info("server_ended_on_request", "server" to server.id, "parts" to run.parts.joinToString(","))
        logVerdicts()
    }

    /** Returns the facts on [parts], to go with a message on a request with them. */
    fun factsOn(
        parts: List<PromptPart>,
        now: MonotonicTime,
    ): List<PartFacts> = suspects.factsOn(parts, now)

    /** Adds the facts of another VM. */
    fun merge(
        facts: List<PartFacts>,
        now: MonotonicTime,
    ) {
        if (facts.isEmpty()) return
        suspects.merge(facts, now)
        logVerdicts()
    }

    /** Returns this VM's report to the coordinator. */
    fun report(now: MonotonicTime): PartReport = reportSince(acknowledgedVersion, coordinatorVersion, now)

    /** Applies a VM's report and returns the response to it. */
    fun answer(
        report: PartReport,
        now: MonotonicTime,
    ): PartReport {
        report.facts?.let { merge(it, now) }
        return reportSince(report.knownVersion, report.version, now)
    }

    /** Applies the coordinator's response to [sent]. */
    fun onAnswered(
        sent: PartReport,
        answer: PartReport,
        now: MonotonicTime,
    ) {
        acknowledgedVersion = sent.version
        answer.facts?.let { merge(it, now) }
        coordinatorVersion = answer.version
    }

    /** Makes the next report and its response complete, as the new coordinator has other versions. */
    fun onCoordinatorChanged() {
        acknowledgedVersion = 0
        coordinatorVersion = 0
    }

    private fun reportSince(
        receiverHas: Long,
        receiverVersion: Long,
        now: MonotonicTime,
    ): PartReport =
        PartReport(suspects.facts(now).takeIf { receiverHas != suspects.version }, suspects.version, receiverVersion)

    private fun logVerdicts() {
        val found = suspects.condemned
        val parts = found.mapTo(HashSet()) { it.part }
        if (parts == condemned) return
        for (verdict in found) {
            if (verdict.part in condemned) continue
            EventLog.warn(
                "prompt_part_condemned",
                "part" to verdict.part,
                "crashes" to verdict.crashes,
                "servers" to verdict.servers.joinToString(","),
            )
        }
        for (part in condemned - parts) EventLog.info("prompt_part_cleared", "part" to part)
        condemned = parts
    }

    private companion object {
        val EXPIRY_INTERVAL = 1.seconds
    }
}
