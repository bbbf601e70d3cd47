package org.agatestream.server

import io.kotest.assertions.nondeterministic.eventually
import io.kotest.core.spec.style.FunSpec
import io.kotest.matchers.collections.shouldContain
import io.kotest.matchers.shouldBe
import io.kotest.matchers.string.shouldContain
import io.kotest.matchers.string.shouldNotContain
import io.kotest.matchers.types.shouldBeInstanceOf
import kotlinx.coroutines.CompletableDeferred
import kotlinx.coroutines.async
import kotlinx.coroutines.withTimeout
import org.agatestream.core.BackendServerId
import org.agatestream.core.ErrorKind
import org.agatestream.core.FailureDomainId
import org.agatestream.core.FailureDomainSetting
import org.agatestream.core.FleetView
import org.agatestream.core.ServiceState
import org.agatestream.core.toFailed
import org.agatestream.core.toOk
import org.agatestream.http.BodyPart
import kotlin.time.Duration.Companion.seconds

class OnlineRoutesTest :
    FunSpec({
        timeout = 20_000

        test("a streamed completion arrives completely and in order") {
            OnlineFixture().use {
                val response = it.complete(stream = true)
                response.status shouldBe 200
                response.shouldBeCompleteStream()
                eventually(5.seconds) {
                    it.slots.released
                        .single()
                        .second
                        .shouldBeInstanceOf<SlotResult.Answered>()
                }
            }
        }

        test("completions and chat completions are returned as a single body and as a stream") {
            OnlineFixture().use {
                it.complete(stream = false).text shouldContain "\"text\":\"t0 t1 t2 t3 t4 \""
                val chat = it.complete(stream = false, "/v1/chat/completions")
                chat.text shouldContain "\"message\":{\"role\":\"assistant\",\"content\":\"t0 t1 t2 t3 t4 \"}"
                val stream = it.complete(stream = true, "/v1/chat/completions")
                stream.text shouldContain "\"delta\":{\"content\":\"t4 \"}"
                it.first.requests
                    .last()
                    .body shouldContain "\"prompt\":\"user: hi\\nassistant:\""
            }
        }

        test("no backend server receives the caller's key") {
            OnlineFixture().use {
                it.complete(stream = true)
                it.complete(stream = false)
                it.send("GET", "/services/wheels/length", "", "accept" to "x $CALLER_KEY", "cookie" to CALLER_KEY)
                it.send("POST", "/services/wheels/bookings", "", "idempotency-key" to CALLER_KEY)
                it.send("GET", "/services/wheels/length?key=$CALLER_KEY").status shouldBe 400
                it.send("GET", "/services/wheels/length?key=agk%5Fsecret").status shouldBe 400
                it.send("POST", "/services/wheels/length", CALLER_KEY).status shouldBe 400
                val received = it.first.requests + it.second.requests
                received.isEmpty() shouldBe false
                received.none { call -> CALLER_KEY in call.target + call.headers + call.body } shouldBe true
                it.table.records().none { record -> CALLER_KEY in record.toRowValue() } shouldBe true
            }
        }

        test("invalid requests are rejected as not run before they reach a backend server") {
            OnlineFixture().use {
                val deep = "[".repeat(100) + "]".repeat(100)
                val cases =
                    listOf(
                        it.send("POST", "/v1/completions", "{") to "malformed_request",
                        it.send("POST", "/v1/completions", """{"model":"m"}""") to "malformed_request",
                        it.send("POST", "/v1/completions", """{"model":"m","prompt":$deep}""") to "malformed_request",
                        it.send("POST", "/v1/completions", completionBody(false).replace("5", "2000")) to
                            "malformed_request",
                        it.send("POST", "/v1/chat/completions", """{"model":"m","messages":[]}""") to
                            "malformed_request",
                        it.send("POST", "/v1/completions", completionBody(false).replace("\"m\"", "\"other\"")) to
                            "unknown_model",
                        it.send("POST", "/v1/completions", "x".repeat(1_100_000)) to "body_too_large",
                        it.send("GET", "/v1/completions") to "method_not_allowed",
                        it.send("GET", "/v1/models", key = null) to "unknown_key",
                        it.send("GET", "/v1/models", key = "agk_wrong") to "unknown_key",
                        it.send("GET", "/v1/models", key = "ago_secret") to "unknown_key",
                        it.send("GET", "/services/nowhere/x") to "unknown_route",
                        it.send("GET", "/services/wheels/length/../bookings") to "malformed_request",
                        it.send("GET", "/services/wheels/length/%2e%2e/bookings") to "malformed_request",
                        it.send("GET", "/v1/models", "", "x-agatestream-timeout-ms" to "0") to "malformed_request",
                        it.send("POST", "/services/wheels/bookings", "", "idempotency-key" to "k".repeat(300)) to
                            "malformed_request",
                        it.send("GET", "/nowhere") to "unknown_route",
                    )
                cases.forEach { (response, code) ->
                    response.text shouldContain "\"code\":\"$code\""
                    response.head.header("x-agatestream-run") shouldBe "no"
                }
                it.first.requests.size + it.second.requests.size shouldBe 0
            }
        }

        test("an exceeded rate, a VM that is not current and a lack of capacity are reported as not run") {
            OnlineFixture().use {
                it.admission = ErrorKind.RATE_EXCEEDED.toFailed("over", 2.seconds)
                val overRate = it.complete(stream = false)
                overRate.status shouldBe 429
                overRate.head.header("retry-after") shouldBe "2"
                it.admission = Unit.toOk()
                it.coordination.current = false
                it.complete(stream = false).text shouldContain "not_current"
                it.coordination.current = true
                it.first.scripts += Script.Refuse
                it.second.scripts += Script.Refuse
                val withoutCapacity = it.complete(stream = false)
                withoutCapacity.text shouldContain "no_capacity"
                withoutCapacity.head.header("x-agatestream-run") shouldBe "no"
            }
        }

        // A VM that knows no settings yet answered 404 unknown_route, after which callers don't try another VM.
        test("a VM that is not current says so whether or not it knows the route and the key") {
            OnlineFixture().use {
                it.coordination.fleet = FleetView()
                it.coordination.current = false
                val targets = listOf("/services/wheels/length", "/services/public/length", "/v1/models")
                targets.forEach { target ->
                    val response = it.send("GET", target)
                    response.text shouldContain "\"code\":\"not_current\""
                    response.status shouldBe 503
                    response.head.header("x-agatestream-run") shouldBe "no"
                }
            }
        }

        // Settings from before the check were used after it: a key that every VM knew was answered 401 unknown_key.
        test("a request is decided with settings at least as recent as the check that the VM is current") {
            OnlineFixture().use {
                val full = it.coordination.fleet
                it.coordination.fleet = FleetView()
                it.coordination.beforeCheck = { it.coordination.fleet = full }
                it.send("GET", "/v1/models").status shouldBe 200
                it.coordination.fleet = FleetView()
                it.send("GET", "/services/wheels/length").status shouldBe 200
            }
        }

        test("a refusal, a lost response and a response with a wrong id are retried on another server") {
            val truncated = Script.Truncate(0, resumable = false)
            val faults = listOf(Script.Refuse, Script.DropBeforeHead, Script.WrongRequestId, truncated)
            faults.forEach { script ->
                listOf(true, false).forEach { stream ->
                    OnlineFixture().use {
                        it.first.scripts += script
                        val response = it.complete(stream)
                        response.status shouldBe 200
                        if (stream) response.shouldBeCompleteStream() else response.text shouldContain "t4 "
                    }
                }
            }
        }

        test("retries stay within their budget, and a refusal after a lost response is not reported as not run") {
            OnlineFixture().use {
                repeat(30) { _ -> it.first.scripts += Script.DropBeforeHead }
                repeat(30) { _ -> it.second.scripts += Script.Refuse }
                repeat(20) { _ ->
                    val response = it.complete(stream = false)
                    response.status shouldBe 502
                    response.head.header("x-agatestream-run") shouldBe "unknown"
                }
                // The budget starts at 10 retries and gains one per 10 requests.
                // Each request fails once on the first server.
                it.first.completions() shouldBe 20
                (it.second.completions() <= 12) shouldBe true
            }
        }

        test("a request is retried on another server after a refused connection") {
            OnlineFixture().use {
                it.first.close()
                it.complete(stream = true).shouldBeCompleteStream()
                it.slots.released shouldContain (BackendServerId("e1") to SlotResult.NotSent)
            }
        }

        test("an interrupted stream is resumed where it stopped") {
            OnlineFixture().use {
                it.first.scripts += listOf(Script.Truncate(2, resumable = true), Script.Truncate(4, resumable = true))
                it.complete(stream = true).shouldBeCompleteStream()
                it.first.requests.count { call -> call.target.endsWith("/resume") } shouldBe 2
            }
        }

        test("a stream that can't be resumed ends with an error event and is not completed") {
            OnlineFixture().use {
                it.first.scripts += Script.Truncate(2, resumable = false)
                val response = it.complete(stream = true)
                response.tokens() shouldBe listOf("t0 ", "t1 ")
                response.isComplete shouldBe false
                response.text shouldNotContain "[DONE]"
                response.text shouldContain "data: {\"error\":{\"code\":\"backend_failed\""
                eventually(5.seconds) {
                    it.slots.released
                        .single()
                        .second shouldBe SlotResult.Broken
                }
            }
        }

        test("when a caller disconnects, its stream is cancelled at the engine and its slot is released") {
            OnlineFixture().use {
                val gate = CompletableDeferred<Unit>()
                it.first.scripts += Script.Pause(2, gate)
                val response = it.startRequest("POST", "/v1/completions", completionBody(stream = true))
                response.nextChunk()
                response.close()
                eventually(5.seconds) {
                    it.first.requests.count { call -> call.target.endsWith("/cancel") } shouldBe 1
                    it.slots.released
                        .single()
                        .second shouldBe SlotResult.Cancelled
                }
                gate.complete(Unit)
            }
        }

        test("a key withdrawn during a stream ends it with an error event") {
            OnlineFixture().use {
                val gate = CompletableDeferred<Unit>()
                it.first.scripts += Script.Pause(2, gate)
                val response = it.startRequest("POST", "/v1/completions", completionBody(stream = true))
                val start =
                    response
                        .nextChunk()
                        .shouldBeInstanceOf<BodyPart.Chunk>()
                        .bytes
                        .decodeToString()
                it.coordination.update(it.coordination.fleet.copy(callerKeys = emptyMap()))
                val rest = response.readResponse()
                start + rest.text shouldContain "\"code\":\"key_withdrawn\""
                rest.isComplete shouldBe false
                it.complete(stream = true).status shouldBe 401
                gate.complete(Unit)
            }
        }

        test("a request ends at its deadline, and the backend server receives the time left") {
            OnlineFixture().use {
                val gate = CompletableDeferred<Unit>()
                it.first.scripts += Script.Delay(gate)
                val response = it.complete(stream = false, headers = arrayOf("x-agatestream-timeout-ms" to "300"))
                response.status shouldBe 504
                response.head.header("x-agatestream-run") shouldBe "unknown"
                val timeLeftMillis =
                    it.first.requests
                        .first()
                        .headers
                        .toMap()
                        .getValue("x-agatestream-timeout-ms")
                        .toInt()
                (timeLeftMillis in 1..300) shouldBe true
                gate.complete(Unit)
                it.complete(stream = true).shouldBeCompleteStream()
            }
        }

        test("entry addresses omit leaving VMs and failure domains out of service, and need no key") {
            OnlineFixture().use {
                val other = it.addVm("vm2")
                it.send("GET", "/v1/entries", key = null).text shouldContain other.address
                other.leavingVms.announce(other)
                it.send("GET", "/v1/entries", key = null).text shouldNotContain other.address
                val out = mapOf(FailureDomainId("rennes") to FailureDomainSetting(ServiceState.OUT))
                it.coordination.update(it.coordination.fleet.copy(failureDomains = out))
                it.send("GET", "/v1/entries", key = null).text shouldBe """{"addresses":[],"ttlSeconds":10}"""
            }
        }

        test("an open route needs no key and forwards none") {
            OnlineFixture().use {
                it.send("GET", "/services/public/length", key = null).status shouldBe 200
                it.send("GET", "/services/public/length?a=b").status shouldBe 200
                it.first.requests.map { call -> call.target } shouldBe listOf("/length", "/length?a=b")
            }
        }

        test("a shutdown accepts requests for the time to live, then rejects new ones and waits for running ones") {
            OnlineFixture().use {
                val gate = CompletableDeferred<Unit>()
                it.first.scripts += Script.Pause(2, gate)
                val running = async { it.complete(stream = true) }
                eventually(5.seconds) { it.first.requests.size shouldBe 1 }
                val idle = it.startRequest("GET", "/v1/models")
                val shutdown = async { it.vm.shutdown.run { it.vm.server.runningCalls } }
                it.complete(stream = false).status shouldBe 200
                eventually(5.seconds) { it.vm.shutdown.isRefusingRequests() shouldBe true }
                it.complete(stream = false).text shouldContain "shutting_down"
                shutdown.isCompleted shouldBe false
                idle.readResponse()
                gate.complete(Unit)
                running.await().shouldBeCompleteStream()
                withTimeout(5.seconds) { shutdown.await() }
            }
        }
    })

private val tokenPattern = Regex("\"text\":\"(t\\d+ )\"")

private fun TestResponse.tokens(): List<String> = tokenPattern.findAll(text).map { it.groupValues[1] }.toList()

private fun TestResponse.shouldBeCompleteStream() {
    tokens() shouldBe listOf("t0 ", "t1 ", "t2 ", "t3 ", "t4 ")
    isComplete shouldBe true
    text.endsWith("data: [DONE]\n\n") shouldBe true
}
