package org.agatestream.core

/** A commit of a chunk's holder; its results are stored as [objectName] before the row is written. */
public data class Checkpoint(
    val spec: JobSpec,
    /** The version of the row that the commit requires: the one written by the holder's last commit. */
    val version: RowVersion,
    val record: ChunkRecord,
    val part: ResultPart?,
    val results: Map<Int, ItemResult>,
    /** The size of [results] in bytes. */
    val bytes: Long,
) {
    /** The positions of the items whose results the commit publishes. */
    val positions: Set<Int>
        get() = results.keys

    /** True if the commit completes the chunk, which also updates the job's row. */
    val completes: Boolean
        get() = record.state == ChunkState.DONE

    /** True if the commit releases the chunk for other VMs. */
    public val releases: Boolean
        get() = record.state == ChunkState.OPEN

    /** Name of the object for the results, or null if there are none. */
    val objectName: String?
        get() = part?.let { BatchNames.resultName(spec, record.index, it) }

    /** Converts the results to the content of their object: one JSON line for each. */
    public fun toObject(): ByteArray = results.values.joinToString("") { it.toLine() }.encodeToByteArray()

    /** Returns the transaction of a commit that does not complete the chunk. */
    public fun toTransaction(): Transaction =
        Transaction(
            conditions = listOf(chunkCondition(), RowCondition(BatchNames.cancelKey(spec.id), RowVersion.ABSENT)),
            writes = listOf(chunkWrite()),
        )

    /** Returns the transaction of a commit that completes the chunk, or null if [job] has ended. */
    public fun toTransaction(
        job: JobRecord,
        jobVersion: RowVersion,
    ): Transaction? {
        val next = job.afterCompleted(record) ?: return null
        val key = BatchNames.jobKey(spec.workspace, spec.id)
        val close = RowWrite(BatchNames.openKey(spec), null).takeIf { next.state == JobState.DONE }
        return Transaction(
            conditions = listOf(chunkCondition(), RowCondition(key, jobVersion)),
            writes = listOfNotNull(chunkWrite(), RowWrite(key, next.toRowValue()), close),
        )
    }

    /** Returns the next step after the response to the commit of this checkpoint. */
    public fun afterCommit(result: CommitResult): CheckpointStep =
        when (result) {
            is CommitResult.Committed -> CheckpointStep.Committed
            is CommitResult.Unavailable, is CommitResult.Unknown -> CheckpointStep.Retry
            is CommitResult.Conflict -> afterConflict(result.current)
        }

    private fun afterConflict(current: List<Row>): CheckpointStep {
        val chunk = current.find { it.key == chunkKey() }
        return when {
            chunk == null -> if (current.any { it.isCancel() }) CheckpointStep.Lost else CheckpointStep.RefreshJob
            chunk.version.value == version.value + 1 && chunk.value == record.toRowValue() -> CheckpointStep.Committed
            else -> CheckpointStep.Lost
        }
    }

    private fun Row.isCancel(): Boolean = key == BatchNames.cancelKey(spec.id)

    private fun chunkKey(): String = BatchNames.chunkKey(spec.id, record.index)

    private fun chunkCondition(): RowCondition = RowCondition(chunkKey(), version)

    private fun chunkWrite(): RowWrite = RowWrite(chunkKey(), record.toRowValue())
}

/** The next step of a chunk's holder after a commit. */
public sealed interface CheckpointStep {
    /** The commit took effect, now or earlier. */
    public data object Committed : CheckpointStep

    /** The commit may have taken effect: send the same one again. */
    public data object Retry : CheckpointStep

    /** The job's row has changed: read it and commit again. */
    public data object RefreshJob : CheckpointStep

    /** Another VM holds the chunk or its job is cancelled; no more of its items may be run or written. */
    public data object Lost : CheckpointStep
}
