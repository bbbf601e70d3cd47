package org.agatestream.core

/** What a cancel of a job does. */
public sealed interface CancelStep {
    /** The job has ended already, as [job] says. */
    public data class Ended(
        public val job: JobRecord,
    ) : CancelStep

    /** [transaction] cancels the job and makes it [next]. */
    public data class Commit(
        public val transaction: Transaction,
        public val next: JobRecord,
    ) : CancelStep
}

/**
 * Decides how to cancel the job whose row is at [version]; no claim and no checkpoint succeeds afterwards.
 *
 * [recent] is the row of the cancels before, or null if there is none.
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
