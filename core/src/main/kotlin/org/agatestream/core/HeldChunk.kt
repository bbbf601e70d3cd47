package org.agatestream.core

import kotlin.time.Duration

/**
 * The state of a chunk that this VM holds under a lease.
 *
 * Items start only while the lease is valid and only within a window that advances with each checkpoint. If the holder
 * is lost, only items of that window without a published result can run again.
 */
public data class HeldChunk(
    val spec: JobSpec,
    val rules: BatchRules,
    /** The ids of the chunk's items, by position. */
    val ids: List<ItemId>,
    /** The last committed record. */
    val record: ChunkRecord,
    /** The version of the row that the last commit wrote. */
    val version: RowVersion,
    /** When the last commit was sent. */
    val committedAt: MonotonicTime,
    /** When the last commit with results was sent. */
    val flushedAt: MonotonicTime,
    /** Results that no checkpoint has committed yet, by position. */
    val pending: Map<Int, ItemResult> = emptyMap(),
    /** The size of the pending results in bytes. */
    val pendingBytes: Long = 0,
    /** Positions of the running items. */
    val running: Set<Int> = emptySet(),
    /** Failed runs of unfinished items, by position. */
    val tries: Map<Int, Int> = emptyMap(),
    /** Earliest time of the next run of failed or preempted items, by position. */
    val retryAt: Map<Int, MonotonicTime> = emptyMap(),
    /** Sequence number of the next result object. */
    val nextSequence: Int = 0,
) {
    /** When this VM must stop starting items, by its own clock. */
    val leaseEnd: MonotonicTime
        get() = committedAt + rules.lease

    /** True once every item has a result, committed or pending. */
    val allEnded: Boolean
        get() = record.finished.size + pending.size == ids.size

    /** Returns the positions of up to [limit] items that may start at [now], in the order of the chunk. */
    public fun startable(
        limit: Int,
        now: MonotonicTime,
    ): List<Int> {
        if (now >= leaseEnd) return emptyList()
        val ready = unfinished().filter { it !in running && (retryAt[it] ?: now) <= now }
        if (mustRunAlone()) return ready.filter { it == record.alone && running.isEmpty() }
        return ready.take(maxOf(0, limit))
    }

    /** Returns the earliest time at which an item waiting for a retry may run, or null if none waits. */
    public fun nextRetry(): MonotonicTime? = retryAt.filterKeys { it !in running && it !in pending }.values.minOrNull()

    /** Records that the items at [positions] run. */
    public fun started(positions: Collection<Int>): HeldChunk = copy(running = running + positions)

    /** Records that the item at [position] ended with [result], a line of [bytes] bytes. */
    public fun ended(
        position: Int,
        result: ItemResult,
        bytes: Int,
    ): HeldChunk {
        invariant("item-ends-once", position !in pending && !record.finished.toBits().get(position)) {
            "item ${ids[position]} of ${spec.id} ended twice"
        }
        return copy(
            running = running - position,
            retryAt = retryAt - position,
            tries = tries - position,
            pending = pending + (position to result),
            pendingBytes = pendingBytes + bytes,
        )
    }

    /** Records that a run of the item at [position] failed; after the last attempt the item ends with an error. */
    public fun runFailed(
        position: Int,
        reason: String,
        now: MonotonicTime,
    ): HeldChunk {
        val failed = (tries[position] ?: 0) + 1
        if (failed >= rules.maxTries) {
            return ended(position, ItemResult.failed(ids[position], "tries_exhausted", reason), reason.length)
        }
        return copy(
            running = running - position,
            tries = tries + (position to failed),
            retryAt = retryAt + (position to now + rules.retryDelay * failed),
        )
    }

    /** Records that the item at [position] was preempted; it may run again after [delay]. */
    public fun yielded(
        position: Int,
        delay: Duration,
        now: MonotonicTime,
    ): HeldChunk = copy(running = running - position, retryAt = retryAt + (position to now + delay))

    /** Returns whether the next checkpoint is due at [now]. */
    public fun isCheckpointDue(now: MonotonicTime): Boolean =
        allEnded || hasEnoughResults() || now - committedAt >= rules.renewAfter || needsNextIsolatedItem()

    /** Returns the checkpoint that is due at [now]; it completes the chunk if every item has ended. */
    public fun planCheckpoint(now: MonotonicTime): Checkpoint {
        val event = if (allEnded) ChunkEvent.COMPLETE else ChunkEvent.CHECKPOINT
        val includeResults = allEnded || hasEnoughResults() || needsNextIsolatedItem() || isFlushDue(now)
        return plan(event, includeResults)
    }

    /** Returns the checkpoint that releases the chunk with all results so far, or completes it. */
    public fun planRelease(): Checkpoint = plan(if (allEnded) ChunkEvent.COMPLETE else ChunkEvent.RELEASE, true)

    /** Returns the state after the commit of [checkpoint], which was sent at [sentAt]. */
    public fun committed(
        checkpoint: Checkpoint,
        sentAt: MonotonicTime,
    ): HeldChunk {
        val remaining = pending - checkpoint.positions
        return copy(
            record = checkpoint.record,
            version = RowVersion(version.value + 1),
            committedAt = sentAt,
            flushedAt = if (checkpoint.part == null) flushedAt else sentAt,
            pending = remaining,
            pendingBytes = if (remaining.isEmpty()) 0 else pendingBytes - checkpoint.bytes,
        )
    }

    /** Advances to the next result object, so that no object name is used for different results. */
    public fun withNextSequence(checkpoint: Checkpoint): HeldChunk =
        checkpoint.part?.let { copy(nextSequence = it.sequence + 1) } ?: this

    private fun plan(
        event: ChunkEvent,
        includeResults: Boolean,
    ): Checkpoint {
        val results = if (includeResults) pending.toSortedMap() else emptyMap()
        val part = if (results.isEmpty()) null else toResultPart(results.values)
        val finished = record.finished + results.keys
        invariant("result-counted-once", finished.size == record.done + record.failed + results.size) {
            "chunk ${record.index} of ${spec.id} has ${finished.size} finished items"
        }
        val next =
            record.copy(
                state = checkNotNull(record.stateAfter(event)) { "the chart refuses $event in ${record.state}" },
                holder = record.holder.takeIf { event == ChunkEvent.CHECKPOINT },
                commits = record.commits + 1,
                parts = record.parts + listOfNotNull(part),
                finished = finished,
                tries = tries,
                alone = nextIsolatedItem(finished).takeIf { event == ChunkEvent.CHECKPOINT },
            )
        return Checkpoint(spec, version, next, part, results, pendingBytes)
    }

    private fun toResultPart(results: Collection<ItemResult>): ResultPart {
        val done = results.count { it.status == ItemStatus.DONE }
        return ResultPart(record.epoch, nextSequence, done, results.size - done)
    }

    /** True if enough results are pending for a checkpoint, or no item can start without one. */
    private fun hasEnoughResults(): Boolean =
        pending.size >= rules.checkpointItems || pendingBytes >= rules.checkpointBytes || unfinished().isEmpty()

    private fun isFlushDue(now: MonotonicTime): Boolean =
        pending.size >= rules.renewItems || now - flushedAt >= rules.flushAfter

    /** True if the next unfinished item must run alone. */
    private fun mustRunAlone(): Boolean = (unfinished().firstOrNull() ?: Int.MAX_VALUE) < record.isolateBelow

    private fun needsNextIsolatedItem(): Boolean =
        mustRunAlone() && running.isEmpty() && (record.alone == null || record.alone in pending)

    private fun nextIsolatedItem(finished: ItemSet): Int? =
        finished.toBits().nextClearBit(0).takeIf { it < record.isolateBelow && it < ids.size }

    /** Returns the positions within the window that have no result, in order. */
    private fun unfinished(): List<Int> {
        val bits = record.finished.toBits()
        return generateSequence(bits.nextClearBit(0)) { bits.nextClearBit(it + 1) }
            .takeWhile { it < ids.size }
            .take(rules.windowItems)
            .filter { it !in pending }
            .toList()
    }

    public companion object {
        /** Returns the initial state of the chunk whose [claim] was sent at [sentAt] and committed. */
        public fun begin(
            claim: ChunkClaim,
            ids: List<ItemId>,
            sentAt: MonotonicTime,
            rules: BatchRules,
        ): HeldChunk {
            val hold =
                HeldChunk(
                    spec = claim.spec,
                    rules = rules,
                    ids = ids,
                    record = claim.record,
                    version = RowVersion(claim.version.value + 1),
                    committedAt = sentAt,
                    flushedAt = sentAt,
                    tries = claim.record.tries,
                )
            return hold.failLostItems()
        }
    }

    /** Fails the items that too many holders were lost on. */
    private fun failLostItems(): HeldChunk =
        record.itemLosses
            .filter { it.value >= rules.maxItemLosses && !record.finished.toBits().get(it.key) }
            .keys
            .fold(this) { hold, position -> hold.ended(position, holderLostResult(ids[position]), 0) }

    private fun holderLostResult(id: ItemId): ItemResult =
        ItemResult.failed(id, "holder_lost", "the VM that ran the item was lost ${rules.maxItemLosses} times")
}
