package org.agatestream.http

import io.kotest.assertions.withClue
import io.kotest.core.spec.style.FunSpec
import io.kotest.matchers.shouldBe
import io.kotest.matchers.types.shouldBeInstanceOf
import kotlinx.coroutines.async
import kotlinx.coroutines.withTimeout
import java.util.concurrent.CountDownLatch
import java.util.concurrent.TimeUnit
import kotlin.time.Duration.Companion.seconds

private const val CHUNKED = "transfer-encoding: chunked\r\n\r\n"

/** Bodies that end with their connection, and what the client makes of them; null stands for a broken body. */
private val BODIES: Map<String, String?> =
    mapOf(
        "\r\nbody" to "200 body",
        "connection: keep-alive\r\n\r\nbody" to "200 body",
        "connection: close\r\n\r\nbody" to "200 body",
        "\r\n" to "200 ",
        "content-length: 4\r\n\r\nbody" to "200 body",
        "content-length: 5\r\n\r\nbody" to null,
        "content-length: 5\r\n\r\n" to null,
        "${CHUNKED}4\r\nbody\r\n0\r\n\r\n" to "200 body",
        "${CHUNKED}4\r\nbody\r\n" to null,
        "${CHUNKED}4\r\nbody\r\n0\r\n" to null,
        "${CHUNKED}4\r\nbody\r\n0" to null,
        "${CHUNKED}4\r\nbo" to null,
        "${CHUNKED}4" to null,
        CHUNKED to null,
        "${CHUNKED}4\r\nbodyHTTP/1.1 200 OK\r\n\r\n" to null,
        "${CHUNKED}HTTP/1.1 200 OK\r\n\r\n" to null,
    )

private const val HEAD = "HTTP/1.1 200 OK\r\nx-id: own\r\n"

class BodyEndTest :
    FunSpec({
        timeout = 30_000
        val loops = EventLoops(2)
        afterSpec { loops.close() }

        for ((response, expected) in BODIES) {
            // Guards against a body that is cut by a crash and counts as whole.
            test("the body of '${response.replace("\r\n", "|")}' before a close is ${expected ?: "broken"}") {
                val parts = listOf(listOf(HEAD + response), listOf(HEAD, response), (HEAD + response).chunked(1))
                for (segments in parts) {
                    RawServer { socket ->
                        socket.readMessage()
                        segments.forEach { socket.send(it) }
                    }.use { server ->
                        val client = HttpClient(loops)
                        repeat(2) { client.receive(server.address, "own") shouldBe expected }
                        server.accepted.get() shouldBe 2
                    }
                }
            }

            // Guards against a whole response that is lost because the close is read before its end is delivered.
            test("the body of '${response.replace("\r\n", "|")}' after skipped responses is ${expected ?: "broken"}") {
                val late = rawResponse("200 OK", "late", "x-id: first")
                val interim = "HTTP/1.1 103 Early Hints\r\nlink: x\r\n\r\n"
                for (skipped in listOf(late, interim, interim + late, late.repeat(3))) {
                    repeat(20) {
                        RawServer { socket ->
                            if (requestId(socket.readMessage()) ==
                                "first"
                            ) {
                                socket.send(rawResponse("200 OK", "", "x-id: first"))
                            }
                            if (socket.readMessage().isNotEmpty()) socket.send(skipped + HEAD + response)
                        }.use { server ->
                            val client = HttpClient(loops)
                            client.receive(server.address, "first") shouldBe "200 "
                            withClue(skipped) { client.receive(server.address, "own") shouldBe expected }
                        }
                    }
                }
            }
        }

        test("a body delimited by the close is broken if the connection is reset, also after an interim response") {
            for (before in listOf("", "HTTP/1.1 103 Early Hints\r\nlink: x\r\n\r\n")) {
                RawServer { socket ->
                    socket.readMessage()
                    socket.send("$before$HEAD\r\nbody")
                    socket.reset()
                }.use { server ->
                    repeat(20) { HttpClient(loops).receive(server.address, "own") shouldBe null }
                }
            }
        }

        // Guards against a reset that a write meets first, so that the body counts as ended in order.
        test("a body delimited by the close is broken if the reset stops the request") {
            RawServer { socket ->
                socket.readHead()
                socket.send("$HEAD\r\npart")
                socket.readBytes(1_000_000)
                socket.reset()
            }.use { server ->
                repeat(20) {
                    val spec = HttpRequestSpec(server.address, "POST", "/", body = ByteArray(64 * 1_048_576))
                    val result = withTimeout(5.seconds) { HttpClient(loops).exchange(spec) }
                    val body = (result as? ExchangeResult.Answered)?.response?.readText()
                    withClue("round $it") { body shouldBe null }
                }
            }
        }

        // Guards against a check that takes an early response for one that a reset has cut.
        test("a body delimited by the close is whole if the server ends it in order before it has read the request") {
            RawServer { socket ->
                socket.readHead()
                socket.send("$HEAD\r\nwhole")
                socket.socket.shutdownOutput()
                // A close with unread input would reset the connection.
                socket.readAll()
            }.use { server ->
                repeat(20) {
                    val spec = HttpRequestSpec(server.address, "POST", "/", body = ByteArray(64 * 1_048_576))
                    val result = HttpClient(loops).exchange(spec).shouldBeInstanceOf<ExchangeResult.Answered>()
                    withClue("round $it") { result.response.readText() shouldBe "whole" }
                }
            }
        }

        // Guards against a body that counts as whole because this side closes its connection.
        test("a body delimited by the close is broken if the client shuts down") {
            val own = EventLoops(1)
            val isRead = CountDownLatch(1)
            RawServer { socket ->
                socket.readMessage()
                socket.send("$HEAD\r\npart")
                isRead.await(5, TimeUnit.SECONDS)
                socket.readAll()
            }.use { server ->
                val spec = HttpRequestSpec(server.address, "GET", "/")
                val response = HttpClient(own).exchange(spec).shouldBeInstanceOf<ExchangeResult.Answered>().response
                response.nextChunk().shouldBeInstanceOf<BodyPart.Chunk>()
                val rest = async { response.readText() }
                own.close()
                rest.await() shouldBe null
                isRead.countDown()
            }
        }

        test("a body of no length follows neither HEAD nor 204 nor 304, and bytes after them close the connection") {
            for (status in listOf("204 No Content", "304 Not Modified")) {
                RawServer { socket ->
                    while (socket.readMessage().isNotEmpty()) socket.send("HTTP/1.1 $status\r\nx-id: own\r\n\r\n")
                }.use { server ->
                    val client = HttpClient(loops)
                    for (id in listOf("own", "other")) {
                        val spec = HttpRequestSpec(server.address, "GET", "/", listOf("x-id" to id))
                        client
                            .exchange(spec)
                            .shouldBeInstanceOf<ExchangeResult.Answered>()
                            .response
                            .readText() shouldBe
                            ""
                    }
                    server.accepted.get() shouldBe 1
                }
            }
            for (status in listOf("204 No Content", "304 Not Modified")) {
                StutteringServer(Stutter(withFirst = "HTTP/1.1 $status\r\nx-id: first\r\n\r\nlate")).use { server ->
                    val client = HttpClient(loops)
                    repeat(3) { client.receive(server.address, "id $it") shouldBe "200 own id $it" }
                    server.accepted.get() shouldBe 2
                }
            }
        }
    })
