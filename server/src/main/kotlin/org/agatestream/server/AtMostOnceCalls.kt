package org.agatestream.server

import kotlinx.coroutines.CoroutineScope
import kotlinx.coroutines.async
import kotlinx.coroutines.delay
import kotlinx.coroutines.launch
import kotlinx.coroutines.withTimeoutOrNull
import org.agatestream.core.AtMostOnceAction
import org.agatestream.core.AtMostOnceCall
import org.agatestream.core.AtMostOnceClaim
import org.agatestream.core.AtMostOnceEvent
import org.agatestream.core.AtMostOnceInput
import org.agatestream.core.AtMostOnceResult
import org.agatestream.core.AtMostOnceStep
import org.agatestream.core.ClaimId
import org.agatestream.core.ClaimSettlement
import org.agatestream.core.ClaimStatus
import org.agatestream.core.SendOutcome
import org.agatestream.core.SettlementAction
import org.agatestream.core.TableService
import org.agatestream.core.VmId
import java.util.UUID
import java.util.concurrent.ConcurrentHashMap
import kotlin.time.Duration
import kotlin.time.Duration.Companion.milliseconds
import kotlin.time.Duration.Companion.seconds

/** Runs non-idempotent calls at most once and reports the status of its claims to other VMs. */
public class AtMostOnceCalls(
    private val table: TableService,
    private val network: PeerNetwork,
    private val coordination: Coordination,
    private val scope: CoroutineScope,
) {
    private val statuses = ConcurrentHashMap<ClaimId, ClaimStatus>()

    /** Returns the status of a claim of this VM to another VM. */
    public fun answer(request: ClaimStatusRequest): ClaimStatusResponse = ClaimStatusResponse(statusOf(request.claim))

    /**
     * Claims the row [rowKey] and runs [send] at most once.
     *
     * The call continues after the caller disconnects, so that a retry by the caller finds its response.
     */
    internal suspend fun run(
        rowKey: String,
        digest: String,
        send: suspend () -> SendOutcome,
    ): AtMostOnceResult {
        val claim = AtMostOnceClaim(rowKey, ClaimId(UUID.randomUUID().toString()), network.self, digest)
        return scope.async { run(claim, send) }.await()
    }

    /** Waits up to [limit] until the rows of all finished calls are up to date. */
    public suspend fun flush(limit: Duration) {
        withTimeoutOrNull(limit) { while (statuses.isNotEmpty()) delay(FLUSH_POLL_INTERVAL) }
    }

    private suspend fun run(
        claim: AtMostOnceClaim,
        send: suspend () -> SendOutcome,
    ): AtMostOnceResult {
        statuses[claim.id] = ClaimStatus.ACTIVE
        var settlementStarted = false
        try {
            val action = runSteps(AtMostOnceCall.begin(claim), send)
            val settlement = action.settlement ?: return action.result
            settlementStarted = true
            settle(settlement)
            return action.result
        } finally {
            if (!settlementStarted) statuses.remove(claim.id)
        }
    }

    private suspend fun runSteps(
        first: AtMostOnceStep,
        send: suspend () -> SendOutcome,
    ): AtMostOnceAction.Answer {
        var step = first
        while (true) {
            val input =
                when (val action = step.action) {
                    is AtMostOnceAction.Answer -> {
                        return action
                    }

                    is AtMostOnceAction.Commit -> {
                        AtMostOnceInput.CommitAnswered(table.commit(action.transaction))
                    }

                    is AtMostOnceAction.ReadRow -> {
                        AtMostOnceInput.RowRead(table.read(step.ledger.claim.rowKey))
                    }

                    is AtMostOnceAction.QueryHolder -> {
                        AtMostOnceInput.HolderAnswered(
                            queryHolder(action.vm, action.claim),
                        )
                    }

                    is AtMostOnceAction.Send -> {
                        AtMostOnceInput.Sent(send())
                    }
                }
            step = step.ledger.next(input)
        }
    }

    /** Updates the row in the background; waits for a response to be stored, so that a retry by the caller finds it. */
    private suspend fun settle(settlement: ClaimSettlement) {
        statuses[settlement.claim.id] = settlement.status
        val job =
            scope.launch {
                settleRow(settlement)
                statuses.remove(settlement.claim.id)
            }
        if (settlement.event == AtMostOnceEvent.COMPLETE) withTimeoutOrNull(STORE_TIMEOUT) { job.join() }
    }

    private suspend fun settleRow(settlement: ClaimSettlement) {
        var retryDelay = MIN_RETRY_DELAY
        while (true) {
            var action = settlement.afterRead(table.read(settlement.claim.rowKey))
            if (action is SettlementAction.Commit) action = settlement.afterCommit(table.commit(action.transaction))
            if (action is SettlementAction.Done) return
            delay(retryDelay)
            retryDelay = (retryDelay * 2).coerceAtMost(MAX_RETRY_DELAY)
        }
    }

    private suspend fun queryHolder(
        vm: VmId,
        claim: ClaimId,
    ): ClaimStatus {
        if (vm == network.self) return statusOf(claim)
        val response = network.call(vm, ClaimStatusRequest(claim), STATUS_TIMEOUT) as? ClaimStatusResponse
        if (response != null) return response.word
        val listed = coordination.vms
        return if (listed.isNotEmpty() && listed.none { it.id == vm }) ClaimStatus.LOST else ClaimStatus.SILENT
    }

    private fun statusOf(claim: ClaimId): ClaimStatus = statuses[claim] ?: ClaimStatus.LOST

    private companion object {
        val STATUS_TIMEOUT = 500.milliseconds
        val STORE_TIMEOUT = 1.seconds
        val MIN_RETRY_DELAY = 100.milliseconds
        val MAX_RETRY_DELAY = 5.seconds
        val FLUSH_POLL_INTERVAL = 20.milliseconds
    }
}
