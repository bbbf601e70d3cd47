package org.agatestream.http

import io.kotest.assertions.withClue
import io.kotest.core.spec.style.FunSpec
import io.kotest.matchers.collections.shouldBeIn
import io.kotest.matchers.shouldBe
import io.kotest.matchers.types.shouldBeInstanceOf
import kotlinx.coroutines.withTimeout
import kotlin.time.Duration.Companion.seconds

private const val OWN_HEAD = "HTTP/1.1 200 OK\r\nx-id: own\r\n"
private const val OWN_TEXT = "body of 20 characters"
private const val INTERIM = "HTTP/1.1 103 Early Hints\r\nlink: x\r\n\r\n"

/** Responses that say where they end. */
private val DELIMITED =
    mapOf(
        "with a length" to "${OWN_HEAD}content-length: 21\r\nx-last: value\r\n\r\n$OWN_TEXT",
        "with its length first" to "HTTP/1.1 200 OK\r\nContent-Length:21\r\nx-id: own\r\n\r\n$OWN_TEXT",
        "with a length that begins with zeros" to "${OWN_HEAD}content-length: 00021\r\n\r\n$OWN_TEXT",
        "in chunks" to "${OWN_HEAD}transfer-encoding: chunked\r\n\r\n8\r\nbody of \r\nd\r\n20 characters\r\n0\r\n\r\n",
        "in chunks with a trailer" to
            "${OWN_HEAD}transfer-encoding: chunked\r\n\r\n15\r\n$OWN_TEXT\r\n0\r\nx-sum: 1\r\n\r\n",
        "without a body" to "${OWN_HEAD}content-length: 0\r\n\r\n",
        "after an interim response" to "$INTERIM${OWN_HEAD}content-length: 21\r\n\r\n$OWN_TEXT",
    )

private const val CLOSE_DELIMITED = "$OWN_HEAD\r\n$OWN_TEXT"

/** Returns the length of the heads of this response, an interim one included. */
private fun String.headLength(): Int {
    val start = if (startsWith(INTERIM)) INTERIM.length else 0
    return indexOf("\r\n\r\n", start) + "\r\n\r\n".length
}

/** Responses that may follow one that breaks off. */
private val FOLLOWING =
    mapOf(
        "of another request" to rawResponse("200 OK", "foreign", "x-id: other"),
        "of another request that failed" to rawResponse("500 Internal Server Error", "foreign", "x-id: other"),
        "without an id" to rawResponse("200 OK", "foreign"),
        "without an end" to "HTTP/1.1 200 OK\r\nx-id: other\r\n\r\nforeign",
    )

private const val RESET_DELAY_MILLIS = 2L

/** Ways in which a server ends a connection. */
private enum class End {
    CLOSE,
    RESET,
}

/** Answers the first request on each connection if [isKept], then sends [bytes] in response to the next and ends. */
private fun cutServer(
    bytes: String,
    end: End,
    isKept: Boolean,
): RawServer =
    RawServer { socket ->
        if (isKept) socket.send(rawResponse("200 OK", "first", "x-id: ${requestId(socket.readMessage())}"))
        socket.readMessage()
        socket.send(bytes)
        if (end == End.RESET) {
            // Lets the client read the bytes, as a reset discards those that it has not read.
            Thread.sleep(RESET_DELAY_MILLIS)
            socket.reset()
        }
    }

/** Sends a request whose response is [bytes], with the connection ended after them; returns status and body. */
private suspend fun receiveCut(
    loops: EventLoops,
    bytes: String,
    end: End,
    isKept: Boolean,
): String? =
    cutServer(bytes, end, isKept).use { server ->
        val client = HttpClient(loops)
        if (isKept) client.receive(server.address, "first") shouldBe "200 first"
        client.receive(server.address, "own").also { server.accepted.get() shouldBe 1 }
    }

class CutResponseTest :
    FunSpec({
        timeout = 60_000
        val loops = EventLoops(2)
        afterSpec { loops.close() }

        for ((what, whole) in DELIMITED) {
            val text = if (what == "without a body") "200 " else "200 $OWN_TEXT"

            // Guards against a response that is cut, in its head too, and counts as a whole one with a short body.
            test("a response $what that is cut after any byte is no whole response") {
                for (end in End.entries) {
                    for (isKept in listOf(false, true)) {
                        for (cut in 0 until whole.length) {
                            withClue("$end after $cut bytes, kept=$isKept") {
                                receiveCut(loops, whole.take(cut), end, isKept) shouldBe null
                            }
                        }
                        receiveCut(loops, whole, End.CLOSE, isKept) shouldBe text
                    }
                }
            }
        }

        // Guards against a refusal as not run, or any status, that is taken from a head that broke off.
        test("a response whose head is cut does not arrive") {
            val refusal = "HTTP/1.1 503 Busy\r\nx-id: own\r\nx-not-executed: 1\r\ncontent-length: 0\r\n\r\n"
            val bodyless = "HTTP/1.1 204 No Content\r\nx-id: own\r\n\r\n"
            for (whole in DELIMITED.values + listOf(refusal, bodyless, CLOSE_DELIMITED)) {
                for (cut in 0 until whole.headLength()) {
                    for (end in End.entries) {
                        cutServer(whole.take(cut), end, isKept = false).use { server ->
                            val spec = HttpRequestSpec(server.address, "GET", "/", echoedHeader = "x-id" to "own")
                            val result = withTimeout(3.seconds) { HttpClient(loops).exchange(spec) }
                            withClue("$end after $cut bytes of $whole") {
                                result.shouldBeInstanceOf<ExchangeResult.Lost>()
                            }
                        }
                    }
                }
            }
        }

        // The head must be whole; a body that ends with its connection can't be told from a shorter one.
        test("a response delimited by the close counts only with its whole head, and not if the connection is reset") {
            val headLength = CLOSE_DELIMITED.length - OWN_TEXT.length
            for (isKept in listOf(false, true)) {
                for (cut in 0..CLOSE_DELIMITED.length) {
                    withClue("after $cut bytes, kept=$isKept") {
                        val part = CLOSE_DELIMITED.take(cut)
                        receiveCut(loops, part, End.RESET, isKept) shouldBe null
                        val expected = if (cut < headLength) null else "200 ${part.drop(headLength)}"
                        receiveCut(loops, part, End.CLOSE, isKept) shouldBe expected
                    }
                }
            }
        }

        for ((what, following) in FOLLOWING) {
            // Guards against the id of one response with the end of the head, and the body, of another.
            test("a response whose head breaks off is not continued by one $what") {
                for (whole in DELIMITED.values) {
                    for (cut in 1 until whole.substringBefore(OWN_TEXT).lastIndexOf("\r\n\r\n") + 2) {
                        withClue("after $cut bytes of $whole") {
                            receiveCut(loops, whole.take(cut) + following, End.CLOSE, isKept = true) shouldBe null
                        }
                    }
                }
            }
        }

        test("a response whose head breaks off and that is sent once more is the whole one or none") {
            val whole = DELIMITED.getValue("with a length")
            for (cut in 1 until whole.indexOf("\r\n\r\n") + 2) {
                withClue("after $cut bytes") {
                    receiveCut(loops, whole.take(cut) + whole, End.CLOSE, isKept = true) shouldBeIn
                        listOf(null, "200 $OWN_TEXT")
                }
            }
        }
    })
