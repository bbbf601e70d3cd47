package org.agatestream.standin

import io.kotest.assertions.nondeterministic.eventually
import io.kotest.core.spec.style.FunSpec
import io.kotest.matchers.collections.shouldContain
import io.kotest.matchers.comparables.shouldBeLessThan
import io.kotest.matchers.shouldBe
import io.kotest.matchers.string.shouldContain
import kotlinx.coroutines.delay
import java.util.Base64
import kotlin.random.Random
import kotlin.time.Duration.Companion.milliseconds
import kotlin.time.Duration.Companion.seconds
import kotlin.time.measureTimedValue

private const val ITEMS = 8
private const val ITEM_BYTES = 200_000

// The object of a job takes 4.3 s on its way.
private const val LINK_BYTES_PER_SECOND = 500_000L

// The same object takes 43 s.
private const val VERY_SLOW_LINK_BYTES_PER_SECOND = 50_000L
private const val REQUESTS = 5

// An item that waits for its body has no event for longer than a server may need for one.
private val REQUEST_INTERVAL = 500.milliseconds
private val JOB_BODY = jobOf(ITEMS, ITEM_BYTES)

private fun jobOf(
    items: Int,
    bytes: Int,
): String {
    val body = Base64.getEncoder().encodeToString(Random(bytes).nextBytes(bytes))
    val requests = List(items) { """{"Id":"i$it","Path":"/lot/$it","Body":"$body","Tokens":10}""" }
    return """{"Requests":[${requests.joinToString(",")}]}"""
}

/** Runs [block] on two VMs, of which the second one has a slow link to the store. */
private suspend fun withSlowVm(
    bytesPerSecond: Long = LINK_BYTES_PER_SECOND,
    block: suspend (PlatformFleet) -> Unit,
) {
    PlatformFleet(storeLinks = mapOf("b" to bytesPerSecond)).use { fleet ->
        fleet.start()
        block(fleet)
        fleet.vms.forEach { it.stop() }
    }
}

class SlowLinkTest :
    FunSpec({
        timeout = 60_000

        // Guards against the loss of the items of large jobs that a VM with a slow link is to run.
        test("the items of a large job are listed, also those that a VM with a slow link runs") {
            withSlowVm { fleet ->
                fleet.send(0, "POST", "/lot/j", id = "job", body = JOB_BODY).first shouldBe 202
                eventually(15.seconds) {
                    fleet.send(0, "GET", "/-/lots/job?After=0").second shouldContain "\"Next\":$ITEMS"
                }
            }
        }

        // Guards against items that hold slots at a VM that can't read their bodies, while another VM has them.
        test("an item goes to another VM if its own needs too long to read the body") {
            withSlowVm(VERY_SLOW_LINK_BYTES_PER_SECOND) { fleet ->
                fleet.send(0, "POST", "/lot/j", id = "job", body = JOB_BODY).first shouldBe 202
                eventually(18.seconds) {
                    fleet.send(0, "GET", "/-/lots/job?After=0").second shouldContain "\"Next\":$ITEMS"
                }
            }
        }

        // Guards against callers that get no answer in their time, as a transfer that goes on has no limit of its own.
        test("a caller whose time ends before the body of its item has come is told when to ask again") {
            withSlowVm(VERY_SLOW_LINK_BYTES_PER_SECOND) { fleet ->
                fleet.send(0, "POST", "/lot/j", id = "job", body = JOB_BODY).first shouldBe 202
                val deadline = listOf("x-agatestream-deadline-ms" to "1000")
                val (response, took) =
                    measureTimedValue { fleet.sendWhole(1, "GET", "/-/items/job?Id=i1", headers = deadline) }
                response?.status shouldBe 503
                response?.headers.orEmpty().map { it.first } shouldContain "retry-after"
                took shouldBeLessThan 2.seconds
            }
        }

        // Guards against a sound server that gets no requests as the item it is to run still waits for its body.
        test("online requests are served while an item waits for its body at a VM with a slow link") {
            withSlowVm { fleet ->
                fleet.send(0, "POST", "/lot/j", id = "job", body = JOB_BODY).first shouldBe 202
                delay(1.seconds)
                repeat(REQUESTS) {
                    val (response, took) = measureTimedValue { fleet.send(0, "GET", "/ask/1", id = "r$it") }
                    response.first shouldBe 200
                    took shouldBeLessThan 1.seconds
                    delay(REQUEST_INTERVAL)
                }
            }
        }
    })
