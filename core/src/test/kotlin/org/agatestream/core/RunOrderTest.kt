package org.agatestream.core

import io.kotest.core.spec.style.FunSpec
import io.kotest.matchers.shouldBe
import kotlin.time.Duration.Companion.milliseconds

private val DESTINATION = ItemDestination("h.example", "/batch/1", CHAT)
private val OTHER_SERVICE = ServiceId("other")

/** Returns the manifest that follows the usual one, with the shares of the batch route replaced. */
private fun nextManifest(vararg shares: RouteShare): Manifest {
    val manifest = manifestOf()
    val routes = manifest.routes.map { if (it.kind == RouteKind.BATCH) it.copy(shares = shares.toList()) else it }
    return manifest.copy(version = manifest.version + 1, routes = routes)
}

class RunOrderTest :
    FunSpec({
        val order = RunOrder(START, manifestVersion = 1)

        // Guards against items that are sent after a wait in which their job ended, or their VM was paused.
        test("an order that has waited for longer than its validity sends no item") {
            order.faultAt(START, manifestOf(), DESTINATION) shouldBe null
            order.faultAt(START + RunOrder.VALIDITY, manifestOf(), DESTINATION) shouldBe null
            val late = START + RunOrder.VALIDITY + 1.milliseconds
            order.faultAt(late, manifestOf(), DESTINATION) shouldBe OrderFault.EXPIRED
        }

        // Guards against items that a VM sends to a service that their route has left, as it knows.
        test("MovedRoute: an order sends no item to a service that its route has left by a newer manifest") {
            val moved = nextManifest(RouteShare(OTHER_SERVICE, 1))
            order.faultAt(START, moved, DESTINATION) shouldBe OrderFault.ROUTE_MOVED
            val drained = nextManifest(RouteShare(CHAT, 0), RouteShare(OTHER_SERVICE, 1))
            order.faultAt(START, drained, DESTINATION) shouldBe OrderFault.ROUTE_MOVED
            val dropped = moved.copy(routes = moved.routes.filter { it.kind != RouteKind.BATCH })
            order.faultAt(START, dropped, DESTINATION) shouldBe OrderFault.ROUTE_MOVED
        }

        test("MovedRoute: an order sends an item whose route is shared with another service") {
            val shared = nextManifest(RouteShare(CHAT, 1), RouteShare(OTHER_SERVICE, 9))
            order.faultAt(START, shared, DESTINATION) shouldBe null
        }

        // Guards against an item that is returned again and again by a VM whose manifest is the older one.
        test("MovedRoute: an order by a newer manifest than the VM's is carried out") {
            val destination = ItemDestination("h.example", "/batch/1", OTHER_SERVICE)
            RunOrder(START, manifestVersion = 2).faultAt(START, manifestOf(), destination) shouldBe null
            RunOrder(START, manifestVersion = 2).faultAt(START, manifest = null, destination) shouldBe null
        }
    })
