package org.agatestream.standin

import io.kotest.assertions.nondeterministic.eventually
import io.kotest.core.spec.style.FunSpec
import io.kotest.matchers.ints.shouldBeGreaterThanOrEqual
import io.kotest.matchers.shouldBe
import kotlinx.coroutines.CompletableDeferred
import kotlinx.coroutines.Dispatchers
import kotlinx.coroutines.async
import kotlinx.coroutines.coroutineScope
import kotlinx.coroutines.joinAll
import kotlinx.coroutines.launch
import kotlinx.coroutines.withTimeoutOrNull
import java.util.concurrent.atomic.AtomicInteger
import kotlin.time.Duration.Companion.seconds

class ScenarioCallerTest :
    FunSpec({
        timeout = 60_000

        // Scenarios run beside each other; a backlog in one held up the calls of the others for over 5 s.
        test("calls that wait for their responses hold up no call of another caller, nor of the same one") {
            val answer = CompletableDeferred<Unit>()
            val waiting = AtomicInteger()
            val server =
                StandInServer { call ->
                    if (call.path == "/slow") {
                        waiting.incrementAndGet()
                        answer.await()
                    }
                    call.respondEmpty()
                }
            server.use {
                val address = "127.0.0.1:${server.listen(0)}"
                val busy = ScenarioCaller()
                coroutineScope {
                    val slow =
                        List(WAITING_CALLS) { launch(Dispatchers.Default) { busy.send(address, "GET", "/slow") } }
                    try {
                        eventually(20.seconds) { waiting.get() shouldBeGreaterThanOrEqual MIN_WAITING }
                        listOf(ScenarioCaller(), busy).forEach { caller ->
                            val fast = async(Dispatchers.Default) { caller.send(address, "GET", "/fast").status }
                            withTimeoutOrNull(5.seconds) { fast.await() } shouldBe 200
                        }
                        eventually(20.seconds) { waiting.get() shouldBe WAITING_CALLS }
                    } finally {
                        answer.complete(Unit)
                    }
                    slow.joinAll()
                }
            }
        }
    })

private const val WAITING_CALLS = 200

// A backlog that the shared threads of Dispatchers.IO can just hold.
private const val MIN_WAITING = 50
