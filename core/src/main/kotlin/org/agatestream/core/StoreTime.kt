package org.agatestream.core

import kotlinx.serialization.Serializable
import kotlin.jvm.JvmInline
import kotlin.time.Duration
import kotlin.time.Duration.Companion.milliseconds

/**
 * A reading of the steady clock of the platform's store.
 *
 * Readings are comparable whichever VM received them, unlike those of the clocks of two VMs. The origin is arbitrary.
 */
@Serializable
@JvmInline
public value class StoreTime(
    private val millis: Long,
) {
    public operator fun plus(span: Duration): StoreTime = StoreTime(millis + span.inWholeMilliseconds)

    public operator fun minus(other: StoreTime): Duration = (millis - other.millis).milliseconds

    override fun toString(): String = "${millis}ms"
}
