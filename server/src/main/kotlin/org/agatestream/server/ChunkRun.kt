package org.agatestream.server

import kotlinx.coroutines.CancellationException
import kotlinx.coroutines.CoroutineScope
import kotlinx.coroutines.ExperimentalCoroutinesApi
import kotlinx.coroutines.Job
import kotlinx.coroutines.cancelChildren
import kotlinx.coroutines.channels.Channel
import kotlinx.coroutines.coroutineScope
import kotlinx.coroutines.delay
import kotlinx.coroutines.launch
import kotlinx.coroutines.selects.onTimeout
import kotlinx.coroutines.selects.select
import org.agatestream.core.Backoff
import org.agatestream.core.BatchItem
import org.agatestream.core.BatchNames
import org.agatestream.core.Checkpoint
import org.agatestream.core.CheckpointStep
import org.agatestream.core.HeldChunk
import org.agatestream.core.ItemResult
import org.agatestream.core.JobSpec
import org.agatestream.core.MonotonicTime
import org.agatestream.core.ReadResult
import org.agatestream.core.isBatchTarget
import org.agatestream.core.parseStoredItems
import kotlin.time.Duration
import kotlin.time.Duration.Companion.milliseconds
import kotlin.time.Duration.Companion.minutes

/** An event handled by a [ChunkRun]. */
private sealed interface ChunkSignal {
    class ItemEnded(
        val position: Int,
        val outcome: ItemOutcome,
    ) : ChunkSignal

    class CheckpointEnded(
        val checkpoint: Checkpoint,
        val sentAt: MonotonicTime,
        val step: CheckpointStep,
    ) : ChunkSignal

    data object Drain : ChunkSignal

    data object Cancelled : ChunkSignal
}

/** Runs the items of one claimed chunk and commits their results, as decided by [HeldChunk]. */
internal class ChunkRun(
    private val ports: BatchPorts,
    private val slots: ItemSlots,
    private val claimed: ClaimedChunk,
) {
    val spec: JobSpec = claimed.claim.spec
    lateinit var job: Job
    private val signals = Channel<ChunkSignal>(Channel.UNLIMITED)
    private val writer = CheckpointWriter(ports)
    private val backoff = Backoff()
    private var itemRuns: Job = Job()
    private var items: List<BatchItem> = emptyList()
    private var draining = false
    private var writing = false

    @Volatile
    private var stopped = false

    @Volatile
    private var leaseEnd = claimed.sentAt + ports.rules.lease

    /** Stops the run and releases the chunk to other VMs. */
    fun drain() {
        signals.trySend(ChunkSignal.Drain)
    }

    /** Notifies the run that its job is cancelled; no item starts afterwards. */
    fun onJobCancelled() {
        stopped = true
        signals.trySend(ChunkSignal.Cancelled)
    }

    suspend fun run() {
        items = loadItems() ?: return
        val ids = items.map { it.id }
        var chunk: HeldChunk? = HeldChunk.begin(claimed.claim, ids, claimed.sentAt, ports.rules)
        coroutineScope {
            itemRuns = Job(coroutineContext[Job])
            while (chunk != null) {
                chunk = advance(checkNotNull(chunk), this)
            }
            coroutineContext.cancelChildren()
        }
    }

    /** Starts due work, waits for the next signal and returns the resulting state, or null when the run has ended. */
    private suspend fun advance(
        chunk: HeldChunk,
        scope: CoroutineScope,
    ): HeldChunk? {
        val now = ports.clock()
        var next = if (draining) chunk else startItems(chunk, now, scope)
        if (!writing && (draining || next.isCheckpointDue(now))) {
            val checkpoint = if (draining) next.planRelease() else next.planCheckpoint(now)
            next = next.withNextSequence(checkpoint)
            write(checkpoint, scope)
        }
        val signal = nextSignal(waitTime(next, now)) ?: return next
        return react(next, signal)
    }

    /** Waits up to [span] by `select`, because a receive that times out could lose a signal. */
    @OptIn(ExperimentalCoroutinesApi::class)
    private suspend fun nextSignal(span: Duration): ChunkSignal? =
        select {
            signals.onReceive { it }
            onTimeout(span) { null }
        }

    private fun startItems(
        chunk: HeldChunk,
        now: MonotonicTime,
        scope: CoroutineScope,
    ): HeldChunk {
        if (!ports.coordination.fleet.isBatchTarget(spec.target)) return chunk
        val ready = chunk.startable(ports.rules.windowItems, now)
        val positions = ready.take(slots.tryAcquire(ready.size))
        positions.forEach { position -> scope.launch(itemRuns) { runItem(position) } }
        return chunk.started(positions)
    }

    private suspend fun runItem(position: Int) {
        var yielded = false
        try {
            // The process may have been paused since it decided to start the item.
            if (stopped || ports.clock() >= leaseEnd) {
                signals.trySend(ChunkSignal.ItemEnded(position, ItemOutcome.Preempted))
                return
            }
            val item = items[position]
            val deadline = ports.clock() + ITEM_TIMEOUT
            val call = ItemCall(spec.id, item.id, spec.workspace, spec.target, item.body.toString(), deadline)
            val outcome = ports.runner.run(call)
            yielded = outcome is ItemOutcome.Preempted
            signals.trySend(ChunkSignal.ItemEnded(position, outcome))
        } catch (e: CancellationException) {
            throw e
        } catch (_: Exception) {
            signals.trySend(ChunkSignal.ItemEnded(position, ItemOutcome.Failed("the run met an unexpected error")))
        } finally {
            slots.release(yielded)
        }
    }

    private fun write(
        checkpoint: Checkpoint,
        scope: CoroutineScope,
    ) {
        writing = true
        scope.launch {
            writer.storeResults(checkpoint)
            val sentAt = ports.clock()
            val step = writer.commit(checkpoint)
            if (step is CheckpointStep.Lost) stopped = true
            signals.trySend(ChunkSignal.CheckpointEnded(checkpoint, sentAt, step))
        }
    }

    private fun react(
        chunk: HeldChunk,
        signal: ChunkSignal,
    ): HeldChunk? =
        when (signal) {
            is ChunkSignal.ItemEnded -> itemEnded(chunk, signal)
            is ChunkSignal.CheckpointEnded -> checkpointEnded(chunk, signal)
            is ChunkSignal.Drain -> chunk.also { startDrain() }
            is ChunkSignal.Cancelled -> finish("batch_chunk_cancelled")
        }

    private fun startDrain() {
        draining = true
        itemRuns.cancelChildren()
    }

    private fun itemEnded(
        chunk: HeldChunk,
        signal: ChunkSignal.ItemEnded,
    ): HeldChunk {
        val id = items[signal.position].id
        countRun(signal.outcome)
        val now = ports.clock()
        return when (val outcome = signal.outcome) {
            is ItemOutcome.Done -> {
                chunk.ended(
                    signal.position,
                    ItemResult.done(id, outcome.body, ports.rules.maxBodyDepth),
                    outcome.body.length,
                )
            }

            is ItemOutcome.Impossible -> {
                chunk.ended(
                    signal.position,
                    ItemResult.failed(id, outcome.code, outcome.message),
                    outcome.message.length,
                )
            }

            is ItemOutcome.Failed -> {
                chunk.runFailed(signal.position, outcome.reason, now)
            }

            is ItemOutcome.Preempted -> {
                chunk.yielded(signal.position, YIELD_DELAY * (1 + ports.random.nextDouble()), now)
            }
        }
    }

    private fun countRun(outcome: ItemOutcome) {
        val label =
            when (outcome) {
                is ItemOutcome.Done -> "done"
                is ItemOutcome.Impossible -> "impossible"
                is ItemOutcome.Failed -> "failed"
                is ItemOutcome.Preempted -> "yielded"
            }
        ports.registry.counter("agatestream.batch.runs", "outcome", label).increment()
    }

    private fun checkpointEnded(
        chunk: HeldChunk,
        signal: ChunkSignal.CheckpointEnded,
    ): HeldChunk? {
        writing = false
        if (signal.step is CheckpointStep.Lost) return finish("batch_chunk_lost")
        if (signal.checkpoint.completes) return finish("batch_chunk_completed")
        if (signal.checkpoint.releases) return finish("batch_chunk_released")
        return chunk.committed(signal.checkpoint, signal.sentAt).also { leaseEnd = it.leaseEnd }
    }

    private fun finish(event: String): HeldChunk? {
        ports.registry.counter("agatestream.batch.chunks", "event", event).increment()
        ports.log(event, arrayOf("job" to spec.id, "chunk" to claimed.claim.record.index))
        return null
    }

    private fun waitTime(
        chunk: HeldChunk,
        now: MonotonicTime,
    ): Duration {
        val renewal = chunk.committedAt + ports.rules.renewAfter - now
        val retry = chunk.nextRetry()?.let { it - now } ?: MAX_WAIT
        return minOf(renewal, retry, MAX_WAIT).coerceAtLeast(MIN_WAIT)
    }

    /** Loads the chunk's items; gives up once the lease has run out, so that another VM takes over. */
    private suspend fun loadItems(): List<BatchItem>? {
        val name = BatchNames.inputName(spec.id, spec.upload, claimed.claim.record.index)
        var failures = 0
        while (ports.clock() < claimed.sentAt + ports.rules.lease) {
            val result = ports.objects.get(name)
            if (result is ReadResult.Found) return parseStoredItems(result.value)
            delay(backoff.delay(++failures, ports.random))
        }
        return null
    }

    private companion object {
        val ITEM_TIMEOUT = 10.minutes
        val YIELD_DELAY = 200.milliseconds
        val MAX_WAIT = 200.milliseconds
        val MIN_WAIT = 5.milliseconds
    }
}
