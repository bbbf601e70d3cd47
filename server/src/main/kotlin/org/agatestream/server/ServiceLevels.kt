package org.agatestream.server

import io.micrometer.core.instrument.MeterRegistry
import io.micrometer.core.instrument.Timer
import org.agatestream.core.BurnLedger
import org.agatestream.core.BurnLine
import org.agatestream.core.ErrorKind
import org.agatestream.core.MonotonicTime
import org.agatestream.core.RequestClass
import org.agatestream.core.RunState
import org.agatestream.core.WorkspaceId
import kotlin.time.Duration
import kotlin.time.toJavaDuration

/** Counts requests against the service-level objectives and in metrics. */
public class ServiceLevels(
    private val registry: MeterRegistry,
    private val clock: () -> MonotonicTime = MonotonicTime::now,
) {
    private val ledger = BurnLedger()

    /** Counts a request that was answered; [firstByteAfter] counts from its arrival. */
    public fun answered(
        workspace: WorkspaceId,
        requestClass: RequestClass,
        firstByteAfter: Duration,
    ) {
        val objective = BurnLedger.OBJECTIVES.first { it.requestClass == requestClass }
        val good = firstByteAfter.inWholeMilliseconds <= objective.firstByteMillis
        ledger.record(workspace, requestClass, good, clock())
        timer(requestClass).record(firstByteAfter.toJavaDuration())
        count(requestClass, "ok")
    }

    /** Counts a request that ended in an error; what the caller caused is not counted against the objective. */
    public fun failed(
        workspace: WorkspaceId,
        requestClass: RequestClass,
        kind: ErrorKind,
    ) {
        count(requestClass, kind.code)
        val byCaller = kind.status < STATUS_SERVER_ERROR && kind.run != RunState.UNKNOWN
        if (!byCaller) ledger.record(workspace, requestClass, good = false, clock())
    }

    /** Returns the burn report of this VM. */
    public fun report(): List<BurnLine> = ledger.report(clock())

    private fun timer(requestClass: RequestClass): Timer =
        Timer
            .builder("agatestream.first.byte")
            .tag("class", requestClass.name.lowercase())
            .publishPercentileHistogram()
            .register(registry)

    private fun count(
        requestClass: RequestClass,
        code: String,
    ) {
        registry.counter("agatestream.requests", "class", requestClass.name.lowercase(), "code", code).increment()
    }

    private companion object {
        const val STATUS_SERVER_ERROR = 500
    }
}
