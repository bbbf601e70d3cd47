package org.agatestream.core

/** The next I/O action of a [ClaimSettlement]. */
public sealed interface SettlementAction {
    /** Read the row. */
    public data object ReadRow : SettlementAction

    /** Commit [transaction]. */
    public data class Commit(
        val transaction: Transaction,
    ) : SettlementAction

    /** Nothing is left to do. */
    public data object Done : SettlementAction

    /** The table did not respond; start over after a pause. */
    public data object Pause : SettlementAction
}

/**
 * Updates the row of a claim after its call ended.
 *
 * Changes only a row that holds this claim, at the version that was read, so that no other VM's claim is overwritten.
 */
public data class ClaimSettlement(
    val claim: AtMostOnceClaim,
    val event: AtMostOnceEvent,
    val answer: StoredResponse? = null,
) {
    /** Returns the action after the read of the row. */
    public fun afterRead(result: ReadResult<Row>): SettlementAction =
        when (result) {
            is ReadResult.Absent -> SettlementAction.Done
            is ReadResult.Unavailable -> SettlementAction.Pause
            is ReadResult.Found -> updateRow(result.value)
        }

    /** Returns the action after the commit. */
    public fun afterCommit(result: CommitResult): SettlementAction =
        when (result) {
            is CommitResult.Committed -> SettlementAction.Done
            is CommitResult.Conflict -> SettlementAction.ReadRow
            is CommitResult.Unavailable, CommitResult.Unknown -> SettlementAction.Pause
        }

    /** The status that the holder reports until this settlement is done. */
    public val status: ClaimStatus
        get() =
            when (event) {
                AtMostOnceEvent.RELEASE -> ClaimStatus.NEVER_SENT
                AtMostOnceEvent.COMPLETE -> ClaimStatus.ACTIVE
                else -> ClaimStatus.LOST
            }

    private fun updateRow(row: Row): SettlementAction {
        val record = AtMostOnceRecord.parse(row.value)
        if (record == null || record.claim != claim.id) return SettlementAction.Done
        val next = record.after(event, answer) ?: return SettlementAction.Done
        val condition = RowCondition(claim.rowKey, row.version)
        val write = RowWrite(claim.rowKey, next.toRowValue())
        return SettlementAction.Commit(Transaction(listOf(condition), listOf(write)))
    }
}
