package org.agatestream.core

import kotlinx.serialization.Serializable
import kotlin.time.Duration.Companion.seconds

/** What the holder of a claim says about it. */
@Serializable
public enum class HolderWord {
    /** The holder still works on the call. */
    ACTIVE,

    /** The holder did not send the call and never will. */
    NEVER_SENT,

    /** The holder does not know the claim, or is gone for good. */
    LOST,

    /** The holder did not answer. */
    SILENT,
}

/** How the sending of a call ended. */
public sealed interface SendOutcome {
    /** The service answered. */
    public data class Answered(
        val answer: StoredAnswer,
    ) : SendOutcome

    /** The call has not run and will not run. */
    public data class NotRun(
        val failure: Failure,
    ) : SendOutcome

    /** The call may have run; its answer is lost. */
    public data object Lost : SendOutcome
}

/** What happened to a call that may not be repeated. */
public sealed interface OnceInput {
    /** The table answered a commit. */
    public data class CommitAnswered(
        val result: CommitResult,
    ) : OnceInput

    /** The table answered a read of the call's row. */
    public data class RowRead(
        val result: ReadResult<Row>,
    ) : OnceInput

    /** The holder of another claim was asked. */
    public data class HolderAnswered(
        val word: HolderWord,
    ) : OnceInput

    /** The call was sent. */
    public data class Sent(
        val outcome: SendOutcome,
    ) : OnceInput
}

/** What the I/O shell does next for a call that may not be repeated. */
public sealed interface OnceAction {
    /** Commit [transaction] to the table. */
    public data class Commit(
        val transaction: Transaction,
    ) : OnceAction

    /** Read the row of the call. */
    public data object ReadRow : OnceAction

    /** Ask [vm] about its [claim]. */
    public data class AskHolder(
        val vm: VmId,
        val claim: ClaimId,
    ) : OnceAction

    /** Send the call to the service, once. */
    public data object Send : OnceAction

    /** Answer the caller and, if [settlement] is given, bring the row up to date in the background. */
    public data class Answer(
        val result: OnceResult,
        val settlement: OnceSettlement? = null,
    ) : OnceAction
}

/** What the caller of a call that may not be repeated gets. */
public sealed interface OnceResult {
    /** The answer of the run that this call made, or that an earlier one made if [replayed]. */
    public data class Answered(
        val answer: StoredAnswer,
        val replayed: Boolean,
    ) : OnceResult

    /** An error; `not run` is true of this call. */
    public data class Refused(
        val failure: Failure,
    ) : OnceResult
}

/** A state of [OnceLedger] with what to do in it. */
public data class OnceStep(
    val ledger: OnceLedger,
    val action: OnceAction,
)

/**
 * One call that may not be repeated, from the claim of its row to its answer.
 *
 * The row is claimed by compare-and-set before the call is sent, and a claim is sent at most once.
 */
@ConsistentCopyVisibility
public data class OnceLedger internal constructor(
    val claim: OnceClaim,
    internal val phase: Phase = Phase.Claiming(RowVersion.ABSENT),
    internal val tries: Int = 0,
    /** True if a commit of the claim may have taken effect without an answer. */
    internal val claimInDoubt: Boolean = false,
) {
    /** Returns the step that follows [input]. */
    public fun next(input: OnceInput): OnceStep {
        val now = phase
        return when {
            now is Phase.Claiming && input is OnceInput.CommitAnswered -> afterClaim(now, input.result)
            now is Phase.Checking && input is OnceInput.RowRead -> afterCheck(now, input.result)
            now is Phase.Asking && input is OnceInput.HolderAnswered -> afterAsk(now, input.word)
            now is Phase.Losing && input is OnceInput.CommitAnswered -> afterLose(input.result)
            now is Phase.Sending && input is OnceInput.Sent -> afterSend(input.outcome)
            else -> error("$input does not fit $now")
        }
    }

    private fun afterClaim(
        claiming: Phase.Claiming,
        result: CommitResult,
    ): OnceStep =
        when (result) {
            is CommitResult.Committed -> send()
            is CommitResult.Conflict -> judge(result.current.firstOrNull { it.key == claim.rowKey })
            is CommitResult.Unavailable -> refuse(UNAVAILABLE)
            is CommitResult.Unknown -> check(claiming.over)
        }

    private fun check(over: RowVersion): OnceStep =
        OnceStep(copy(phase = Phase.Checking(over), claimInDoubt = true), OnceAction.ReadRow)

    /** The answer to the claim was lost: only a row that shows the claim proves that it took effect. */
    private fun afterCheck(
        checking: Phase.Checking,
        result: ReadResult<Row>,
    ): OnceStep =
        when (result) {
            is ReadResult.Found -> judge(result.value)
            is ReadResult.Absent -> retry { claimOver(checking.over) }
            is ReadResult.Unavailable -> refuse(UNAVAILABLE)
        }

    private fun judge(row: Row?): OnceStep {
        if (row == null || row.version == RowVersion.ABSENT) return retry { claimOver(RowVersion.ABSENT) }
        val record = OnceRecord.parse(row.value) ?: return refuse(UNAVAILABLE)
        return when {
            record.claim == claim.id && record.state == OnceState.CLAIMED -> {
                send()
            }

            record.state == OnceState.RELEASED -> {
                retry { claimOver(row.version) }
            }

            record.digest != claim.digest -> {
                refuse(KEY_REUSED)
            }

            record.state == OnceState.UNKNOWN -> {
                refuse(OUTCOME_UNKNOWN)
            }

            record.answer != null -> {
                replay(record.answer)
            }

            else -> {
                OnceStep(
                    copy(phase = Phase.Asking(record, row.version)),
                    OnceAction.AskHolder(record.vm, record.claim),
                )
            }
        }
    }

    private fun afterAsk(
        asking: Phase.Asking,
        word: HolderWord,
    ): OnceStep =
        when (word) {
            HolderWord.ACTIVE, HolderWord.SILENT -> refuse(IN_PROGRESS)
            HolderWord.NEVER_SENT -> retry { claimOver(asking.version) }
            HolderWord.LOST -> retry { lose(asking) }
        }

    /** Closes the call of a lost holder, so that a claim whose answer nobody has is never sent again. */
    private fun lose(asking: Phase.Asking): OnceStep {
        val record = asking.record.after(OnceEvent.LOSE) ?: return refuse(OUTCOME_UNKNOWN)
        return OnceStep(copy(phase = Phase.Losing), commit(asking.version, record))
    }

    private fun afterLose(result: CommitResult): OnceStep =
        when (result) {
            is CommitResult.Conflict -> judge(result.current.firstOrNull { it.key == claim.rowKey })
            else -> refuse(OUTCOME_UNKNOWN)
        }

    private fun afterSend(outcome: SendOutcome): OnceStep =
        when (outcome) {
            is SendOutcome.Answered -> {
                val settlement = OnceSettlement(claim, OnceEvent.COMPLETE, outcome.answer)
                end(OnceResult.Answered(outcome.answer, replayed = false), settlement)
            }

            is SendOutcome.NotRun -> {
                end(OnceResult.Refused(outcome.failure), OnceSettlement(claim, OnceEvent.RELEASE))
            }

            is SendOutcome.Lost -> {
                end(OnceResult.Refused(OUTCOME_UNKNOWN), OnceSettlement(claim, OnceEvent.LOSE))
            }
        }

    private fun claimOver(version: RowVersion): OnceStep =
        OnceStep(copy(phase = Phase.Claiming(version)), commit(version, claim.toRecord()))

    private fun commit(
        version: RowVersion,
        record: OnceRecord,
    ): OnceAction {
        val condition = RowCondition(claim.rowKey, version)
        return OnceAction.Commit(Transaction(listOf(condition), listOf(RowWrite(claim.rowKey, record.toRowValue()))))
    }

    private fun send(): OnceStep {
        invariant(
            "once-sent-once",
            phase !is Phase.Sending && phase !is Phase.Ended,
        ) { "claim ${claim.id} is sent twice" }
        return OnceStep(copy(phase = Phase.Sending), OnceAction.Send)
    }

    private fun replay(answer: StoredAnswer): OnceStep = end(OnceResult.Answered(answer, replayed = true))

    /** Ends a call that was not sent; its claim may have taken effect all the same and is then given back. */
    private fun refuse(failure: Failure): OnceStep {
        invariant(
            "once-not-run-is-true",
            phase !is Phase.Sending,
        ) { "claim ${claim.id} was sent and is called not run" }
        val settlement = if (claimInDoubt) OnceSettlement(claim, OnceEvent.RELEASE) else null
        return end(OnceResult.Refused(failure), settlement)
    }

    private fun end(
        result: OnceResult,
        settlement: OnceSettlement? = null,
    ): OnceStep = OnceStep(copy(phase = Phase.Ended), OnceAction.Answer(result, settlement))

    private fun retry(step: () -> OnceStep): OnceStep {
        if (tries == MAX_TRIES) return refuse(UNAVAILABLE)
        val next = step()
        return next.copy(ledger = next.ledger.copy(tries = tries + 1))
    }

    /** How far the call has come. */
    internal sealed interface Phase {
        data class Claiming(
            val over: RowVersion,
        ) : Phase

        data class Checking(
            val over: RowVersion,
        ) : Phase

        data class Asking(
            val record: OnceRecord,
            val version: RowVersion,
        ) : Phase

        data object Losing : Phase

        data object Sending : Phase

        data object Ended : Phase
    }

    public companion object {
        private const val MAX_TRIES = 5

        /** Returns the first step of [claim]: to claim its row. */
        public fun begin(claim: OnceClaim): OnceStep = OnceLedger(claim).claimOver(RowVersion.ABSENT)

        private val UNAVAILABLE =
            Failure(ErrorKind.PLATFORM_UNAVAILABLE, "the call can't be kept safe from a second run now", 1.seconds)
        private val KEY_REUSED = Failure(ErrorKind.KEY_REUSED, "the idempotency key was used for another call")
        private val IN_PROGRESS =
            Failure(ErrorKind.IN_PROGRESS, "the call with this idempotency key is under way", 1.seconds)
        private val OUTCOME_UNKNOWN = Failure(ErrorKind.OUTCOME_UNKNOWN, "the call was sent and its answer is lost")
    }
}
