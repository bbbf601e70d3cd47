package org.agatestream.http

import io.kotest.assertions.nondeterministic.eventually
import io.kotest.core.spec.style.FunSpec
import io.kotest.matchers.longs.shouldBeLessThan
import io.kotest.matchers.shouldBe
import io.kotest.matchers.string.shouldStartWith
import io.kotest.matchers.types.shouldBeInstanceOf
import kotlinx.coroutines.cancelAndJoin
import kotlinx.coroutines.delay
import kotlinx.coroutines.launch
import kotlinx.coroutines.withTimeout
import java.net.ServerSocket
import java.util.concurrent.CopyOnWriteArrayList
import java.util.concurrent.atomic.AtomicInteger
import java.util.concurrent.atomic.AtomicLong
import kotlin.concurrent.thread
import kotlin.time.Duration.Companion.milliseconds
import kotlin.time.Duration.Companion.seconds

class HttpClientTest :
    FunSpec({
        timeout = 20_000
        val loops = EventLoops(2)
        afterSpec { loops.close() }

        test("a connection is reused after a complete response") {
            RawServer { socket ->
                while (socket.readMessage().isNotEmpty()) socket.send(response("ok"))
            }.use { server ->
                val client = HttpClient(loops)
                repeat(20) { client.get(server).readText() shouldBe "ok" }
                server.accepted.get() shouldBe 1
            }
        }

        test("a connection is not reused after a response that was closed early") {
            RawServer { socket ->
                while (socket.readMessage().isNotEmpty()) socket.send(response("ok"))
            }.use { server ->
                val client = HttpClient(loops)
                client.get(server).close()
                client.get(server).readText() shouldBe "ok"
                server.accepted.get() shouldBe 2
            }
        }

        // Guards against an address of another writer that fails every request in place of the server's.
        test("a request to an address that can't exist is not sent") {
            val client = HttpClient(loops)
            for (address in listOf("127.0.0.1:70000", "127.0.0.1:-1", "127.0.0.1:x", "127.0.0.1", ":80", "")) {
                client.exchange(HttpRequestSpec(address, "GET", "/")).shouldBeInstanceOf<ExchangeResult.NotSent>()
                client.isRefused(address) shouldBe false
            }
        }

        test("an unsolicited response is not delivered to any request") {
            val count = AtomicInteger()
            val server =
                RawServer { socket ->
                    while (socket.readMessage().isNotEmpty()) {
                        val number = count.incrementAndGet()
                        socket.send(response("answer $number") + response("stray $number"))
                    }
                }
            server.use {
                val client = HttpClient(loops)
                (1..20).forEach { client.get(server).readText() shouldBe "answer $it" }
            }
        }

        test("a late response to a request that timed out is not delivered to another request") {
            val count = AtomicInteger()
            val server =
                RawServer { socket ->
                    while (socket.readMessage().isNotEmpty()) {
                        val number = count.incrementAndGet()
                        if (number == 1) Thread.sleep(300)
                        runCatching { socket.send(response("answer $number")) }
                    }
                }
            server.use {
                val client = HttpClient(loops)
                val first = launch { client.get(server) }
                eventually(3.seconds) { count.get() shouldBe 1 }
                first.cancelAndJoin()
                client.get(server).readText() shouldBe "answer 2"
                client.get(server).readText() shouldBe "answer 3"
            }
        }

        test("informational responses are skipped") {
            val early = "HTTP/1.1 103 Early Hints\r\nlink: x\r\n\r\nHTTP/1.1 100 Continue\r\n\r\n"
            RawServer { socket ->
                while (socket.readMessage().isNotEmpty()) socket.send(early + response("ok"))
            }.use { server ->
                val client = HttpClient(loops)
                repeat(3) {
                    val response = client.get(server)
                    response.status shouldBe 200
                    response.readText() shouldBe "ok"
                }
            }
        }

        test("a body delimited by the close is complete, and a truncated or malformed body is broken") {
            val close = "HTTP/1.1 200 OK\r\n\r\nuntil the end"
            val cut = "HTTP/1.1 200 OK\r\ncontent-length: 9\r\n\r\ncut"
            val cutChunk = "HTTP/1.1 200 OK\r\ntransfer-encoding: chunked\r\n\r\n3\r\ncut\r\n"
            val badChunk = "HTTP/1.1 200 OK\r\ntransfer-encoding: chunked\r\n\r\n3\r\ncut\r\nzz\r\n"
            val expected = mapOf(close to "until the end", cut to null, cutChunk to null, badChunk to null)
            expected.forEach { (text, body) ->
                RawServer { socket ->
                    socket.readMessage()
                    socket.send(text)
                }.use { server ->
                    val client = HttpClient(loops)
                    client.get(server).readText() shouldBe body
                    client.get(server).readText() shouldBe body
                }
            }
        }

        test("a refused connection yields NotSent, and a close before the response yields Lost") {
            val port = ServerSocket(0).use { it.localPort }
            HttpClient(loops)
                .exchange(HttpRequestSpec("127.0.0.1:$port", "GET", "/"))
                .shouldBeInstanceOf<ExchangeResult.NotSent>()
            listOf("", "garbage\r\n\r\n", "HTTP/1.1 200 OK\r\ncontent-le").forEach { text ->
                RawServer { socket ->
                    socket.readMessage()
                    socket.send(text)
                }.use { server ->
                    val spec = HttpRequestSpec(server.address, "GET", "/")
                    withTimeout(
                        3.seconds,
                    ) { HttpClient(loops).exchange(spec) }.shouldBeInstanceOf<ExchangeResult.Lost>()
                }
            }
        }

        test("a response that precedes the end of the request does not release the connection") {
            val server =
                RawServer { socket ->
                    while (socket.readHead().isNotEmpty()) {
                        socket.send(response("early"))
                        Thread.sleep(200)
                    }
                }
            server.use {
                val client = HttpClient(loops)
                val spec = HttpRequestSpec(server.address, "POST", "/", body = ByteArray(64 * 1_048_576))
                (client.exchange(spec) as ExchangeResult.Answered).response.readText() shouldBe "early"
                client.get(server).readText() shouldBe "early"
                server.accepted.get() shouldBe 2
            }
        }

        test("a slow reader applies backpressure to the server") {
            val sent = AtomicLong()
            val total = 64L * 1_048_576
            val server =
                RawServer { socket ->
                    socket.readMessage()
                    socket.send("HTTP/1.1 200 OK\r\ncontent-length: $total\r\n\r\n")
                    val chunk = "x".repeat(65_536)
                    while (sent.get() < total) {
                        socket.send(chunk)
                        sent.addAndGet(chunk.length.toLong())
                    }
                }
            server.use {
                val response = HttpClient(loops).get(server)
                var before = -1L
                eventually(3.seconds) {
                    val now = sent.get()
                    val settled = now > 0 && now == before
                    before = now
                    settled shouldBe true
                }
                sent.get() shouldBeLessThan 32L * 1_048_576
                response.readText()?.length?.toLong() shouldBe total
            }
        }

        test("a fresh request opens a new connection, and a closed idle connection is not reused") {
            RawServer { socket ->
                if (socket.readMessage().isNotEmpty()) socket.send(response("ok"))
            }.use { server ->
                val client = HttpClient(loops)
                client.get(server).readText() shouldBe "ok"
                client.get(server, fresh = true).readText() shouldBe "ok"
                server.accepted.get() shouldBe 2
                // A close in transit shows as a lost response; after that the connection is not reused.
                repeat(20) { eventually(3.seconds) { client.getOrNull(server)?.readText() shouldBe "ok" } }
            }
        }

        test("a response with another value of the echoed header is skipped") {
            val server =
                RawServer { socket ->
                    while (socket.readMessage().isNotEmpty()) {
                        socket.send("HTTP/1.1 200 OK\r\nx-id: other\r\ncontent-length: 4\r\n\r\nlate")
                        socket.send("HTTP/1.1 200 OK\r\nx-id: own\r\ncontent-length: 3\r\n\r\nown")
                    }
                }
            server.use {
                val spec = HttpRequestSpec(server.address, "GET", "/", echoedHeader = "x-id" to "own")
                val result = withTimeout(3.seconds) { HttpClient(loops).exchange(spec) }
                result.shouldBeInstanceOf<ExchangeResult.Answered>().response.readText() shouldBe "own"
            }
        }

        test("a body delimited by the close is complete after an orderly close and broken after a reset") {
            val resets = AtomicInteger()
            val server =
                RawServer { socket ->
                    socket.readMessage()
                    socket.send("HTTP/1.1 200 OK\r\n\r\nbody")
                    if (resets.getAndIncrement() > 0) socket.reset()
                }
            server.use {
                HttpClient(loops).get(server).readText() shouldBe "body"
                HttpClient(loops).get(server).readText() shouldBe null
            }
        }

        test("a connection is not reused shortly before the server's keep-alive timeout") {
            val head = "HTTP/1.1 200 OK\r\nkeep-alive: timeout=1\r\ncontent-length: 2\r\n\r\nok"
            RawServer { socket -> while (socket.readMessage().isNotEmpty()) socket.send(head) }.use { server ->
                val client = HttpClient(loops)
                client.get(server).readText() shouldBe "ok"
                client.get(server).readText() shouldBe "ok"
                server.accepted.get() shouldBe 1
                delay(700.milliseconds)
                client.get(server).readText() shouldBe "ok"
                server.accepted.get() shouldBe 2
            }
        }

        test("a request has the given method, headers and body") {
            val seen = CopyOnWriteArrayList<String>()
            RawServer { socket ->
                seen += socket.readMessage()
                socket.send(response("ok"))
            }.use { server ->
                val spec =
                    HttpRequestSpec(
                        server.address,
                        "PUT",
                        "/p?q=1",
                        listOf("x-a" to "1", "x-a" to "2"),
                        "hi".encodeToByteArray(),
                    )
                (HttpClient(loops).exchange(spec) as ExchangeResult.Answered).response.readText()
                seen.single() shouldStartWith "PUT /p?q=1 HTTP/1.1\r\n"
                seen.single().endsWith("\r\n\r\nhi") shouldBe true
                seen.single().split("x-a: ").size shouldBe 3
            }
        }
    })

private fun response(body: String) = "HTTP/1.1 200 OK\r\ncontent-length: ${body.length}\r\n\r\n$body"

private suspend fun HttpClient.get(
    server: RawServer,
    fresh: Boolean = false,
): HttpClientResponse = checkNotNull(getOrNull(server, fresh))

private suspend fun HttpClient.getOrNull(
    server: RawServer,
    fresh: Boolean = false,
): HttpClientResponse? {
    val result = withTimeout(3.seconds) { exchange(HttpRequestSpec(server.address, "GET", "/", newConnection = fresh)) }
    return (result as? ExchangeResult.Answered)?.response
}
