package org.agatestream.core

/** A version of a chunk's row that a VM first observed at [since], by its own clock after the read returned. */
public data class ChunkObservation(
    val version: RowVersion,
    val since: MonotonicTime,
)

/** Evidence that the holder of a chunk starts no more items. */
public sealed interface HolderEvidence {
    /** There is no evidence. */
    public data object None : HolderEvidence

    /** The holder was on the platform's list of VMs and no longer is. */
    public data object Gone : HolderEvidence

    /** The row has not changed since [watch] began. */
    public data class Unchanged(
        public val observation: ChunkObservation,
    ) : HolderEvidence
}

/** A chunk that a VM may try to claim. */
public data class ChunkClaim(
    val spec: JobSpec,
    /** The record that the claim writes. */
    val record: ChunkRecord,
    /** The version of the row that the claim requires. */
    val version: RowVersion,
) {
    /** Returns the transaction that commits this claim. */
    public fun toTransaction(): Transaction {
        val key = BatchNames.chunkKey(spec.id, record.index)
        return Transaction(
            conditions =
                listOf(
                    RowCondition(key, version),
                    RowCondition(BatchNames.cancelKey(spec.id), RowVersion.ABSENT),
                ),
            writes = listOf(RowWrite(key, record.toRowValue())),
        )
    }
}

/** Returns the claim of a chunk that has no row. */
public fun JobSpec.claimFresh(
    index: Int,
    holder: VmId,
): ChunkClaim {
    val record = ChunkRecord(job = id, index = index)
    return ChunkClaim(this, checkNotNull(record.claimedBy(holder, ChunkEvent.CLAIM)), RowVersion.ABSENT)
}

/**
 * Returns the claim of the chunk in [row], or null if it is done or held.
 *
 * A chunk that another VM holds may be claimed at [now] if [evidence] shows that the holder is gone for good, or that
 * the row has not changed for longer than the holder's lease can last by the observing VM's clock.
 */
public fun JobSpec.claimExisting(
    row: Row,
    evidence: HolderEvidence,
    holder: VmId,
    now: MonotonicTime,
    rules: BatchRules,
): ChunkClaim? {
    val record = ChunkRecord.parse(row.value)
    val claimed =
        when (record.state) {
            ChunkState.OPEN -> record.claimedBy(holder, ChunkEvent.CLAIM)
            ChunkState.HELD if evidence.allowsTakeOver(row.version, now, rules) -> record.takenOverBy(holder, rules)
            else -> null
        }
    return claimed?.let { ChunkClaim(this, it, row.version) }
}

private fun HolderEvidence.allowsTakeOver(
    version: RowVersion,
    now: MonotonicTime,
    rules: BatchRules,
): Boolean =
    when (this) {
        is HolderEvidence.None -> false
        is HolderEvidence.Gone -> true
        is HolderEvidence.Unchanged -> observation.version == version && now - observation.since > rules.takeOverAfter
    }

private fun ChunkRecord.claimedBy(
    holder: VmId,
    event: ChunkEvent,
): ChunkRecord? {
    val next = stateAfter(event) ?: return null
    return copy(state = next, epoch = epoch.next(), holder = holder, commits = commits + 1)
}

/** Counts the loss of the holder against the chunk and against the item that it ran alone, if any. */
private fun ChunkRecord.takenOverBy(
    holder: VmId,
    rules: BatchRules,
): ChunkRecord? {
    val claimed = claimedBy(holder, ChunkEvent.TAKE_OVER) ?: return null
    val updatedItemLosses = alone?.let { itemLosses + (it to (itemLosses[it] ?: 0) + 1) } ?: itemLosses
    val withLoss = claimed.copy(losses = losses + 1, alone = null, itemLosses = updatedItemLosses)
    if (withLoss.losses < rules.isolateAfterLosses) return withLoss
    return withLoss.copy(isolateBelow = maxOf(isolateBelow, windowEnd(rules)))
}

/** Returns the position after the last item that a holder may have started since the last commit. */
internal fun ChunkRecord.windowEnd(rules: BatchRules): Int {
    val bits = finished.toBits()
    var position = -1
    repeat(rules.windowItems) { position = bits.nextClearBit(position + 1) }
    return position + 1
}

/** The next step of a VM after a commit of a claim. */
public enum class ClaimStep {
    /** This VM holds the chunk. */
    HELD,

    /** The commit may have taken effect: send the same one again. */
    REPEAT,

    /** This VM does not hold the chunk. */
    MISSED,
}

/** Returns the next step after the response to commit number [attempt] (from 1) of this claim. */
public fun ChunkClaim.afterCommit(
    result: CommitResult,
    attempt: Int,
): ClaimStep =
    when (result) {
        is CommitResult.Committed -> ClaimStep.HELD
        is CommitResult.Conflict -> if (result.current.any { isOwnCommit(it) }) ClaimStep.HELD else ClaimStep.MISSED
        is CommitResult.Unknown if attempt < MAX_CLAIM_ATTEMPTS -> ClaimStep.REPEAT
        is CommitResult.Unknown, is CommitResult.Unavailable -> ClaimStep.MISSED
    }

private fun ChunkClaim.isOwnCommit(row: Row): Boolean =
    row.key == BatchNames.chunkKey(spec.id, record.index) &&
        row.version.value == version.value + 1 &&
        row.value == record.toRowValue()

private const val MAX_CLAIM_ATTEMPTS = 4
