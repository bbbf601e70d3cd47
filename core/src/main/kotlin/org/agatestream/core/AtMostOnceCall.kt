package org.agatestream.core

import kotlinx.serialization.Serializable
import kotlin.time.Duration.Companion.seconds

/** The status of a claim as reported by its holder. */
@Serializable
public enum class ClaimStatus {
    /** The call is still in progress. */
    ACTIVE,

    /** The holder did not send the call and never will. */
    NEVER_SENT,

    /** The holder does not know the claim, or is gone for good. */
    LOST,

    /** The holder did not respond. */
    SILENT,
}

/** The outcome of sending a call to its service. */
public sealed interface SendOutcome {
    /** The service responded. */
    public data class Answered(
        val answer: StoredResponse,
    ) : SendOutcome

    /** The call did not run and will not run. */
    public data class NotRun(
        val failure: Failure,
    ) : SendOutcome

    /** The call may have run; its response is lost. */
    public data object Lost : SendOutcome
}

/** An input to the state machine of an at-most-once call. */
public sealed interface AtMostOnceInput {
    /** The table responded to a commit. */
    public data class CommitAnswered(
        val result: CommitResult,
    ) : AtMostOnceInput

    /** The table responded to a read of the call's row. */
    public data class RowRead(
        val result: ReadResult<Row>,
    ) : AtMostOnceInput

    /** The holder of another claim was queried. */
    public data class HolderAnswered(
        val status: ClaimStatus,
    ) : AtMostOnceInput

    /** The call was sent. */
    public data class Sent(
        val outcome: SendOutcome,
    ) : AtMostOnceInput
}

/** The next I/O action for an at-most-once call. */
public sealed interface AtMostOnceAction {
    /** Commit [transaction] to the table. */
    public data class Commit(
        val transaction: Transaction,
    ) : AtMostOnceAction

    /** Read the row of the call. */
    public data object ReadRow : AtMostOnceAction

    /** Query [vm] for the status of its [claim]. */
    public data class QueryHolder(
        val vm: VmId,
        val claim: ClaimId,
    ) : AtMostOnceAction

    /** Send the call to the service; this action occurs at most once for a claim. */
    public data object Send : AtMostOnceAction

    /** Respond to the caller and, if [settlement] is given, update the row in the background. */
    public data class Answer(
        val result: AtMostOnceResult,
        val settlement: ClaimSettlement? = null,
    ) : AtMostOnceAction
}

/** The result of an at-most-once call for its caller. */
public sealed interface AtMostOnceResult {
    /** The response of the run that this request started, or, if [replayed], of an earlier one. */
    public data class Answered(
        val answer: StoredResponse,
        val replayed: Boolean,
    ) : AtMostOnceResult

    /** An error; if its kind says that the call did not run, that holds for this claim. */
    public data class Refused(
        val failure: Failure,
    ) : AtMostOnceResult
}

/** A state of [AtMostOnceCall] with the action that it requires. */
public data class AtMostOnceStep(
    val ledger: AtMostOnceCall,
    val action: AtMostOnceAction,
)

/**
 * The state machine of one at-most-once call, from the claim of its row to its response.
 *
 * The row is claimed by compare-and-set before the call is sent, and a claimed call is sent at most once.
 */
@ConsistentCopyVisibility
public data class AtMostOnceCall internal constructor(
    val claim: AtMostOnceClaim,
    internal val phase: Phase = Phase.Claiming(RowVersion.ABSENT),
    internal val retries: Int = 0,
    /** True if a commit of the claim may have taken effect although its response was lost. */
    internal val claimMayBeCommitted: Boolean = false,
) {
    /** Returns the step that follows [input]. */
    public fun next(input: AtMostOnceInput): AtMostOnceStep {
        val current = phase
        return when {
            current is Phase.Claiming && input is AtMostOnceInput.CommitAnswered -> {
                afterClaim(current, input.result)
            }

            current is Phase.VerifyingClaim && input is AtMostOnceInput.RowRead -> {
                afterClaimRead(current, input.result)
            }

            current is Phase.QueryingHolder && input is AtMostOnceInput.HolderAnswered -> {
                afterQuery(
                    current,
                    input.status,
                )
            }

            current is Phase.MarkingLost && input is AtMostOnceInput.CommitAnswered -> {
                afterMarkLost(input.result)
            }

            current is Phase.Sending && input is AtMostOnceInput.Sent -> {
                afterSend(input.outcome)
            }

            else -> {
                error("input $input is not valid in phase $current")
            }
        }
    }

    private fun afterClaim(
        claiming: Phase.Claiming,
        result: CommitResult,
    ): AtMostOnceStep =
        when (result) {
            is CommitResult.Committed -> send()
            is CommitResult.Conflict -> resolveRow(result.current.firstOrNull { it.key == claim.rowKey })
            is CommitResult.Unavailable -> refuse(UNAVAILABLE)
            is CommitResult.Unknown -> verifyClaim(claiming.expectedVersion)
        }

    private fun verifyClaim(expectedVersion: RowVersion): AtMostOnceStep =
        AtMostOnceStep(
            copy(phase = Phase.VerifyingClaim(expectedVersion), claimMayBeCommitted = true),
            AtMostOnceAction.ReadRow,
        )

    /** Continues after a lost response to the claim: only a row with the claim proves that it took effect. */
    private fun afterClaimRead(
        verifying: Phase.VerifyingClaim,
        result: ReadResult<Row>,
    ): AtMostOnceStep =
        when (result) {
            is ReadResult.Found -> resolveRow(result.value)
            is ReadResult.Absent -> retry { claimAt(verifying.expectedVersion) }
            is ReadResult.Unavailable -> refuse(UNAVAILABLE)
        }

    private fun resolveRow(row: Row?): AtMostOnceStep {
        if (row == null || row.version == RowVersion.ABSENT) return retry { claimAt(RowVersion.ABSENT) }
        val record = AtMostOnceRecord.parse(row.value) ?: return refuse(UNAVAILABLE)
        return when {
            record.claim == claim.id && record.state == AtMostOnceState.CLAIMED -> {
                send()
            }

            record.state == AtMostOnceState.RELEASED -> {
                retry { claimAt(row.version) }
            }

            record.digest != claim.digest -> {
                refuse(KEY_REUSED)
            }

            record.state == AtMostOnceState.UNKNOWN -> {
                refuse(OUTCOME_UNKNOWN)
            }

            record.answer != null -> {
                replay(record.answer)
            }

            else -> {
                AtMostOnceStep(
                    copy(phase = Phase.QueryingHolder(record, row.version)),
                    AtMostOnceAction.QueryHolder(record.vm, record.claim),
                )
            }
        }
    }

    private fun afterQuery(
        querying: Phase.QueryingHolder,
        status: ClaimStatus,
    ): AtMostOnceStep =
        when (status) {
            ClaimStatus.ACTIVE, ClaimStatus.SILENT -> refuse(IN_PROGRESS)
            ClaimStatus.NEVER_SENT -> retry { claimAt(querying.version) }
            ClaimStatus.LOST -> retry { markLost(querying) }
        }

    /** Marks the call of a lost holder as unknown, so that it is never sent again. */
    private fun markLost(querying: Phase.QueryingHolder): AtMostOnceStep {
        val record = querying.record.after(AtMostOnceEvent.LOSE) ?: return refuse(OUTCOME_UNKNOWN)
        return AtMostOnceStep(copy(phase = Phase.MarkingLost), commit(querying.version, record))
    }

    private fun afterMarkLost(result: CommitResult): AtMostOnceStep =
        when (result) {
            is CommitResult.Conflict -> resolveRow(result.current.firstOrNull { it.key == claim.rowKey })
            else -> refuse(OUTCOME_UNKNOWN)
        }

    private fun afterSend(outcome: SendOutcome): AtMostOnceStep =
        when (outcome) {
            is SendOutcome.Answered -> {
                val settlement = ClaimSettlement(claim, AtMostOnceEvent.COMPLETE, outcome.answer)
                end(AtMostOnceResult.Answered(outcome.answer, replayed = false), settlement)
            }

            is SendOutcome.NotRun -> {
                end(AtMostOnceResult.Refused(outcome.failure), ClaimSettlement(claim, AtMostOnceEvent.RELEASE))
            }

            is SendOutcome.Lost -> {
                end(AtMostOnceResult.Refused(OUTCOME_UNKNOWN), ClaimSettlement(claim, AtMostOnceEvent.LOSE))
            }
        }

    private fun claimAt(version: RowVersion): AtMostOnceStep =
        AtMostOnceStep(copy(phase = Phase.Claiming(version)), commit(version, claim.toRecord()))

    private fun commit(
        version: RowVersion,
        record: AtMostOnceRecord,
    ): AtMostOnceAction {
        val condition = RowCondition(claim.rowKey, version)
        return AtMostOnceAction.Commit(
            Transaction(listOf(condition), listOf(RowWrite(claim.rowKey, record.toRowValue()))),
        )
    }

    private fun send(): AtMostOnceStep {
        invariant(
            "once-sent-once",
            phase !is Phase.Sending && phase !is Phase.Ended,
        ) { "claim ${claim.id} is sent twice" }
        return AtMostOnceStep(copy(phase = Phase.Sending), AtMostOnceAction.Send)
    }

    private fun replay(answer: StoredResponse): AtMostOnceStep = end(AtMostOnceResult.Answered(answer, replayed = true))

    /** Ends a call that was not sent; a claim that may have taken effect is released. */
    private fun refuse(failure: Failure): AtMostOnceStep {
        invariant(
            "once-not-run-is-true",
            phase !is Phase.Sending,
        ) { "claim ${claim.id} was sent but is reported as not run" }
        val settlement = if (claimMayBeCommitted) ClaimSettlement(claim, AtMostOnceEvent.RELEASE) else null
        return end(AtMostOnceResult.Refused(failure), settlement)
    }

    private fun end(
        result: AtMostOnceResult,
        settlement: ClaimSettlement? = null,
    ): AtMostOnceStep = AtMostOnceStep(copy(phase = Phase.Ended), AtMostOnceAction.Answer(result, settlement))

    private fun retry(step: () -> AtMostOnceStep): AtMostOnceStep {
        if (retries == MAX_RETRIES) return refuse(UNAVAILABLE)
        val next = step()
        return next.copy(ledger = next.ledger.copy(retries = retries + 1))
    }

    /** The phase of the call. */
    internal sealed interface Phase {
        data class Claiming(
            val expectedVersion: RowVersion,
        ) : Phase

        data class VerifyingClaim(
            val expectedVersion: RowVersion,
        ) : Phase

        data class QueryingHolder(
            val record: AtMostOnceRecord,
            val version: RowVersion,
        ) : Phase

        data object MarkingLost : Phase

        data object Sending : Phase

        data object Ended : Phase
    }

    public companion object {
        private const val MAX_RETRIES = 5

        /** Returns the first step of [claim], which claims its row. */
        public fun begin(claim: AtMostOnceClaim): AtMostOnceStep = AtMostOnceCall(claim).claimAt(RowVersion.ABSENT)

        private val UNAVAILABLE =
            Failure(ErrorKind.PLATFORM_UNAVAILABLE, "the call can't be kept safe from a second run now", 1.seconds)
        private val KEY_REUSED = Failure(ErrorKind.KEY_REUSED, "the idempotency key was used for another call")
        private val IN_PROGRESS =
            Failure(ErrorKind.IN_PROGRESS, "the call with this idempotency key is under way", 1.seconds)
        private val OUTCOME_UNKNOWN = Failure(ErrorKind.OUTCOME_UNKNOWN, "the call was sent and its answer is lost")
    }
}
