package org.agatestream.server

import io.kotest.assertions.nondeterministic.eventually
import io.kotest.core.spec.style.FunSpec
import io.kotest.matchers.shouldBe
import io.kotest.matchers.string.shouldContain
import kotlinx.coroutines.CompletableDeferred
import kotlinx.coroutines.async
import org.agatestream.http.HttpClientResponse
import kotlin.time.Duration.Companion.milliseconds
import kotlin.time.Duration.Companion.seconds

// Guards against requests of the product's own interface whose connection is closed without an answer as a VM stops.
class OutlastedShutdownTest :
    FunSpec({
        timeout = 20_000

        test("a request that outlasts the grace period of a stop is answered as of unknown outcome") {
            OnlineFixture().use {
                val vm = it.addVm("vm2", grace = 200.milliseconds)
                it.first.scripts += Script.Delay(CompletableDeferred())
                val running = async { it.requestCompletion(vm, stream = false).readResponse() }
                eventually(5.seconds) { it.first.requests.size shouldBe 1 }
                vm.shutdown.run { vm.server.runningCalls }
                eventually(1.seconds) { vm.server.runningCalls shouldBe 0 }
                vm.server.closeNow()
                val response = running.await()
                response.status shouldBe 504
                response.text shouldContain "deadline_exceeded"
            }
        }

        test("a stream that outlasts the grace period of a stop ends early and not as whole") {
            OnlineFixture().use {
                val vm = it.addVm("vm2", grace = 200.milliseconds)
                it.first.scripts += Script.Pause(2, CompletableDeferred())
                val running = async { it.requestCompletion(vm, stream = true).readResponse() }
                eventually(5.seconds) { it.first.requests.size shouldBe 1 }
                vm.shutdown.run { vm.server.runningCalls }
                eventually(1.seconds) { vm.server.runningCalls shouldBe 0 }
                vm.server.closeNow()
                val response = running.await()
                response.status shouldBe 200
                response.isComplete shouldBe false
            }
        }
    })

private suspend fun OnlineFixture.requestCompletion(
    vm: FakeVm,
    stream: Boolean,
): HttpClientResponse = startRequest("POST", "/v1/completions", completionBody(stream), via = vm)
