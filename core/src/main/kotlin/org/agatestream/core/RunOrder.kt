package org.agatestream.core

import kotlin.time.Duration
import kotlin.time.Duration.Companion.seconds

/** Why an item must not be sent by an order. */
public enum class OrderFault {
    /** The order has waited for so long that what it rests on may have changed. */
    EXPIRED,

    /** By a newer manifest than that of the order, the item's route does not lead to the service of its server. */
    ROUTE_MOVED,
}

/** Where an item is to be sent. */
public class ItemDestination(
    /** The host and the path that determine the item's route. */
    public val host: String,
    public val path: String,
    /** The service of the server that was chosen. */
    public val service: ServiceId,
)

/**
 * An order of the coordinator to run an item, as the VM received it that carries it out.
 *
 * What the coordinator decided by may change before the item is sent: its job may end, and its route or server may be no
 * longer the right ones. A VM that has waited, for the item's body or as it was paused, therefore returns an old order, and
 * the coordinator decides anew.
 */
public class RunOrder(
    private val receivedAt: MonotonicTime,
    /** The version of the manifest by which the coordinator decided; 0 if it did not say. */
    private val manifestVersion: Long,
) {
    /** Returns how long this order has waited at [now]. */
    public fun ageAt(now: MonotonicTime): Duration = now - receivedAt

    /** Returns why the item must not be sent to [destination] at [now] by a VM that knows [manifest], or null if it may. */
    public fun faultAt(
        now: MonotonicTime,
        manifest: Manifest?,
        destination: ItemDestination,
    ): OrderFault? =
        when {
            ageAt(now) > VALIDITY -> OrderFault.EXPIRED
            manifest != null && hasMoved(destination, manifest) -> OrderFault.ROUTE_MOVED
            else -> null
        }

    /** Returns whether [manifest], if it is newer than that of this order, leads the item elsewhere. */
    private fun hasMoved(
        destination: ItemDestination,
        manifest: Manifest,
    ): Boolean =
        manifest.version > manifestVersion &&
            manifest.route(destination.host, destination.path)?.mayLeadTo(destination.service) != true

    public companion object {
        /** A third of the time in which a job's end must take effect; the coordinator needs the rest to hear of it. */
        public val VALIDITY: Duration = 1.seconds
    }
}
