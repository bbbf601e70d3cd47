package org.agatestream.standin

import io.kotest.assertions.nondeterministic.eventually
import io.kotest.assertions.withClue
import io.kotest.core.spec.style.FunSpec
import io.kotest.matchers.doubles.shouldBeLessThanOrEqual
import io.kotest.matchers.ints.shouldBeGreaterThan
import kotlinx.coroutines.coroutineScope
import kotlinx.coroutines.delay
import kotlinx.coroutines.launch
import org.agatestream.core.MonotonicTime
import kotlin.time.Duration
import kotlin.time.Duration.Companion.milliseconds
import kotlin.time.Duration.Companion.seconds

private const val LIMIT = 4.0
private val WINDOW = 4.seconds

// The platform tolerates half as much again and five requests in a window.
private val MOST_IN_WINDOW = 1.5 * LIMIT * 4 + 5

/** The time from which on the limit binds after the server first named it. */
private val CONTACT_TIME = 3.seconds

/** Sends requests to the VMs [vms], each of them [perSecond] a second, for [duration]; returns once all have ended. */
private suspend fun PlatformFleet.load(
    vms: List<Int>,
    perSecond: Int,
    duration: Duration,
    name: String,
) = coroutineScope {
    repeat((duration / 1.seconds * perSecond).toInt()) { number ->
        for (vm in vms) launch { send(vm, "GET", "/ask/1", id = "$name-$number-$vm") }
        delay(1.seconds / perSecond)
    }
}

private fun PlatformServerStandIn.mostInWindow(since: MonotonicTime): Int {
    val times = started.values.filter { it >= since }
    return times.maxOfOrNull { from -> times.count { it >= from && it < from + WINDOW } } ?: 0
}

private suspend fun withLimitedServer(block: suspend (PlatformFleet, PlatformServerStandIn) -> Unit) {
    val servers = List(2) { PlatformServerStandIn("i-$it", events = 4, interval = 20.milliseconds) }
    PlatformFleet(listOf("a", "b", "c"), emptySet(), servers, MANIFEST).use { fleet ->
        fleet.start()
        eventually(FLEET_TIMEOUT) {
            fleet.send(0, "GET", "/ask/1", id = "first")
            servers.first().received shouldBeGreaterThan 0
        }
        block(fleet, servers.first())
    }
}

// Guards against VMs that overrun a server in need although it named the requests that it takes from all of them.
class LimitedServerTest :
    FunSpec({
        timeout = 60_000

        test("a server gets no more requests than the limit that it names, and all it can take once it names none") {
            withLimitedServer { fleet, server ->
                server.requestLimit = LIMIT
                val named = MonotonicTime.now()
                fleet.load(listOf(0, 1, 2), perSecond = 10, duration = 8.seconds, name = "limited")
                server.mostInWindow(named + CONTACT_TIME).toDouble() shouldBeLessThanOrEqual MOST_IN_WINDOW
                server.requestLimit = null
                val before = server.received
                fleet.load(listOf(0, 1, 2), perSecond = 10, duration = 4.seconds, name = "free")
                withClue("of 120 requests at two servers") { server.received - before shouldBeGreaterThan 30 }
                fleet.vms.forEach { it.stop() }
            }
        }

        test("the limit holds while the coordinator stops and another VM takes over") {
            withLimitedServer { fleet, server ->
                server.requestLimit = LIMIT
                val named = MonotonicTime.now()
                fleet.load(listOf(0, 1, 2), perSecond = 8, duration = 3.seconds, name = "before")
                coroutineScope {
                    launch { fleet.vms[0].stop() }
                    fleet.load(listOf(1, 2), perSecond = 12, duration = 6.seconds, name = "after")
                }
                server.mostInWindow(named + CONTACT_TIME).toDouble() shouldBeLessThanOrEqual MOST_IN_WINDOW
                fleet.vms.drop(1).forEach { it.stop() }
            }
        }
    })
