package org.agatestream.core

/** A row of a chunk as a VM has seen it since [since], by that VM's clock, read after the answer came. */
public data class ChunkWatch(
    val version: RowVersion,
    val since: MonotonicTime,
)

/** Why a VM may believe that the holder of a chunk starts no more items. */
public sealed interface HolderSign {
    /** Nothing is known of the holder. */
    public data object None : HolderSign

    /** The holder is no longer on the platform's list of VMs, where it once was. */
    public data object Gone : HolderSign

    /** The row has not changed since [watch] began. */
    public data class Unchanged(
        public val watch: ChunkWatch,
    ) : HolderSign
}

/** A chunk that a VM may try to claim. */
public data class ChunkClaim(
    val spec: JobSpec,
    /** The record that the claim writes. */
    val record: ChunkRecord,
    /** The version of the row that the claim requires. */
    val version: RowVersion,
) {
    /** Makes the transaction of this claim. */
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
 * A chunk that another VM holds may be claimed at [now] if [sign] shows that the holder is gone for good, or that
 * the row has not changed for longer than the holder's lease can last, by the clock of the VM that watched.
 */
public fun JobSpec.claimExisting(
    row: Row,
    sign: HolderSign,
    holder: VmId,
    now: MonotonicTime,
    rules: BatchRules,
): ChunkClaim? {
    val record = ChunkRecord.parse(row.value)
    val claimed =
        when (record.state) {
            ChunkState.OPEN -> record.claimedBy(holder, ChunkEvent.CLAIM)
            ChunkState.HELD if sign.allowsTakeOver(row.version, now, rules) -> record.takenOverBy(holder, rules)
            else -> null
        }
    return claimed?.let { ChunkClaim(this, it, row.version) }
}

private fun HolderSign.allowsTakeOver(
    version: RowVersion,
    now: MonotonicTime,
    rules: BatchRules,
): Boolean =
    when (this) {
        is HolderSign.None -> false
        is HolderSign.Gone -> true
        is HolderSign.Unchanged -> watch.version == version && now - watch.since > rules.takeOverAfter
    }

private fun ChunkRecord.claimedBy(
    holder: VmId,
    event: ChunkEvent,
): ChunkRecord? {
    val next = stateAfter(event) ?: return null
    return copy(state = next, epoch = epoch.next(), holder = holder, commits = commits + 1)
}

/** Counts the loss of the holder against the chunk, and against the item that ran alone. */
private fun ChunkRecord.takenOverBy(
    holder: VmId,
    rules: BatchRules,
): ChunkRecord? {
    val claimed = claimedBy(holder, ChunkEvent.TAKE_OVER) ?: return null
    val lost = alone?.let { itemLosses + (it to (itemLosses[it] ?: 0) + 1) } ?: itemLosses
    val counted = claimed.copy(losses = losses + 1, alone = null, itemLosses = lost)
    if (counted.losses < rules.isolateAfterLosses) return counted
    return counted.copy(isolateBelow = maxOf(isolateBelow, windowEnd(rules)))
}

/** Returns the position after the last item that a holder may have started since the last commit. */
internal fun ChunkRecord.windowEnd(rules: BatchRules): Int {
    val bits = finished.toBits()
    var position = -1
    repeat(rules.windowItems) { position = bits.nextClearBit(position + 1) }
    return position + 1
}

/** What a VM does after it tried to claim a chunk. */
public enum class ClaimStep {
    /** The chunk is this VM's. */
    HELD,

    /** It is not known whether the claim took effect: send the same one again. */
    REPEAT,

    /** The chunk is not this VM's. */
    MISSED,
}

/** Decides on the answer to the [attempt]th commit of this claim, counted from 1. */
public fun ChunkClaim.afterCommit(
    result: CommitResult,
    attempt: Int,
): ClaimStep =
    when (result) {
        is CommitResult.Committed -> ClaimStep.HELD
        is CommitResult.Conflict -> if (result.current.any { isOwn(it) }) ClaimStep.HELD else ClaimStep.MISSED
        is CommitResult.Unknown if attempt < MAX_CLAIM_ATTEMPTS -> ClaimStep.REPEAT
        is CommitResult.Unknown, is CommitResult.Unavailable -> ClaimStep.MISSED
    }

private fun ChunkClaim.isOwn(row: Row): Boolean =
    row.key == BatchNames.chunkKey(spec.id, record.index) &&
        row.version.value == version.value + 1 &&
        row.value == record.toRowValue()

private const val MAX_CLAIM_ATTEMPTS = 4
