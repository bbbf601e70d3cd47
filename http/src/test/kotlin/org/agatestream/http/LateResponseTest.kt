package org.agatestream.http

import io.kotest.assertions.withClue
import io.kotest.core.spec.style.FunSpec
import io.kotest.matchers.collections.shouldBeIn
import io.kotest.matchers.shouldBe
import io.kotest.matchers.types.shouldBeInstanceOf
import kotlinx.coroutines.withTimeout
import kotlin.time.Duration.Companion.seconds

private val STATUSES =
    mapOf(
        "200 OK" to emptyList(),
        "421 Misdirected Request" to emptyList(),
        "500 Internal Server Error" to emptyList(),
        "503 Service Unavailable" to listOf("x-agatestream-not-executed: 1"),
    )

private const val LENGTH = "with a length"
private const val CLOSE = "without a length"
private val BODIES =
    mapOf(
        LENGTH to "content-length: 4\r\n\r\nlate",
        "in chunks" to "transfer-encoding: chunked\r\n\r\n2\r\nla\r\n2\r\nte\r\n0\r\n\r\n",
        CLOSE to "\r\nlate",
        "without a body" to "content-length: 0\r\n\r\n",
    )

/** A response to the request `first` that the server sends again. */
private class Copy(
    private val status: String,
    private val id: String?,
    private val body: String,
) {
    val text =
        (
            listOfNotNull(
                "HTTP/1.1 $status",
                id,
            ) + STATUSES.getValue(status) + BODIES.getValue(body)
        ).joinToString("\r\n")
    val hasId get() = id != null
    val isDelimited get() = body != CLOSE
    val isShort get() = body == LENGTH

    override fun toString(): String = "of $status ${id?.let { "with the id" } ?: "without an id"} $body"
}

private val COPIES =
    STATUSES.keys.flatMap { status ->
        listOf("x-id: first", null).flatMap { id -> BODIES.keys.map { Copy(status, id, it) } }
    }

private const val SEGMENT_CHARS = 7
private const val SENT_AGAIN = 6
private const val INTERIM = "HTTP/1.1 103 Early Hints\r\nlink: x\r\n\r\n"

/** Bytes that are no response. */
private val STRAY =
    mapOf(
        "a word" to "stray",
        "words and a blank" to "stray bytes ",
        "lines" to "stray\r\nbytes\r\n",
        "blank lines" to "\r\n\r\n",
        "events" to "id: 3\ndata: x\n\n",
        "a chunk" to "4\r\nlate\r\n0\r\n\r\n",
        "zero bytes" to "\u0000\u0000",
        "a request" to "GET / HTTP/1.1\r\nx-id: second\r\n\r\n",
        "a status line" to "HTTP/1.1 500 No\r\n",
        "a head without end" to "HTTP/1.1 500 No\r\nx-more: value\r\n",
    )

/** Copies with the id of an earlier request that don't say where they end. */
private val ENDLESS_COPIES =
    mapOf(
        "without a length" to "HTTP/1.1 200 OK\r\nx-id: first\r\n\r\nlate",
        "with a malformed chunk" to "HTTP/1.1 200 OK\r\nx-id: first\r\ntransfer-encoding: chunked\r\n\r\nzz\r\n",
    )

/** Sends three requests to a server that stutters; each gets its own response or none. */
private suspend fun HttpClient.shouldReceiveOnlyOwn(
    stutter: Stutter,
    method: String = "GET",
) {
    val second = if (method == "HEAD") "200 " else "200 own second"
    StutteringServer(stutter).use { server ->
        receive(server.address, "first") shouldBe "200 own first"
        receive(server.address, "second", method) shouldBeIn listOf(second, null)
        // The close of the server may cross the third request.
        receive(server.address, "third") shouldBeIn listOf("200 own third", null)
    }
}

class LateResponseTest :
    FunSpec({
        timeout = 60_000
        val loops = EventLoops(2)
        afterSpec { loops.close() }

        for (copy in COPIES) {
            // Guards against a late copy without an id that a caller gets as the response to another request.
            test("a late copy $copy reaches no other request") {
                val places =
                    mapOf(
                        "with the first response" to Stutter(withFirst = copy.text),
                        "before the second" to Stutter(beforeSecond = listOf(copy.text)),
                        "before the second, in segments" to Stutter(beforeSecond = copy.text.chunked(SEGMENT_CHARS)),
                        "in place of the second" to Stutter(beforeSecond = listOf(copy.text), answersSecond = false),
                        "after an interim response" to Stutter(beforeSecond = listOf(INTERIM, copy.text)),
                        "before an interim response" to Stutter(beforeSecond = listOf(copy.text + INTERIM)),
                    )
                for ((place, stutter) in places) {
                    withClue(place) { HttpClient(loops).shouldReceiveOnlyOwn(stutter) }
                }
            }

            test("a late copy $copy before the response to HEAD reaches no request") {
                HttpClient(loops).shouldReceiveOnlyOwn(Stutter(beforeSecond = listOf(copy.text)), "HEAD")
            }
        }

        // Guards against a response to HEAD that is lost because an earlier head was paired with the request.
        test("the response to HEAD arrives after an interim response and after late copies with the id") {
            val copies = COPIES.filter { it.isDelimited && it.hasId }
            for (before in listOf(INTERIM) + copies.map { it.text }) {
                StutteringServer(Stutter(beforeSecond = listOf(before))).use { server ->
                    val client = HttpClient(loops)
                    client.receive(server.address, "first") shouldBe "200 own first"
                    withClue(before) { client.receive(server.address, "second", "HEAD") shouldBe "200 " }
                }
            }
        }

        for (copy in COPIES.filter { it.isShort }) {
            // Guards against a late copy that is taken for the next response because its end comes after the request.
            test("a late copy $copy that begins before the next request reaches no other request") {
                for (cut in 1 until copy.text.length) {
                    val rest = listOf(copy.text.drop(cut))
                    withClue("after $cut bytes") {
                        HttpClient(loops).shouldReceiveOnlyOwn(Stutter(copy.text.take(cut), rest))
                    }
                }
            }

            // Guards against a late copy, cut by a crash, that is taken for the next response.
            test("a late copy $copy that ends with its connection reaches no other request") {
                for (cut in 1 until copy.text.length) {
                    val stutter = Stutter(beforeSecond = listOf(copy.text.take(cut)), answersSecond = false)
                    withClue("after $cut bytes") { HttpClient(loops).shouldReceiveOnlyOwn(stutter) }
                }
            }

            // Guards against the status of one response with the id and the body of another.
            test("a late copy $copy that breaks off does not merge with the next response") {
                for (cut in 1 until copy.text.length) {
                    val part = copy.text.take(cut)
                    withClue("after $cut bytes") {
                        HttpClient(loops).shouldReceiveOnlyOwn(Stutter(withFirst = part))
                        HttpClient(loops).shouldReceiveOnlyOwn(Stutter(beforeSecond = listOf(part)))
                        HttpClient(loops).shouldReceiveOnlyOwn(Stutter(beforeSecond = listOf(INTERIM, part)))
                    }
                }
            }
        }

        for ((what, bytes) in STRAY) {
            test("$what between two responses reach no request") {
                val places =
                    listOf(
                        Stutter(withFirst = bytes),
                        Stutter(beforeSecond = listOf(bytes)),
                        Stutter(bytes, listOf(bytes)),
                    )
                places.forEach { HttpClient(loops).shouldReceiveOnlyOwn(it) }
            }
        }

        // Guards against the last response to an item as the response to its next run, after another request between.
        test("a late copy is not taken for the response to the same request, sent again after others") {
            RawServer { socket ->
                var number = 0
                while (true) {
                    val id = requestId(socket.readMessage().ifEmpty { return@RawServer })
                    if (++number == SENT_AGAIN) socket.send(rawResponse("200 OK", "late", "x-id: item"))
                    socket.send(rawResponse("200 OK", "own", "x-id: $id"))
                }
            }.use { server ->
                val client = HttpClient(loops)
                val ids = List(SENT_AGAIN) { if (it == 0 || it == SENT_AGAIN - 1) "item" else "other $it" }
                ids.forEach { client.receive(server.address, it) shouldBe "200 own" }
                server.accepted.get() shouldBe 2
            }
        }

        test("a connection whose requests cannot be remembered is not used again") {
            RawServer { socket ->
                while (true) {
                    val id = requestId(socket.readMessage().ifEmpty { return@RawServer })
                    socket.send(rawResponse("200 OK", "own", "x-id: $id"))
                }
            }.use { server ->
                val client = HttpClient(loops)
                repeat(2_000) { client.receive(server.address, "id $it") shouldBe "200 own" }
                server.accepted.get() shouldBe 2
            }
        }

        // Guards against an answer lost to its caller because a late one without an id came before it.
        test("the awaited response is received after a late one without an id that says where it ends") {
            for (copy in COPIES.filter { !it.hasId && it.isDelimited }) {
                withClue("$copy") {
                    StutteringServer(Stutter(beforeSecond = listOf(copy.text))).use { server ->
                        val client = HttpClient(loops)
                        client.receive(server.address, "first") shouldBe "200 own first"
                        client.receive(server.address, "second") shouldBe "200 own second"
                    }
                }
            }
        }

        for ((what, copy) in ENDLESS_COPIES) {
            // Guards against a request that waits out its time behind a late copy that is skipped without end.
            test("a late copy $what ends the next exchange at once") {
                RawServer { socket ->
                    socket.readMessage()
                    socket.send(rawResponse("200 OK", "own", "x-id: first"))
                    socket.readMessage()
                    socket.send(copy)
                    socket.readAll()
                }.use { server ->
                    val client = HttpClient(loops)
                    client.receive(server.address, "first") shouldBe "200 own"
                    val second = HttpRequestSpec(server.address, "GET", "/", echoedHeader = "x-id" to "second")
                    withTimeout(3.seconds) { client.exchange(second) }.shouldBeInstanceOf<ExchangeResult.Lost>()
                }
            }
        }

        // Guards against a refusal taken for lost: a server that takes over an address refuses without the id.
        test("a response without an id counts on a new connection, which is not used again") {
            RawServer { socket ->
                while (socket.readMessage().isNotEmpty()) socket.send(rawResponse("421 Misdirected Request", "no"))
            }.use { server ->
                val client = HttpClient(loops)
                repeat(3) { client.receive(server.address, "id $it") shouldBe "421 no" }
                server.accepted.get() shouldBe 3
            }
        }
    })
