package org.agatestream.server

import io.micrometer.core.instrument.MeterRegistry
import io.micrometer.core.instrument.Timer
import org.agatestream.core.BurnRateCounter
import org.agatestream.core.BurnRateLine
import org.agatestream.core.MonotonicTime
import org.agatestream.core.RequestClass
import org.agatestream.core.WorkspaceId
import org.agatestream.http.HttpCall
import kotlin.time.Duration
import kotlin.time.toJavaDuration

/** Counts requests against the service-level objectives and in metrics. */
public class ServiceLevels(
    private val registry: MeterRegistry,
    private val clock: () -> MonotonicTime = MonotonicTime::now,
) {
    private val ledger = BurnRateCounter()

    /** Runs [handle] and counts the response to [call] if it is an online request of a known workspace. */
    public suspend fun observe(
        call: HttpCall,
        workspaceOf: (HttpCall) -> WorkspaceId?,
        handle: suspend (HttpCall) -> Unit,
    ) {
        val workspace = if (isOnline(call.path)) workspaceOf(call) else null
        if (workspace == null) return handle(call)
        val observed = ObservedCall(call, clock)
        try {
            handle(observed)
        } finally {
            if (observed.isComplete || !call.callerDisconnected.isCompleted) record(workspace, observed)
        }
    }

    /** Counts one request. */
    public fun count(
        workspace: WorkspaceId,
        requestClass: RequestClass,
        isGood: Boolean,
        code: String,
    ) {
        ledger.record(workspace, requestClass, isGood, clock())
        registry.counter("agatestream.requests", "class", requestClass.name.lowercase(), "code", code).increment()
    }

    /** Returns the burn rates of this VM. */
    public fun report(): List<BurnRateLine> = ledger.report(clock())

    private fun record(
        workspace: WorkspaceId,
        observed: ObservedCall,
    ) {
        val status = observed.status ?: return
        val timeToFirstByte = observed.timeToFirstByte
        val isCallerError = status in CALLER_ERRORS
        if (isCallerError) {
            registry.counter("agatestream.requests", "class", "online", "code", status.toString()).increment()
            return
        }
        timeToFirstByte?.let { firstByteTimer.record(it.toJavaDuration()) }
        val isSuccessful = status < CALLER_ERRORS.first && observed.isComplete
        count(workspace, RequestClass.ONLINE, isSuccessful && isInTime(timeToFirstByte), status.toString())
    }

    private fun isInTime(timeToFirstByte: Duration?): Boolean =
        timeToFirstByte != null && timeToFirstByte.inWholeMilliseconds <= ONLINE_OBJECTIVE.firstByteMillis

    private fun isOnline(path: String): Boolean = ONLINE_PATHS.any { path.startsWith(it) }

    private val firstByteTimer: Timer =
        Timer
            .builder("agatestream.first.byte")
            .tag("class", "online")
            .publishPercentileHistogram()
            .register(registry)

    private companion object {
        val CALLER_ERRORS = 400..499
        val ONLINE_PATHS = listOf("/v1/completions", "/v1/chat/completions", "/services/")
        val ONLINE_OBJECTIVE = BurnRateCounter.OBJECTIVES.first { it.requestClass == RequestClass.ONLINE }
    }
}
