package org.agatestream.core.rollout

import kotlinx.serialization.Serializable
import org.agatestream.core.ServiceId
import kotlin.jvm.JvmInline
import kotlin.time.Duration

/** The version of a backend server's software. */
@Serializable
@JvmInline
public value class ServerVersion(
    public val value: String,
) {
    override fun toString(): String = value
}

/** An operator's order to move the traffic of [service] to servers of version [target] within [duration]. */
public data class RolloutOrder(
    val service: ServiceId,
    val target: ServerVersion,
    val duration: Duration,
)

/** What the status row says about the latest roll-out of a service. */
public data class RolloutStatus(
    val outcome: RolloutOutcome,
    val target: ServerVersion,
) {
    /** Returns whether [order] needs no further work. */
    public fun ends(order: RolloutOrder): Boolean = target == order.target && outcome != RolloutOutcome.RUNNING
}

/** The public state of a roll-out. */
@Serializable
public enum class RolloutOutcome {
    RUNNING,
    COMPLETED,
    ROLLED_BACK,
}
