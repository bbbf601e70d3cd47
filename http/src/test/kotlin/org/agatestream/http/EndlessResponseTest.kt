package org.agatestream.http

import io.kotest.core.spec.style.FunSpec
import io.kotest.matchers.longs.shouldBeLessThan
import io.kotest.matchers.shouldBe
import io.kotest.matchers.types.shouldBeInstanceOf
import kotlinx.coroutines.withTimeout
import org.agatestream.core.Outcome
import java.net.SocketException
import java.util.concurrent.atomic.AtomicLong
import kotlin.time.Duration.Companion.seconds

private const val LATE = "HTTP/1.1 200 OK\r\nx-id: earlier\r\ncontent-length: 5\r\n\r\nstray"

/** What a server in trouble sends over and over before or within a response. */
private val ENDLESS_HEADS =
    mapOf(
        "blank lines" to ("" to "\r\n\r\n\r\n\r\n"),
        "an initial line without end" to ("" to "HTTP/1.1 200 OK and so on "),
        "a header line without end" to ("HTTP/1.1 200 OK\r\nx-long: " to "abcdefgh"),
        "headers without end" to ("HTTP/1.1 200 OK\r\n" to "x-more: value\r\n"),
        "interim responses without end" to ("" to "HTTP/1.1 103 Early Hints\r\nlink: x\r\n\r\n"),
        "late copies of an earlier response without end" to ("" to LATE),
        "a late copy whose body has no end" to ("HTTP/1.1 200 OK\r\nx-id: earlier\r\n\r\n" to "stray"),
    )

private const val CHUNKED = "HTTP/1.1 200 OK\r\nx-id: own\r\ntransfer-encoding: chunked\r\n\r\n"

private val ENDLESS_BODIES =
    mapOf(
        "a chunk extension without end" to ("${CHUNKED}5;x=" to "abcdefgh"),
        "trailers without end" to ("${CHUNKED}0\r\n" to "x-more: value\r\n"),
        "a body delimited by the close without end" to ("HTTP/1.1 200 OK\r\nx-id: own\r\n\r\n" to "bytes"),
        "chunks without end" to (CHUNKED to "400\r\n${"x".repeat(1_024)}\r\n"),
    )

/** Answers each request with [start] and then [rest] over and over until the client closes; counts the bytes. */
private fun endlessServer(
    start: String,
    rest: String,
    sent: AtomicLong,
): RawServer =
    RawServer { socket ->
        socket.socket.sendBufferSize = SEND_BUFFER_BYTES
        if (socket.readMessage().isEmpty()) return@RawServer
        val block = rest.repeat(BLOCK_BYTES / rest.length + 1)
        try {
            socket.send(start)
            while (true) {
                socket.send(block)
                sent.addAndGet(block.length.toLong())
            }
        } catch (_: SocketException) {
            // The client has closed the connection.
        }
    }

/** A request to this server, which tells the response to it by its id. */
private fun RawServer.request(): HttpRequestSpec = HttpRequestSpec(address, "GET", "/", echoedHeader = "x-id" to "own")

private const val BLOCK_BYTES = 4_096
private const val SEND_BUFFER_BYTES = 65_536

// What the limit lets through, and the buffers of both sockets.
private const val MAX_SENT_BYTES = 16L * 1024 * 1024

class EndlessResponseTest :
    FunSpec({
        timeout = 20_000
        val loops = EventLoops(2)
        afterSpec { loops.close() }

        for ((what, parts) in ENDLESS_HEADS) {
            test("$what ends the exchange and the connection") {
                val sent = AtomicLong()
                endlessServer(parts.first, parts.second, sent).use { server ->
                    val result = withTimeout(5.seconds) { HttpClient(loops).exchange(server.request()) }
                    result.shouldBeInstanceOf<ExchangeResult.Lost>()
                    sent.get() shouldBeLessThan MAX_SENT_BYTES
                }
            }
        }

        for ((what, parts) in ENDLESS_BODIES) {
            test("$what fails the body within the limits of its reader") {
                val sent = AtomicLong()
                endlessServer(parts.first, parts.second, sent).use { server ->
                    val budget = BufferBudget(1_000_000)
                    withTimeout(5.seconds) {
                        val response =
                            HttpClient(loops)
                                .exchange(server.request())
                                .shouldBeInstanceOf<ExchangeResult.Answered>()
                                .response
                        try {
                            response.readBody(10_000_000, budget).shouldBeInstanceOf<Outcome.Failed>()
                        } finally {
                            response.close()
                        }
                    }
                    budget.usedBytes shouldBe 0
                    sent.get() shouldBeLessThan MAX_SENT_BYTES
                }
            }
        }

        test("bytes without end after a complete answer reach no request and end the connection") {
            val sent = AtomicLong()
            val answer = "HTTP/1.1 200 OK\r\nx-id: own\r\ncontent-length: 2\r\n\r\nok"
            endlessServer(answer, LATE, sent).use { server ->
                val client = HttpClient(loops)
                repeat(5) {
                    val result = withTimeout(5.seconds) { client.exchange(server.request()) }
                    if (result is ExchangeResult.Answered) result.response.readText() shouldBe "ok"
                }
                sent.get() shouldBeLessThan MAX_SENT_BYTES
            }
        }

        test("a late copy of the response to the same request is not taken for the response to its retry") {
            RawServer { socket ->
                var isFirst = true
                while (socket.readMessage().isNotEmpty()) {
                    val answer = if (isFirst) "first" else "again"
                    if (!isFirst) socket.send("HTTP/1.1 200 OK\r\nx-id: own\r\ncontent-length: 5\r\n\r\nfirst")
                    socket.send("HTTP/1.1 200 OK\r\nx-id: own\r\ncontent-length: 5\r\n\r\n$answer")
                    isFirst = false
                }
            }.use { server ->
                val client = HttpClient(loops)
                repeat(2) {
                    client
                        .exchange(server.request())
                        .shouldBeInstanceOf<ExchangeResult.Answered>()
                        .response
                        .readText() shouldBe
                        "first"
                }
                server.accepted.get() shouldBe 2
            }
        }

        test("a late copy that is split over reads, or arrives with the answer, is not delivered") {
            for (size in listOf(1, 7, 40, LATE.length)) {
                RawServer { socket ->
                    while (socket.readMessage().isNotEmpty()) {
                        LATE.chunked(size).forEach { socket.send(it) }
                        socket.send("HTTP/1.1 200 OK\r\nx-id: own\r\ncontent-length: 2\r\n\r\nok")
                    }
                }.use { server ->
                    val client = HttpClient(loops)
                    repeat(3) {
                        client
                            .exchange(server.request())
                            .shouldBeInstanceOf<ExchangeResult.Answered>()
                            .response
                            .readText() shouldBe
                            "ok"
                    }
                }
            }
        }
    })
