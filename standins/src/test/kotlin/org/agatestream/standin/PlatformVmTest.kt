package org.agatestream.standin

import io.kotest.assertions.nondeterministic.eventually
import io.kotest.core.spec.style.FunSpec
import io.kotest.matchers.collections.shouldContainExactlyInAnyOrder
import io.kotest.matchers.comparables.shouldBeLessThan
import io.kotest.matchers.shouldBe
import io.kotest.matchers.string.shouldContain
import io.kotest.matchers.string.shouldNotContain
import kotlinx.coroutines.delay
import kotlinx.serialization.json.Json
import kotlinx.serialization.json.jsonArray
import kotlinx.serialization.json.jsonObject
import kotlinx.serialization.json.jsonPrimitive
import kotlin.time.Duration.Companion.milliseconds
import kotlin.time.Duration.Companion.seconds
import kotlin.time.TimeSource

private val UNPROVEN_RESPONSES =
    listOf(
        PlatformServerFault.UNSIGNED_EMPTY,
        PlatformServerFault.UNSIGNED_EVENT,
        PlatformServerFault.UNSIGNED_IMPOSSIBLE,
        PlatformServerFault.UNNUMBERED_EVENT,
        PlatformServerFault.NO_EVENT,
        PlatformServerFault.MERGED_RESPONSE,
        PlatformServerFault.RESPONSE_BETWEEN_EVENTS,
    )

class PlatformVmTest :
    FunSpec({
        timeout = 60_000

        test("each VM relays a stream completely, and the server receives the workspace but no key") {
            withFleet { fleet ->
                for (vm in 0..1) {
                    val (status, body) = fleet.send(vm, "POST", "/ask/1?q=2", id = "own$vm", body = "hello")
                    status shouldBe 200
                    body shouldBe (0 until 5).joinToString("") { "id: $it\ndata: own$vm-$it\n\n" }
                }
                val headers = fleet.server.requests.last()
                headers.any { it.second == "secret-key" } shouldBe false
                headers.single { it.first == "x-agatestream-tenant" }.second shouldBe "team"
                headers.single { it.first == "x-custom" }.second shouldBe "kept"
            }
        }

        test("unknown keys and unknown routes are rejected") {
            withFleet { fleet ->
                fleet.send(0, "GET", "/ask/1", key = "other").first shouldBe 401
                fleet.send(0, "GET", "/ask/1", key = null).first shouldBe 401
                fleet.send(0, "GET", "/none/1").first shouldBe 404
            }
        }

        // Guards against a VM that answers 404 for a route which others serve already: callers do not try again after that.
        test("a VM that may have an outdated manifest refuses no key and no route for good") {
            withFleet { fleet ->
                fleet.store.isDown = true
                delay(3.seconds)
                fleet.send(0, "GET", "/none/1").first shouldBe 503
                fleet.send(0, "GET", "/ask/1", key = "other").first shouldBe 503
                fleet.send(0, "GET", "/-/lots/j?After=0", key = "other").first shouldBe 503
                fleet.send(0, "GET", "/ask/1").first shouldBe 200
                fleet.store.isDown = false
                eventually(FLEET_TIMEOUT) { fleet.send(0, "GET", "/none/1").first shouldBe 404 }
                fleet.send(0, "GET", "/ask/1", key = "other").first shouldBe 401
            }
        }

        test("a job accepted by one VM can be read at another, with one result per item") {
            withFleet { fleet ->
                val items = (1..6).joinToString(",") { """{"Id":"i$it","Path":"/lot/$it","Body":"YQ==","Tokens":10}""" }
                repeat(2) {
                    fleet.send(it, "POST", "/lot/j", id = "job1", body = """{"Requests":[$items]}""").first shouldBe
                        202
                }
                eventually(FLEET_TIMEOUT) {
                    val (status, body) = fleet.send(1, "GET", "/-/lots/job1?After=0")
                    status shouldBe 200
                    val results =
                        Json
                            .parseToJsonElement(body)
                            .jsonObject
                            .getValue("Results")
                            .jsonArray
                    val ids =
                        results.map {
                            it.jsonObject
                                .getValue("Id")
                                .jsonPrimitive.content
                        }
                    ids shouldContainExactlyInAnyOrder (1..6).map { "i$it" }
                    results.forEach {
                        it.jsonObject
                            .getValue("State")
                            .jsonPrimitive.content shouldBe "completed"
                    }
                }
                fleet.send(0, "GET", "/-/lots/unknown?After=0").first shouldBe 404
                fleet.send(0, "GET", "/-/items/job1?Id=i2").second shouldBe "a"
                fleet.send(0, "DELETE", "/-/lots/job1").first shouldBe 200
            }
        }

        // Guards against an entry of another writer that fails all requests, as it has the most free slots.
        test("entries that name no server keep no request from the others") {
            withFleet { fleet ->
                val entry = """{"Service":"s","Address":"127.0.0.1:70000","Zone":"d","Slots":64,"State":"ready"}"""
                val odd =
                    listOf(
                        entry,
                        entry.replace("127.0.0.1:70000", "127.0.0.999:80"),
                        entry.replace("\"s\"", "[".repeat(30_000)),
                        entry.replace("70000", "1").replace("64", "2147483647"),
                        entry.replace("70000", "1").replace("64", "1,\"ColdLeftMs\":9223372036854775807"),
                    )
                odd.forEachIndexed { number, text -> fleet.store.put("servers", "odd-$number", text) }
                delay(500.milliseconds)
                val statuses = (1..20).map { fleet.send(it % 2, "GET", "/ask/1", id = "r$it").first }
                statuses shouldBe List(20) { 200 }
            }
        }

        test("a refusal whose body has no end is passed on at once") {
            withFleet { fleet ->
                fleet.server.nextFault.set(PlatformServerFault.ENDLESS_REFUSAL)
                val before = TimeSource.Monotonic.markNow()
                fleet.send(0, "GET", "/ask/1", id = "refused").first shouldBe 503
                before.elapsedNow() shouldBeLessThan 1.seconds
            }
        }

        test("a stream whose event has no end is cut, and later requests are served") {
            withFleet { fleet ->
                fleet.server.nextFault.set(PlatformServerFault.ENDLESS_EVENT)
                fleet.send(0, "GET", "/ask/1", id = "endless").first shouldBe 0
                eventually(FLEET_TIMEOUT) { fleet.send(0, "GET", "/ask/1").first shouldBe 200 }
            }
        }

        for (fault in listOf(PlatformServerFault.STALL_WITH_COMMENTS, PlatformServerFault.ENDLESS_EVENT)) {
            test("an item whose stream does not progress is run again: $fault") {
                withFleet { fleet ->
                    fleet.server.nextFault.set(fault)
                    val items = """{"Id":"i1","Path":"/lot/1","Body":"YQ==","Tokens":10}"""
                    fleet.send(0, "POST", "/lot/j", id = "job", body = """{"Requests":[$items]}""").first shouldBe 202
                    eventually(FLEET_TIMEOUT) {
                        fleet.send(1, "GET", "/-/lots/job?After=0").second shouldContain "i1-0\\ni1-1\\ni1-2"
                    }
                }
            }
        }

        for (fault in UNPROVEN_RESPONSES) {
            // Guards against results and answers with text that no server made for the request.
            test("an item's result holds nothing of a response without proof of its origin: $fault") {
                withFleet { fleet ->
                    fleet.server.nextFault.set(fault)
                    val items = """{"Id":"i1","Path":"/lot/1","Body":"YQ==","Tokens":10}"""
                    fleet.send(0, "POST", "/lot/j", id = "job", body = """{"Requests":[$items]}""").first shouldBe 202
                    eventually(FLEET_TIMEOUT) {
                        val (_, body) = fleet.send(1, "GET", "/-/lots/job?After=0")
                        body shouldContain "\"i1-0\\ni1-1\\ni1-2\\ni1-3\\ni1-4\""
                    }
                }
            }

            test("a caller gets nothing of a response without proof of its origin: $fault") {
                withFleet { fleet ->
                    fleet.server.nextFault.set(fault)
                    val (status, body) = fleet.send(0, "GET", "/ask/1", id = "own")
                    (status == 200 || status == 422) shouldBe false
                    body shouldNotContain "of no request"
                    eventually(FLEET_TIMEOUT) { fleet.send(0, "GET", "/ask/1").first shouldBe 200 }
                }
            }
        }

        // Guards against a stream that is cut because a comment hides the number of the event before it.
        test("a stream with comments after its events is relayed whole") {
            withFleet { fleet ->
                fleet.server.nextFault.set(PlatformServerFault.COMMENT_AFTER_EVENT)
                val (status, body) = fleet.send(0, "GET", "/ask/1", id = "own")
                status shouldBe 200
                body shouldContain "own-4"
            }
        }

        test("online requests are served while the store is unavailable, and jobs are refused") {
            withFleet { fleet ->
                fleet.store.isDown = true
                fleet.send(0, "GET", "/ask/1").first shouldBe 200
                fleet.send(0, "POST", "/lot/j", id = "job2", body = """{"Requests":[]}""").first shouldBe 503
                fleet.send(0, "GET", "/-/lots/job2?After=0").first shouldBe 503
                fleet.store.isDown = false
            }
        }

        test("VMs refused by the store, including the coordinator, receive a new manifest from the others") {
            PlatformFleet(listOf("a", "b", "c"), restricted = setOf("a", "c")).use { fleet ->
                fleet.start()
                fleet.store.isRestrictedDown = true
                // Meanwhile the VMs that reach the store elect another coordinator and ignore the first.
                delay(3.seconds)
                fleet.store.put("op", "config", CHANGED_MANIFEST)
                for (vm in fleet.vms.indices) {
                    eventually(FLEET_TIMEOUT) { fleet.send(vm, "GET", "/later/1").first shouldBe 200 }
                }
                fleet.vms.forEach { it.stop() }
            }
        }

        test("callers are served by the remaining VM after the coordinator stops") {
            PlatformFleet().use { fleet ->
                fleet.start()
                fleet.vms[0].stop()
                repeat(20) { fleet.send(1, "GET", "/ask/1", id = "r$it").second shouldContain "r$it-4" }
                eventually(FLEET_TIMEOUT) { fleet.send(1, "GET", "/ask/1").first shouldBe 200 }
                fleet.vms[1].stop()
            }
        }
    })
