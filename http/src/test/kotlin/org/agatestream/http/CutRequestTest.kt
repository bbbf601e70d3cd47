package org.agatestream.http

import io.kotest.assertions.nondeterministic.eventually
import io.kotest.assertions.withClue
import io.kotest.core.spec.style.FunSpec
import io.kotest.matchers.shouldBe
import kotlinx.coroutines.CoroutineScope
import kotlinx.coroutines.Dispatchers
import kotlinx.coroutines.SupervisorJob
import kotlinx.coroutines.cancel
import org.agatestream.core.Outcome
import org.agatestream.core.getOrElse
import java.net.InetSocketAddress
import java.util.concurrent.CopyOnWriteArrayList
import kotlin.time.Duration.Companion.seconds

private const val TEXT = "body of 20 characters"
private const val POST = "POST /run HTTP/1.1\r\nhost: x\r\n"

private val REQUESTS =
    mapOf(
        "without a body" to "GET /run HTTP/1.1\r\nhost: x\r\nx-last: value\r\n\r\n",
        "with a length" to "${POST}content-length: 21\r\nx-last: value\r\n\r\n$TEXT",
        "with an empty body" to "${POST}content-length: 0\r\n\r\n",
        "in chunks" to "${POST}transfer-encoding: chunked\r\n\r\n8\r\nbody of \r\nd\r\n20 characters\r\n0\r\n\r\n",
        "in chunks with a trailer" to
            "${POST}transfer-encoding: chunked\r\n\r\n15\r\n$TEXT\r\n0\r\nx-sum: 1\r\n\r\n",
        "that expects 100 Continue" to "${POST}content-length: 21\r\nexpect: 100-continue\r\n\r\n$TEXT",
    )

/** Ways in which a caller ends its connection. */
private enum class CallerEnd {
    CLOSE,
    SHUTDOWN_OUTPUT,
    RESET,
}

class CutRequestTest :
    FunSpec({
        timeout = 60_000
        val loops = EventLoops(2)
        val scope = CoroutineScope(SupervisorJob() + Dispatchers.Default)
        afterSpec {
            scope.cancel()
            loops.close()
        }

        suspend fun runsOf(
            bytes: String,
            end: CallerEnd,
            expected: Int,
        ) {
            val bodies = CopyOnWriteArrayList<String>()
            val handler: suspend (HttpCall) -> Unit = { call ->
                when (val body = call.readBody(1_000)) {
                    is Outcome.Ok -> {
                        if (call.path == "/run") bodies += body.value.decodeToString()
                        call.respond(200, "text/plain", ByteArray(0))
                    }

                    is Outcome.Failed -> {
                        call.respondFailure(body.failure)
                    }
                }
            }
            val server = HttpServer.start(loops, InetSocketAddress("127.0.0.1", 0), HttpLimits(), scope, handler)
            try {
                RawSocket.connect(server.port).use { socket ->
                    socket.send(bytes)
                    when (end) {
                        CallerEnd.CLOSE -> {}

                        CallerEnd.SHUTDOWN_OUTPUT -> {
                            socket.socket.shutdownOutput()
                        }

                        CallerEnd.RESET -> {
                            socket.reset()
                        }
                    }
                    if (end == CallerEnd.SHUTDOWN_OUTPUT) runCatching { socket.readAll() }
                }
                eventually(5.seconds) { server.runningCalls shouldBe 0 }
                if (end != CallerEnd.RESET || expected == 0) bodies.size shouldBe expected
                bodies.all { it == TEXT || it.isEmpty() } shouldBe true
            } finally {
                server.closeNow()
            }
        }

        for ((what, whole) in REQUESTS) {
            // Guards against a request that runs although its caller stopped in the middle of it.
            test("a request $what that is cut after any byte does not run, alone or after another") {
                val other = "POST /other HTTP/1.1\r\nhost: x\r\ncontent-length: 2\r\n\r\nhi"
                for (end in CallerEnd.entries) {
                    for (before in listOf("", other)) {
                        for (cut in 0 until whole.length) {
                            withClue(
                                "$end after $cut bytes, before: '$before'",
                            ) { runsOf(before + whole.take(cut), end, 0) }
                        }
                    }
                }
                runsOf(whole, CallerEnd.SHUTDOWN_OUTPUT, 1)
            }
        }
    })
