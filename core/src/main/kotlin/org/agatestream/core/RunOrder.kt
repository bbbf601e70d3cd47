package org.agatestream.core

import kotlin.time.Duration
import kotlin.time.Duration.Companion.seconds

/** Why an item must not be sent by an order. */
public enum class OrderFault {
    /** The order has waited for so long that what it rests on may have changed. */
    EXPIRED,
}

/**
 * An order of the coordinator to run an item, as the VM received it that carries it out.
 *
 * What the coordinator decided by may change before the item is sent: its job may end, and its route or server may be no
 * longer the right ones. A VM that has waited, for the item's body or as it was paused, therefore returns an old order, and
 * the coordinator decides anew.
 */
public class RunOrder(
    private val receivedAt: MonotonicTime,
) {
    /** Returns how long this order has waited at [now]. */
    public fun ageAt(now: MonotonicTime): Duration = now - receivedAt

    /** Returns why the item must not be sent at [now], or null if it may. */
    public fun faultAt(now: MonotonicTime): OrderFault? = if (ageAt(now) > VALIDITY) OrderFault.EXPIRED else null

    public companion object {
        /** A third of the 3 s within which the end of a job must take effect; the coordinator needs the rest to hear of it. */
        public val VALIDITY: Duration = 1.seconds
    }
}
