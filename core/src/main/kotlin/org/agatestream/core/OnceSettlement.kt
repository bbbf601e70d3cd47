package org.agatestream.core

/** What the I/O shell does next to bring the row of a call up to date. */
public sealed interface SettlementAction {
    /** Read the row. */
    public data object ReadRow : SettlementAction

    /** Commit [transaction]. */
    public data class Commit(
        val transaction: Transaction,
    ) : SettlementAction

    /** Nothing is left to do. */
    public data object Done : SettlementAction

    /** The table did not answer; begin again after a pause. */
    public data object Pause : SettlementAction
}

/**
 * Brings the row of a claim up to date after its call ended.
 *
 * Only a row that shows the claim is changed, at the version that was read, so that the claim of another VM stays.
 */
public data class OnceSettlement(
    val claim: OnceClaim,
    val event: OnceEvent,
    val answer: StoredAnswer? = null,
) {
    /** Returns what follows the read of the row. */
    public fun afterRead(result: ReadResult<Row>): SettlementAction =
        when (result) {
            is ReadResult.Absent -> SettlementAction.Done
            is ReadResult.Unavailable -> SettlementAction.Pause
            is ReadResult.Found -> settle(result.value)
        }

    /** Returns what follows the commit. */
    public fun afterCommit(result: CommitResult): SettlementAction =
        when (result) {
            is CommitResult.Committed -> SettlementAction.Done
            is CommitResult.Conflict -> SettlementAction.ReadRow
            is CommitResult.Unavailable, CommitResult.Unknown -> SettlementAction.Pause
        }

    /** What the holder says while this is not done. */
    public val word: HolderWord
        get() =
            when (event) {
                OnceEvent.RELEASE -> HolderWord.NEVER_SENT
                OnceEvent.COMPLETE -> HolderWord.ACTIVE
                else -> HolderWord.LOST
            }

    private fun settle(row: Row): SettlementAction {
        val record = OnceRecord.parse(row.value)
        if (record == null || record.claim != claim.id) return SettlementAction.Done
        val next = record.after(event, answer) ?: return SettlementAction.Done
        val condition = RowCondition(claim.rowKey, row.version)
        val write = RowWrite(claim.rowKey, next.toRowValue())
        return SettlementAction.Commit(Transaction(listOf(condition), listOf(write)))
    }
}
