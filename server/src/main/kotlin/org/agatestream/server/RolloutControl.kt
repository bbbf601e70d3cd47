package org.agatestream.server

import kotlinx.coroutines.CoroutineScope
import kotlinx.coroutines.Job
import kotlinx.coroutines.delay
import kotlinx.coroutines.isActive
import kotlinx.coroutines.launch
import org.agatestream.core.BackendServerId
import org.agatestream.core.CoordinatorTerm
import org.agatestream.core.MonotonicTime
import org.agatestream.core.ServiceId
import org.agatestream.core.WriteResult
import org.agatestream.core.rollout.Rollout
import org.agatestream.core.rollout.RolloutOrder
import org.agatestream.core.rollout.RolloutRecord
import org.agatestream.core.rollout.RolloutSituation
import org.agatestream.core.rollout.Rollouts
import org.agatestream.core.rollout.StageChange
import org.agatestream.core.rollout.Verdict
import org.agatestream.core.rollout.VersionBook
import kotlin.time.Duration.Companion.milliseconds

/**
 * Carries out roll-outs at the coordinator: advances them, and keeps in the store what must survive this VM.
 *
 * Does nothing while there is no open order.
 */
internal class RolloutControl(
    private val rollouts: Rollouts,
    private val book: VersionBook,
    private val rows: RolloutRows,
    private val term: CoordinatorTerm,
    private val situation: (Rollout) -> RolloutSituation,
    private val stopItems: (Set<BackendServerId>) -> Unit,
    private val scope: CoroutineScope,
) {
    // What the store holds, as this VM last read it; absent if it must be read before the next write.
    private val known = HashMap<ServiceId, StoredRollout>()
    private val inStoreCall = HashSet<ServiceId>()
    private var loop: Job? = null
    private var isStopped = false

    private val hasWork: Boolean get() = book.openOrders.isNotEmpty() || rollouts.all.isNotEmpty()

    /** Applies changed orders and servers. */
    fun onViewChanged(now: MonotonicTime) {
        rollouts.onOrders(now).forEach { log(it) }
        if (isStopped || loop?.isActive == true || !hasWork) return
        loop =
            scope.launch {
                while (isActive && hasWork) {
                    step(MonotonicTime.now())
                    delay(STEP_INTERVAL)
                }
            }
    }

    /** Stops; a successor continues from the store. */
    fun stop() {
        isStopped = true
        loop?.cancel()
        rollouts.all.values.forEach { it.fence() }
    }

    /** Advances all roll-outs once. */
    fun step(now: MonotonicTime) {
        rollouts.unloaded.forEach { order -> callStore(order.service) { load(order) } }
        for ((service, rollout) in rollouts.all) {
            rollouts.advance(service, situation(rollout), now)?.let { log(it) }
            if (rollout.mustStopItems(now)) stopItems(rollout.oldServers)
            val record = if (service in inStoreCall) null else rollout.due(now)
            if (record != null) callStore(service) { write(rollout, record) }
        }
        rollouts.closeFinished()
    }

    /** Makes a store call for [service] in the background, at most one at a time. */
    private fun callStore(
        service: ServiceId,
        call: suspend () -> Unit,
    ) {
        if (!inStoreCall.add(service)) return
        scope.launch {
            try {
                call()
            } finally {
                inStoreCall -= service
            }
        }
    }

    private suspend fun load(order: RolloutOrder) {
        val stored = rows.read(order.service) ?: return delay(RETRY_INTERVAL)
        // The order may have changed while the store was asked.
        if (isStopped || order !in rollouts.unloaded) return
        known[order.service] = stored
        rollouts.load(order, stored.record, stored.status, stored.readAt, MonotonicTime.now())
        val rollout = rollouts.all[order.service]
        EventLog.info(
            "rollout_loaded",
            "service" to order.service,
            "target" to order.target,
            "duration" to order.duration,
            "base" to book.versionInUse(order.service),
            "stage" to rollout?.stage,
            "status" to stored.status?.outcome,
            "exposed" to rollout?.exposed,
        )
        if (rollout != null) fenceIfReplaced(rollout, stored)
    }

    private suspend fun write(
        rollout: Rollout,
        record: RolloutRecord,
    ) {
        val service = rollout.order.service
        val before = known[service] ?: return readBack(rollout)
        known -= service
        when (val result = rows.write(service, before, record)) {
            is WriteResult.Written -> {
                onStored(rollout, record)
            }

            is WriteResult.Conflict, is WriteResult.NotDone, is WriteResult.Unknown -> {
                EventLog.warn(
                    "rollout_not_recorded",
                    "service" to service,
                    "stage" to record.stage,
                    "result" to result::class.simpleName,
                )
            }
        }
        readBack(rollout)
    }

    /** Reads what the store holds, and applies it if a write with an unknown result or another coordinator changed it. */
    private suspend fun readBack(rollout: Rollout) {
        val service = rollout.order.service
        val stored = rows.read(service) ?: return delay(RETRY_INTERVAL)
        known[service] = stored
        fenceIfReplaced(rollout, stored)
        val record = stored.record ?: return
        if (record.target == rollout.order.target) {
            if (record.writer == rollouts.writer) onStored(rollout, record) else onForeign(rollout, record)
        }
    }

    private fun fenceIfReplaced(
        rollout: Rollout,
        stored: StoredRollout,
    ) {
        if (CoordinatorTerm(stored.coordinatorVersion) <= term) return
        EventLog.warn("rollout_fenced", "service" to rollout.order.service, "term" to term)
        rollout.fence()
    }

    private fun onStored(
        rollout: Rollout,
        record: RolloutRecord,
    ) {
        rollout.onStored(record, MonotonicTime.now())?.let { log(it) }
    }

    private fun onForeign(
        rollout: Rollout,
        record: RolloutRecord,
    ) {
        rollout.onForeignRecord(record, MonotonicTime.now())?.let { log(it) }
    }

    private fun log(change: StageChange) {
        val evidence =
            when (val verdict = change.verdict) {
                null -> {
                    emptyArray()
                }

                is Verdict.NoDifference -> {
                    arrayOf("sample" to verdict.sample)
                }

                is Verdict.Bad -> {
                    arrayOf(
                        "group" to verdict.group,
                        "new" to "${verdict.newHits}/${verdict.newRuns}",
                        "old" to "${verdict.oldHits}/${verdict.oldRuns}",
                        "chance" to verdict.chance,
                    )
                }
            }
        EventLog.info(
            "rollout_stage",
            "service" to change.order.service,
            "target" to change.order.target,
            "from" to change.from,
            "to" to change.to,
            "reason" to change.reason,
            "age" to change.age,
            "requests" to change.requests,
            "exposed" to change.exposed,
            *evidence,
        )
    }

    private companion object {
        // An eightieth of the shortest order; a judgement takes well below a millisecond.
        val STEP_INTERVAL = 100.milliseconds

        // An unreachable store costs a few calls a second.
        val RETRY_INTERVAL = 300.milliseconds
    }
}
