package org.agatestream.http

import io.kotest.assertions.withClue
import io.kotest.core.spec.style.FunSpec
import io.kotest.matchers.shouldBe
import io.kotest.matchers.types.shouldBeInstanceOf
import kotlinx.coroutines.withTimeout
import kotlin.time.Duration.Companion.seconds

private const val STATUS_LINE = "HTTP/1.1 200 OK"
private const val LENGTH = "content-length: 5"

/** A response to the request `own` with a body of five bytes, unless [length] says otherwise. */
private fun response(
    statusLine: String = STATUS_LINE,
    field: String = "x-note: value",
    id: String = "own",
    length: String = LENGTH,
): String = "$statusLine\r\n$field\r\nx-id: $id\r\n$length\r\n\r\nhello"

/** Statuses that are no three-digit number from 100 to 599 (RFC 9110, section 15). */
private val INVALID_STATUSES =
    listOf("000", "099", "600", "999", "0", "20", "1000", "2000", "+200", "-20", "+20", "0200", "020", "2x0", "0x20")

/** Lines of a head or a trailer that are no field (RFC 9112, section 5). */
private val INVALID_FIELDS =
    mapOf(
        "a blank before a colon" to "x-note : value",
        "a tab before a colon" to "x-note\t: value",
        "a blank in a name" to "x note: value",
        "a tab in a name" to "x\tnote: value",
        "a blank before the first name" to " x-note: value",
        "a line without a colon" to "note",
        "words without a colon" to "x note",
        "a status line" to "HTTP/1.1 500 No",
        "no name" to ": value",
        "a zero byte in a name" to "x-no\u0000te: value",
        "a control byte in a name" to "x-no\u0001te: value",
        "DEL in a name" to "x-no\u007fte: value",
        "obs-text in a name" to "x-n\u00f6te: value",
        "a delimiter in a name" to "x(note): value",
        "a zero byte in a value" to "x-note: va\u0000lue",
        "a control byte in a value" to "x-note: va\u0001lue",
        "a carriage return in a value" to "x-note: va\rlue",
    )

private const val CHUNKS = "$STATUS_LINE\r\nx-id: own\r\ntransfer-encoding: chunked\r\n\r\n5\r\nhello\r\n"

/** Transfer codings with which the body is not what its server means once the chunks are taken away. */
private val FOREIGN_CODINGS =
    listOf("gzip", "gzip, chunked", "identity", "xchunked", "\"chunked\"", "chunked;q=1", "chunked, chunked")

private val MALFORMED_HEADS: Map<String, String> =
    INVALID_STATUSES.associate { "the status $it" to response("HTTP/1.1 $it Unknown") } +
        INVALID_FIELDS.map { (what, field) -> what to response(field = field) } +
        FOREIGN_CODINGS.associate { "the transfer coding $it" to response(length = "transfer-encoding: $it") } +
        mapOf(
            "the version 2.0" to response("HTTP/2.0 200 OK"),
            "the version 0.9" to response("HTTP/0.9 200 OK"),
            "the status 101" to response("HTTP/1.1 101 Switching Protocols"),
            "the status 101 and a protocol" to response("HTTP/1.1 101 Switching Protocols", "upgrade: websocket"),
            "the status 101 and HTTP/1.1" to response("HTTP/1.1 101 Switching Protocols", "upgrade: HTTP/1.1"),
            "a blank after the name of its length" to response(length = "content-length : 5"),
            "a blank in the name of its length" to response(length = "content length: 5"),
        )

/** Responses that are rare but sound, and what the client makes of them. */
private val SOUND: Map<String, Pair<String, String>> =
    mapOf(
        "the lowest final status" to (response("HTTP/1.1 200 OK") to "200 hello"),
        "an unknown success" to (response("HTTP/1.1 299 Unusual") to "299 hello"),
        "an unknown error" to (response("HTTP/1.1 499 Unusual") to "499 hello"),
        "the highest status" to (response("HTTP/1.1 599 Unusual") to "599 hello"),
        "an empty reason" to (response("HTTP/1.1 200 ") to "200 hello"),
        "no reason" to (response("HTTP/1.1 200") to "200 hello"),
        "obs-text in its reason" to (response("HTTP/1.1 200 d\u00e9j\u00e0") to "200 hello"),
        "a number as its reason" to (response("HTTP/1.1 200 000") to "200 hello"),
        "an unknown interim response before it" to ("HTTP/1.1 199 Unusual\r\n\r\n${response()}" to "200 hello"),
        "an interim response without a reason before it" to ("HTTP/1.1 100\r\n\r\n${response()}" to "200 hello"),
        "the version 1.0" to (response("HTTP/1.0 200 OK") to "200 hello"),
        "a later minor version" to (response("HTTP/1.2 200 OK") to "200 hello"),
        "all characters that a field name may have" to (response(field = "!#$%&'*+-.^_`|~09azAZ: v") to "200 hello"),
        "obs-text in a value" to (response(field = "x-note: d\u00e9j\u00e0") to "200 hello"),
        "an empty value" to (response(field = "x-note:") to "200 hello"),
        "tabs around and in a value" to (response(field = "x-note:\tone\ttwo\t") to "200 hello"),
        "a colon in a value" to (response(field = "x-note: one : two") to "200 hello"),
        "a folded value" to (response(field = "x-note: one\r\n two : three") to "200 hello"),
        "a body that ends with the connection" to (response(length = "connection: close") to "200 hello"),
        "chunks in other letters" to
            ("$STATUS_LINE\r\nx-id: own\r\nTransfer-Encoding: , Chunked\r\n\r\n5\r\nhello\r\n0\r\n\r\n" to "200 hello"),
        "a trailer" to
            (
                "$STATUS_LINE\r\nx-id: own\r\ntransfer-encoding: chunked\r\n\r\n" +
                    "5;ext=1\r\nhello\r\n0\r\n!x|~: d\u00e9j\u00e0 : v\r\n\r\n" to "200 hello"
            ),
    )

/** Answers each request with its id, and the request `own` with [bytes], which it sends in segments of [size]. */
private fun serverOf(
    bytes: String,
    size: Int,
    isClosing: Boolean = false,
): RawServer =
    RawServer { socket ->
        while (true) {
            val id = requestId(socket.readMessage().ifEmpty { return@RawServer })
            if (id != "own") socket.send(rawResponse("200 OK", id, "x-id: $id"))
            if (id == "own") bytes.chunked(size).forEach { socket.send(it) }
            if (id == "own" && isClosing) return@RawServer
        }
    }

/** Sends the request `own` to a server that answers it with [bytes], alone or after another one on its connection. */
private suspend fun EventLoops.forEachExchange(
    bytes: String,
    check: suspend (ExchangeResult) -> Unit,
) {
    for (size in listOf(bytes.length, 1)) {
        for (isKept in listOf(false, true)) {
            serverOf(bytes, size).use { server ->
                val client = HttpClient(this)
                if (isKept) client.receive(server.address, "first") shouldBe "200 first"
                val spec =
                    HttpRequestSpec(server.address, "GET", "/", listOf("x-id" to "own"), echoedHeader = "x-id" to "own")
                withClue("segments of $size, kept=$isKept") {
                    check(withTimeout(2.seconds) { client.exchange(spec) })
                    client.receive(server.address, "next") shouldBe "200 next"
                    server.accepted.get() shouldBe 2
                }
            }
        }
    }
}

class MalformedResponseTest :
    FunSpec({
        timeout = 60_000
        val loops = EventLoops(2)
        afterSpec { loops.close() }

        for ((what, bytes) in MALFORMED_HEADS) {
            // Guards against a response that is none by HTTP and reaches a caller, or holds its connection.
            test("a response with $what is lost, and its connection is not used again") {
                loops.forEachExchange(bytes) { it.shouldBeInstanceOf<ExchangeResult.Lost>() }
            }

            // Guards against an interim or late response that can't be read and after which the next one is delivered.
            test("no response is taken after one with $what") {
                val late = bytes.replace("x-id: own", "x-id: first")
                loops.forEachExchange(late + response()) { it.shouldBeInstanceOf<ExchangeResult.Lost>() }
            }
        }

        for ((what, field) in INVALID_FIELDS) {
            test("no response is taken after an interim one with $what") {
                val interim = "HTTP/1.1 103 Early Hints\r\n$field\r\n\r\n"
                loops.forEachExchange(interim + response()) { it.shouldBeInstanceOf<ExchangeResult.Lost>() }
            }

            // Guards against a body that counts as whole although the lines at its end can't be read.
            test("a body with $what in its trailer is broken") {
                loops.forEachExchange("${CHUNKS}0\r\n$field\r\n\r\n") {
                    it.shouldBeInstanceOf<ExchangeResult.Answered>().response.readText() shouldBe null
                }
            }
        }

        for ((what, case) in SOUND) {
            // Guards against a check that refuses what HTTP allows.
            test("a response with $what arrives") {
                for (size in listOf(case.first.length, 1)) {
                    serverOf(case.first, size, isClosing = true).use { server ->
                        HttpClient(loops).receive(server.address, "own") shouldBe case.second
                    }
                }
            }
        }
    })
