package org.agatestream.server

import kotlinx.coroutines.CoroutineScope
import kotlinx.coroutines.async
import kotlinx.coroutines.delay
import kotlinx.coroutines.launch
import kotlinx.coroutines.withTimeoutOrNull
import org.agatestream.core.ClaimId
import org.agatestream.core.HolderWord
import org.agatestream.core.OnceAction
import org.agatestream.core.OnceClaim
import org.agatestream.core.OnceEvent
import org.agatestream.core.OnceInput
import org.agatestream.core.OnceLedger
import org.agatestream.core.OnceResult
import org.agatestream.core.OnceSettlement
import org.agatestream.core.OnceStep
import org.agatestream.core.SendOutcome
import org.agatestream.core.SettlementAction
import org.agatestream.core.TableService
import org.agatestream.core.VmId
import java.util.UUID
import java.util.concurrent.ConcurrentHashMap
import kotlin.time.Duration
import kotlin.time.Duration.Companion.milliseconds
import kotlin.time.Duration.Companion.seconds

/** Runs calls that may not be repeated, and answers other VMs about those this VM holds. */
public class OnceCalls(
    private val table: TableService,
    private val network: PeerNetwork,
    private val coordination: Coordination,
    private val scope: CoroutineScope,
) {
    private val words = ConcurrentHashMap<ClaimId, HolderWord>()

    /** Answers another VM about a claim of this VM. */
    public fun answer(ask: ClaimAsk): ClaimAnswer = ClaimAnswer(findWord(ask.claim))

    /**
     * Claims the row [rowKey] and runs [send] at most once.
     *
     * The call goes on when the caller is gone, so that a resend finds its answer.
     */
    internal suspend fun run(
        rowKey: String,
        digest: String,
        send: suspend () -> SendOutcome,
    ): OnceResult {
        val claim = OnceClaim(rowKey, ClaimId(UUID.randomUUID().toString()), network.self, digest)
        return scope.async { run(claim, send) }.await()
    }

    /** Waits up to [limit] until the rows of all ended calls are up to date. */
    public suspend fun flush(limit: Duration) {
        withTimeoutOrNull(limit) { while (words.isNotEmpty()) delay(FLUSH_POLL) }
    }

    private suspend fun run(
        claim: OnceClaim,
        send: suspend () -> SendOutcome,
    ): OnceResult {
        words[claim.id] = HolderWord.ACTIVE
        var settling = false
        try {
            val action = runSteps(OnceLedger.begin(claim), send)
            val settlement = action.settlement ?: return action.result
            settling = true
            settle(settlement)
            return action.result
        } finally {
            if (!settling) words.remove(claim.id)
        }
    }

    private suspend fun runSteps(
        first: OnceStep,
        send: suspend () -> SendOutcome,
    ): OnceAction.Answer {
        var step = first
        while (true) {
            val input =
                when (val action = step.action) {
                    is OnceAction.Answer -> return action
                    is OnceAction.Commit -> OnceInput.CommitAnswered(table.commit(action.transaction))
                    is OnceAction.ReadRow -> OnceInput.RowRead(table.read(step.ledger.claim.rowKey))
                    is OnceAction.AskHolder -> OnceInput.HolderAnswered(askHolder(action.vm, action.claim))
                    is OnceAction.Send -> OnceInput.Sent(send())
                }
            step = step.ledger.next(input)
        }
    }

    /** Brings the row up to date in the background; an answer is waited for, so that a resend finds it. */
    private suspend fun settle(settlement: OnceSettlement) {
        words[settlement.claim.id] = settlement.word
        val job =
            scope.launch {
                settleRow(settlement)
                words.remove(settlement.claim.id)
            }
        if (settlement.event == OnceEvent.COMPLETE) withTimeoutOrNull(RECORD_WAIT) { job.join() }
    }

    private suspend fun settleRow(settlement: OnceSettlement) {
        var pause = FIRST_PAUSE
        while (true) {
            var action = settlement.afterRead(table.read(settlement.claim.rowKey))
            if (action is SettlementAction.Commit) action = settlement.afterCommit(table.commit(action.transaction))
            if (action is SettlementAction.Done) return
            delay(pause)
            pause = (pause * 2).coerceAtMost(LAST_PAUSE)
        }
    }

    private suspend fun askHolder(
        vm: VmId,
        claim: ClaimId,
    ): HolderWord {
        if (vm == network.self) return findWord(claim)
        val answer = network.ask(vm, ClaimAsk(claim), ASK_TIMEOUT) as? ClaimAnswer
        if (answer != null) return answer.word
        val listed = coordination.vms
        return if (listed.isNotEmpty() && listed.none { it.id == vm }) HolderWord.LOST else HolderWord.SILENT
    }

    private fun findWord(claim: ClaimId): HolderWord = words[claim] ?: HolderWord.LOST

    private companion object {
        val ASK_TIMEOUT = 500.milliseconds
        val RECORD_WAIT = 1.seconds
        val FIRST_PAUSE = 100.milliseconds
        val LAST_PAUSE = 5.seconds
        val FLUSH_POLL = 20.milliseconds
    }
}
