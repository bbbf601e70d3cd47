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

/** Decides how to cancel the job whose row is at [version]; no claim and no checkpoint succeeds afterwards. */
public fun JobRecord.planCancel(version: RowVersion): CancelStep {
    val next = afterCancel() ?: return CancelStep.Ended(this)
    val key = BatchNames.jobKey(spec.workspace, spec.id)
    val transaction =
        Transaction(
            conditions = listOf(RowCondition(key, version)),
            writes =
                listOf(
                    RowWrite(key, next.toRowValue()),
                    RowWrite(BatchNames.cancelKey(spec.id), "{}"),
                    RowWrite(BatchNames.openKey(spec), null),
                ),
        )
    return CancelStep.Commit(transaction, next)
}
