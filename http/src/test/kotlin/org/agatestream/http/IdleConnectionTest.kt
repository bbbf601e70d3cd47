package org.agatestream.http

import io.kotest.assertions.nondeterministic.eventually
import io.kotest.assertions.withClue
import io.kotest.core.spec.style.FunSpec
import io.kotest.matchers.collections.shouldBeIn
import io.kotest.matchers.shouldBe
import io.kotest.matchers.shouldNotBe
import io.kotest.matchers.types.shouldBeInstanceOf
import kotlinx.coroutines.Dispatchers
import kotlinx.coroutines.launch
import java.util.concurrent.CountDownLatch
import java.util.concurrent.TimeUnit
import java.util.concurrent.atomic.AtomicInteger
import kotlin.time.Duration.Companion.seconds

private const val BLANK_LINE = "a blank line"

/** What a server sends on a connection that has no request in progress. */
private val EXTRA_BYTES =
    mapOf(
        "a response with the id of the earlier request" to rawResponse("200 OK", "late", "x-id: first"),
        "a response without an id" to rawResponse("200 OK", "late"),
        "a response without a length" to "HTTP/1.1 200 OK\r\nx-id: first\r\n\r\nlate",
        "an interim response" to "HTTP/1.1 103 Early Hints\r\nlink: x\r\n\r\n",
        "the beginning of a head" to "HTTP/1.1 200 OK\r\nx-id: first\r\ncontent-le",
        "one byte" to "H",
        "no response" to "stray",
        "a line" to "stray\r\n",
        BLANK_LINE to "\r\n",
    )

class IdleConnectionTest :
    FunSpec({
        timeout = 20_000
        val loops = EventLoops(2)
        afterSpec { loops.close() }

        for ((what, bytes) in EXTRA_BYTES) {
            // Guards against bytes of an earlier response that wait in an idle connection for the next request.
            test("an idle connection that delivers $what is closed") {
                val isRead = CountDownLatch(1)
                val closed = AtomicInteger()
                RawServer { socket ->
                    socket.send(rawResponse("200 OK", "own", "x-id: ${requestId(socket.readMessage())}"))
                    if (!isRead.await(5, TimeUnit.SECONDS)) return@RawServer
                    socket.send(bytes)
                    if (runCatching { socket.readMessage() }.getOrDefault("").isEmpty()) closed.incrementAndGet()
                }.use { server ->
                    val client = HttpClient(loops)
                    client.receive(server.address, "first") shouldBe "200 own"
                    isRead.countDown()
                    eventually(3.seconds) { closed.get() shouldBe 1 }
                    client.receive(server.address, "second") shouldBe "200 own"
                    server.accepted.get() shouldBe 2
                }
            }

            // Guards against a request that fails with an exception as the server closes the connection it was given.
            test("a request that crosses $what gets its own response or none") {
                repeat(50) {
                    val isRead = CountDownLatch(1)
                    RawServer { socket ->
                        socket.send(rawResponse("200 OK", "own", "x-id: ${requestId(socket.readMessage())}"))
                        if (!isRead.await(5, TimeUnit.SECONDS)) return@RawServer
                        socket.send(bytes)
                        val next = socket.readMessage().ifEmpty { return@RawServer }
                        socket.send(rawResponse("200 OK", "own", "x-id: ${requestId(next)}"))
                        socket.socket.shutdownOutput()
                        socket.readAll()
                    }.use { server ->
                        val client = HttpClient(loops)
                        client.receive(server.address, "first") shouldBe "200 own"
                        isRead.countDown()
                        withClue("round $it") {
                            client.receive(server.address, "second") shouldBeIn
                                listOf("200 own", null)
                        }
                    }
                }
            }
        }

        for ((what, bytes) in EXTRA_BYTES - BLANK_LINE) {
            // Guards against bytes of an earlier response that stay in the decoder of a connection in use again.
            test("a connection that delivers $what with the end of a response is closed") {
                val closed = AtomicInteger()
                RawServer { socket ->
                    socket.send(rawResponse("200 OK", "own", "x-id: ${requestId(socket.readMessage())}") + bytes)
                    if (runCatching { socket.readMessage() }.getOrDefault("").isEmpty()) closed.incrementAndGet()
                }.use { server ->
                    HttpClient(loops).receive(server.address, "first") shouldBe "200 own"
                    eventually(3.seconds) { closed.get() shouldBe 1 }
                }
            }
        }

        test("a request that is cancelled, or whose response is not read to the end, closes its connection") {
            val closed = AtomicInteger()
            RawServer { socket ->
                val id = requestId(socket.readMessage())
                if (id == "head") socket.send("HTTP/1.1 200 OK\r\nx-id: head\r\ncontent-length: 9\r\n\r\npart")
                if (id == "close") socket.send("HTTP/1.1 200 OK\r\nx-id: close\r\n\r\npart")
                if (socket.readMessage().isEmpty()) closed.incrementAndGet()
            }.use { server ->
                val client = HttpClient(loops)
                for ((index, id) in listOf("none", "head", "close").withIndex()) {
                    client.receive(server.address, id, timeout = 1.seconds) shouldBe null
                    eventually(3.seconds) { closed.get() shouldBe index + 1 }
                }
                server.accepted.get() shouldBe 3
            }
        }

        // Guards against a request that is lost as the reader of the response before it closes that response.
        test("closing a response as it ends does not end the next request on its connection") {
            RawServer { socket ->
                while (true) {
                    val id = requestId(socket.readMessage().ifEmpty { return@RawServer })
                    socket.send(rawResponse("200 OK", "own", "x-id: $id"))
                }
            }.use { server ->
                val client = HttpClient(loops)
                repeat(5_000) { round ->
                    val first =
                        client.exchange(
                            HttpRequestSpec(server.address, "GET", "/", listOf("x-id" to "a$round")),
                        )
                    val response = first.shouldBeInstanceOf<ExchangeResult.Answered>().response
                    val reader = launch(loops.dispatcher) { response.nextChunk() }
                    launch(Dispatchers.Default) { response.close() }
                    val next = client.exchange(HttpRequestSpec(server.address, "GET", "/", listOf("x-id" to "b$round")))
                    withClue("round $round") { next::class shouldNotBe ExchangeResult.Lost::class }
                    (next as? ExchangeResult.Answered)?.response?.readText()
                    reader.join()
                }
            }
        }
    })
