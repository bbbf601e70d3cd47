package org.agatestream.server

import io.micrometer.core.instrument.Counter
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

    /** Counts an online request that was answered; [firstByteAfter] counts from its arrival. */
    public fun answered(
        workspace: WorkspaceId,
        firstByteAfter: Duration,
    ) {
        timer.record(firstByteAfter.toJavaDuration())
        val isInTime = firstByteAfter.inWholeMilliseconds <= ONLINE_OBJECTIVE.firstByteMillis
        count(workspace, RequestClass.ONLINE, isInTime, "ok")
    }

    /** Counts an online request that ended in an error; what the caller caused does not burn the budget. */
    public fun failed(
        workspace: WorkspaceId,
        kind: ErrorKind,
    ) {
        val byCaller = kind.status < STATUS_SERVER_ERROR && kind.run != RunState.UNKNOWN
        if (byCaller) {
            counter(
                RequestClass.ONLINE,
                kind.code,
            ).increment()
        } else {
            count(workspace, RequestClass.ONLINE, false, kind.code)
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
        counter(requestClass, code).increment()
    }

    /** Returns the burn report of this VM. */
    public fun report(): List<BurnLine> = ledger.report(clock())

    private fun counter(
        requestClass: RequestClass,
        code: String,
    ): Counter = registry.counter("agatestream.requests", "class", requestClass.name.lowercase(), "code", code)

    private val timer: Timer =
        Timer
            .builder("agatestream.first.byte")
            .tag("class", "online")
            .publishPercentileHistogram()
            .register(registry)

    private companion object {
        const val STATUS_SERVER_ERROR = 500
        val ONLINE_OBJECTIVE = BurnLedger.OBJECTIVES.first { it.requestClass == RequestClass.ONLINE }
    }
}
