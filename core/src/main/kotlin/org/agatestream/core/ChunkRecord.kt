package org.agatestream.core

import kotlinx.serialization.Serializable
import kotlinx.serialization.json.Json
import kotlin.jvm.JvmInline

/** A fencing token of a chunk's holder; each claim increments it. */
@Serializable
@JvmInline
public value class FencingEpoch(
    public val number: Long,
) : Comparable<FencingEpoch> {
    /** Returns the epoch of the next claim. */
    public fun next(): FencingEpoch = FencingEpoch(number + 1)

    override fun compareTo(other: FencingEpoch): Int = number.compareTo(other.number)

    override fun toString(): String = number.toString()
}

/** The states of a chunk, as in the chart `chunk`. */
@Serializable
public enum class ChunkState {
    OPEN,
    HELD,
    DONE,
}

/** The events of a chunk, as in the chart `chunk`. */
public enum class ChunkEvent {
    CLAIM,
    TAKE_OVER,
    CHECKPOINT,
    COMPLETE,
    RELEASE,
}

/** An object with results that a checkpoint published. */
@Serializable
public data class ResultPart(
    val epoch: FencingEpoch,
    val sequence: Int,
    val done: Int,
    val failed: Int,
)

/** The stored row of a chunk of a batch job; a chunk without a row is open. */
@Serializable
public data class ChunkRecord(
    val job: JobId,
    val index: Int,
    val state: ChunkState = ChunkState.OPEN,
    val epoch: FencingEpoch = FencingEpoch(0),
    val holder: VmId? = null,
    /** Incremented by each commit of a holder, so that a renewal changes the row. */
    val commits: Long = 0,
    /** The published results, in the order of publication. */
    val parts: List<ResultPart> = emptyList(),
    /** Positions of the items with a published result. */
    val finished: ItemSet = ItemSet.EMPTY,
    /** Failed runs of unfinished items, by position. */
    val tries: Map<Int, Int> = emptyMap(),
    /** Number of holders that were lost. */
    val losses: Int = 0,
    /** Unfinished items below this position run one at a time, to find an item that makes holders fail. */
    val isolateBelow: Int = 0,
    /** The position of the item that the holder runs alone. */
    val alone: Int? = null,
    /** Number of holders that were lost while they ran an item alone, by position. */
    val itemLosses: Map<Int, Int> = emptyMap(),
) {
    /** Number of items that ended with a response. */
    val done: Int
        get() = parts.sumOf { it.done }

    /** Number of items that ended with an error. */
    val failed: Int
        get() = parts.sumOf { it.failed }

    /** Returns the state after [event], or null if the chart does not allow it in this state. */
    internal fun stateAfter(event: ChunkEvent): ChunkState? = (chunkChart.next(state, event) as? Step.Moved)?.state

    /** Converts this record to the value of its row. */
    public fun toRowValue(): String = Json.encodeToString(serializer(), this)

    public companion object {
        /** Parses the value of a chunk's row. */
        public fun parse(value: String): ChunkRecord = Json.decodeFromString(serializer(), value)
    }
}

private val chunkChart: TypedChart<ChunkState, ChunkEvent> = TypedChart.load("chunk")
