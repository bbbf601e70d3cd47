package org.agatestream.core

/** The next step to cancel a job. */
public sealed interface CancelStep {
    /** The job has already ended; [job] is its final record. */
    public data class Ended(
        public val job: JobRecord,
    ) : CancelStep

    /** Commit [transaction], which cancels the job and stores [next]. */
    public data class Commit(
        public val transaction: Transaction,
        public val next: JobRecord,
    ) : CancelStep
}

/**
 * Plans the cancel of the job whose row is at [version]; no claim or checkpoint succeeds after it is committed.
 *
 * [recent] is the current row of recent cancels, or null if there is none.
 */
public fun JobRecord.planCancel(
    version: RowVersion,
    recent: Row?,
): CancelStep {
    val next = afterCancel() ?: return CancelStep.Ended(this)
    val key = BatchNames.jobKey(spec.workspace, spec.id)
    val cancels = recent?.let { RecentCancels.parse(it.value) } ?: RecentCancels()
    val transaction =
        Transaction(
            conditions =
                listOf(
                    RowCondition(key, version),
                    RowCondition(BatchNames.RECENT_CANCELS, recent?.version ?: RowVersion.ABSENT),
                ),
            writes =
                listOf(
                    RowWrite(key, next.toRowValue()),
                    RowWrite(BatchNames.cancelKey(spec.id), "{}"),
                    RowWrite(BatchNames.RECENT_CANCELS, (cancels + spec.id).toRowValue()),
                    RowWrite(BatchNames.openKey(spec), null),
                ),
        )
    return CancelStep.Commit(transaction, next)
}
