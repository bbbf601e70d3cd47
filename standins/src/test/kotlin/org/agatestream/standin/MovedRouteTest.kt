package org.agatestream.standin

import io.kotest.assertions.nondeterministic.eventually
import io.kotest.assertions.withClue
import io.kotest.core.spec.style.FunSpec
import io.kotest.matchers.collections.shouldBeEmpty
import io.kotest.matchers.ints.shouldBeGreaterThan
import io.kotest.matchers.shouldBe
import io.kotest.matchers.string.shouldContain
import kotlinx.coroutines.delay
import org.agatestream.core.MonotonicTime
import java.util.Base64
import kotlin.time.Duration.Companion.milliseconds
import kotlin.time.Duration.Companion.seconds

private const val ITEMS = 8
private const val ITEM_BYTES = 200_000

// The object of the job takes 4.3 s on its way.
private const val SLOW_LINK = 500_000L

// The object of the job takes 0.7 s on its way, less than an order is valid.
private const val MEDIUM_LINK = 3_000_000L

// By the rules of the platform, after which a new version of the manifest must be in force.
private val CONFIG_BOUND = 3.seconds

// An item that was sent before its VM knew the new version begins to run within this time.
private val IN_FLIGHT = 100.milliseconds
private val LISTED_WITHIN = 18.seconds

private val MOVED_MANIFEST =
    MANIFEST
        .replace("\"Version\":1", "\"Version\":2")
        .replace("\"Type\":\"batch\",\"Service\":\"s\"", "\"Type\":\"batch\",\"Service\":\"s2\"")
        .replace("\"/ask/\"", "\"/later/\"")
        .replace("{\"Name\":\"s\"}", "{\"Name\":\"s\"},{\"Name\":\"s2\"}")

private fun jobBody(): String {
    val body = Base64.getEncoder().encodeToString(ByteArray(ITEM_BYTES))
    val items = List(ITEMS) { """{"Id":"i$it","Path":"/lot/$it","Body":"$body","Tokens":10}""" }
    return """{"Requests":[${items.joinToString(",")}]}"""
}

class MovedRouteTest :
    FunSpec({
        timeout = 60_000

        // Items that waited for their bodies were sent to the service that their route had left.
        for (link in listOf(SLOW_LINK, MEDIUM_LINK)) {
            test("MovedRoute: no item reaches the service that its route left, with a link of $link bytes/s") {
                PlatformFleet(storeLinks = mapOf("b" to link)).use { fleet ->
                    fleet.start()
                    val next = PlatformServerStandIn("x-1")
                    val address = "127.0.0.1:${next.listen(0)}"
                    val entry = """{"Service":"s2","Address":"$address","Zone":"d","Slots":8,"State":"ready"}"""
                    fleet.store.put("servers", next.id, entry)
                    fleet.send(0, "POST", "/lot/j", id = "job", body = jobBody()).first shouldBe 202
                    fleet.store.put("op", "config", MOVED_MANIFEST)
                    val movedAt = MonotonicTime.now()
                    eventually(FLEET_TIMEOUT) { fleet.send(1, "GET", "/later/1").first shouldBe 200 }
                    val knownAt = MonotonicTime.now() - movedAt
                    eventually(LISTED_WITHIN) {
                        fleet.send(0, "GET", "/-/lots/job?After=0").second shouldContain "\"Next\":$ITEMS"
                    }
                    delay(CONFIG_BOUND)
                    val old =
                        fleet.server.started
                            .filterKeys { it != "r1" }
                            .mapValues { it.value - movedAt }
                    withClue("known after $knownAt, at the old service $old, at the new one ${next.started.keys}") {
                        old.filterValues { it > minOf(CONFIG_BOUND, knownAt + IN_FLIGHT) }.entries.shouldBeEmpty()
                        next.started.size shouldBeGreaterThan 0
                    }
                    next.close()
                    fleet.vms.forEach { it.stop() }
                }
            }
        }
    })
