package org.agatestream.core

import kotlin.time.Duration
import kotlin.time.Duration.Companion.seconds

/** The bounds that batch jobs are held to. */
public data class BatchRules(
    /** Most items in one chunk. */
    val chunkItems: Int = 500,
    /** Most bytes of input in one chunk; an item larger than this is refused. */
    val chunkBytes: Int = 1_048_576,
    /** Most items in one job. */
    val jobItems: Int = 1_000_000,
    /** Deepest nesting of an item's body. */
    val bodyDepth: Int = 64,
    /** Longest id of an item, in characters. */
    val itemIdLength: Int = 128,
    /** Results that are gathered before a checkpoint. */
    val checkpointItems: Int = 64,
    /** Bytes of results that are gathered before a checkpoint. */
    val checkpointBytes: Int = 1_048_576,
    /** Most items of a chunk that may be started after a checkpoint and so may run again when their holder is lost. */
    val windowItems: Int = 128,
    /** How long a holder may start items after a commit. */
    val lease: Duration = 45.seconds,
    /** How long after a commit a holder commits again, with results or without. */
    val renewAfter: Duration = 15.seconds,
    /** Results below which a renewal leaves them for a later checkpoint. */
    val renewItems: Int = 8,
    /** How long results may wait for a checkpoint. */
    val flushAfter: Duration = 60.seconds,
    /** How much faster than a holder's clock the clock of another VM may run, as a fraction. */
    val clockDrift: Double = 0.01,
    /** Runs of an item that may fail before the item ends as an error. */
    val maxTries: Int = 3,
    /** How long a failed item waits before its next run, times the runs that have failed. */
    val retryDelay: Duration = 2.seconds,
    /** Lost holders of a chunk after which the items under suspicion run one at a time. */
    val isolateAfterLosses: Int = 2,
    /** Holders that may be lost while an item runs alone before the item ends as an error. */
    val maxItemLosses: Int = 2,
) {
    /** How long a VM must have watched an unchanged chunk before it takes the chunk over. */
    public val takeOverAfter: Duration
        get() = lease * (1 + clockDrift)
}
