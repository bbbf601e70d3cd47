package org.agatestream.core

import kotlin.time.Duration
import kotlin.time.Duration.Companion.seconds

/** Limits and timings of batch jobs. */
public data class BatchRules(
    /** Largest number of items in a chunk. */
    val maxChunkItems: Int = 500,
    /** Largest input of a chunk in bytes; a larger item is rejected. */
    val maxChunkBytes: Int = 1_048_576,
    /** Largest number of items in a job. */
    val maxJobItems: Int = 1_000_000,
    /** Deepest nesting of an item's body, in levels. */
    val maxBodyDepth: Int = 64,
    /** Longest id of an item, in characters. */
    val maxItemIdLength: Int = 128,
    /** Number of pending results that triggers a checkpoint. */
    val checkpointItems: Int = 64,
    /** Size of pending results, in bytes, that triggers a checkpoint. */
    val checkpointBytes: Int = 1_048_576,
    /** Largest number of items of a chunk started after a checkpoint; they may run again if the holder is lost. */
    val windowItems: Int = 128,
    /** How long a holder may start items after a commit. */
    val lease: Duration = 45.seconds,
    /** Interval after a commit at which a holder renews its lease, with results or without. */
    val renewAfter: Duration = 15.seconds,
    /** Smallest number of pending results that a renewal carries before [flushAfter] has passed. */
    val renewItems: Int = 8,
    /** Longest time that results may wait for a checkpoint. */
    val flushAfter: Duration = 60.seconds,
    /** How much faster than the holder's clock another VM's clock may run, as a fraction. */
    val clockDrift: Double = 0.01,
    /** Number of failed runs after which an item ends with an error. */
    val maxTries: Int = 3,
    /** Delay before the next run of a failed item, multiplied by the number of its failed runs. */
    val retryDelay: Duration = 2.seconds,
    /** Number of lost holders of a chunk after which its suspect items run one at a time. */
    val isolateAfterLosses: Int = 2,
    /** Number of holders lost while an item runs alone after which the item ends with an error. */
    val maxItemLosses: Int = 2,
) {
    /** How long a VM must have observed an unchanged row before it takes the chunk over. */
    public val takeOverAfter: Duration
        get() = lease * (1 + clockDrift)
}
