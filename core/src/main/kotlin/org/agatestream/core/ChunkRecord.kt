package org.agatestream.core

import kotlinx.serialization.Serializable
import kotlinx.serialization.json.Json
import kotlin.jvm.JvmInline

/** Numbers the holders of a chunk; each claim makes the next one. */
@Serializable
@JvmInline
public value class FencingEpoch(
    public val number: Long,
) : Comparable<FencingEpoch> {
    /** Returns the epoch that the next claim makes. */
    public fun next(): FencingEpoch = FencingEpoch(number + 1)

    override fun compareTo(other: FencingEpoch): Int = number.compareTo(other.number)

    override fun toString(): String = number.toString()
}

/** The states of a chunk; see the chart `chunk`. */
@Serializable
public enum class ChunkState {
    OPEN,
    HELD,
    DONE,
}

/** What happens to a chunk; see the chart `chunk`. */
public enum class ChunkEvent {
    CLAIM,
    TAKE_OVER,
    CHECKPOINT,
    COMPLETE,
    RELEASE,
}

/** An object with results that a checkpoint made readable. */
@Serializable
public data class ResultPart(
    val epoch: FencingEpoch,
    val sequence: Int,
    val done: Int,
    val failed: Int,
)

/** A chunk of a batch job as its row holds it; a chunk without a row is open. */
@Serializable
public data class ChunkRecord(
    val job: JobId,
    val index: Int,
    val state: ChunkState = ChunkState.OPEN,
    val epoch: FencingEpoch = FencingEpoch(0),
    val holder: VmId? = null,
    /** Grows with each commit of a holder, so that a renewal changes the row. */
    val commits: Long = 0,
    /** The readable results, in the order in which they became readable. */
    val parts: List<ResultPart> = emptyList(),
    /** The items that have a readable result. */
    val finished: ItemSet = ItemSet.EMPTY,
    /** Failed runs of unfinished items, by position. */
    val tries: Map<Int, Int> = emptyMap(),
    /** Holders that were lost. */
    val losses: Int = 0,
    /** Unfinished items below this position run one at a time. */
    val isolateBelow: Int = 0,
    /** The position of the item that the holder runs alone. */
    val alone: Int? = null,
    /** Holders that were lost while they ran an item alone, by position. */
    val itemLosses: Map<Int, Int> = emptyMap(),
) {
    /** Items that ended with an answer. */
    val done: Int
        get() = parts.sumOf { it.done }

    /** Items that ended with an error. */
    val failed: Int
        get() = parts.sumOf { it.failed }

    /** Returns whether the chart lets [event] happen in this state, and to which state it leads. */
    internal fun stateAfter(event: ChunkEvent): ChunkState? = (chunkChart.next(state, event) as? Step.Moved)?.state

    /** Converts this record to the value of its row. */
    public fun toRowValue(): String = Json.encodeToString(serializer(), this)

    public companion object {
        /** Parses the value of a chunk's row. */
        public fun parse(value: String): ChunkRecord = Json.decodeFromString(serializer(), value)
    }
}

private val chunkChart: TypedChart<ChunkState, ChunkEvent> = TypedChart.load("chunk")
