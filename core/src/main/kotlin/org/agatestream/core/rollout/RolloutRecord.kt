package org.agatestream.core.rollout

import kotlinx.serialization.Serializable
import org.agatestream.core.StoreTime

/** What the store holds of a roll-out, so that a new coordinator can continue it. */
@Serializable
public data class RolloutRecord(
    val target: ServerVersion,
    /** The version that was in use before; null if its servers have none. */
    val base: ServerVersion?,
    val stage: RolloutStage,
    /** The store's time at the start; null if the store does not tell the time. */
    val startedAt: StoreTime?,
    /** The age of the roll-out when this was written, in milliseconds. */
    val ageMillis: Long,
    /** The runs of the service since the start. */
    val requests: Long,
    /** The most runs that the target may have had until the next record is written. */
    val exposed: Long,
    /** The writer and its count of records; tells a record that was written from one that was not. */
    val writer: String,
    val sequence: Long,
)
