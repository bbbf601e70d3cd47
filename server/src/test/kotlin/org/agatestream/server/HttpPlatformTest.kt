package org.agatestream.server

import io.kotest.assertions.withClue
import io.kotest.core.spec.style.FunSpec
import io.kotest.matchers.shouldBe
import org.agatestream.core.CommitResult
import org.agatestream.core.ReadResult
import org.agatestream.core.Transaction
import org.agatestream.core.VmId
import org.agatestream.http.EventLoops
import org.agatestream.http.HttpClient

private const val ROWS = """[{"key":"k","value":"1","version":1}]"""

/** Status lines, without the version, and fields that HTTP does not allow. */
private val MALFORMED_HEADS =
    listOf("000 Unknown", "0200 OK", "200 OK\r\nx note: value", "200 OK\r\nx-note : value", "404 No\r\nx note")

/** Framings of a body that ends after the given one. */
private val FRAMINGS: Map<String, (String) -> String> =
    mapOf(
        "that ends with the connection" to { body -> "\r\n$body" },
        "with a length" to { body -> "content-length: ${body.length}\r\n\r\n$body" },
    )

class HttpPlatformTest :
    FunSpec({
        timeout = 20_000
        val loops = EventLoops(2)
        afterSpec { loops.close() }

        suspend fun <T> answering(
            response: String,
            call: suspend (HttpPlatform) -> T,
        ): T =
            ClosingServer(listOf("HTTP/1.1 $response")).use {
                call(HttpPlatform(HttpClient(loops), it.address, VmId("v")))
            }

        for ((what, framing) in FRAMINGS) {
            // Guards against a loop that ends by an exception because the platform's response broke off.
            test("a response $what that breaks off says nothing about the platform") {
                for (cut in ROWS.indices) {
                    withClue("after $cut bytes") {
                        val found = "200 OK\r\n${framing(ROWS.take(cut))}"
                        answering(found) { it.scan("k") } shouldBe ReadResult.Unavailable
                        answering(found) { it.read("k") } shouldBe ReadResult.Unavailable
                        answering(found) { it.list() } shouldBe ReadResult.Unavailable
                        val conflict = "409 Conflict\r\n${framing(ROWS.take(cut))}"
                        val transaction = Transaction(emptyList(), emptyList())
                        answering(conflict) { it.commit(transaction) } shouldBe CommitResult.Unknown
                    }
                }
            }
        }

        // Guards against rows, objects or VMs that are taken from a response that is none by HTTP.
        test("a malformed response says nothing about the platform") {
            for (head in MALFORMED_HEADS) {
                val response = "$head\r\ncontent-length: ${ROWS.length}\r\n\r\n$ROWS"
                withClue(head) {
                    answering(response) { it.scan("k") } shouldBe ReadResult.Unavailable
                    answering(response) { it.get("o") } shouldBe ReadResult.Unavailable
                    answering(response) { it.list() } shouldBe ReadResult.Unavailable
                    answering(response) { it.put("o", ByteArray(1)) } shouldBe false
                    answering(response) { it.commit(Transaction(emptyList(), emptyList())) } shouldBe
                        CommitResult.Unknown
                }
            }
        }

        // Guards against an input of a batch job that is taken for whole where the platform broke off.
        test("an object whose response does not say where it ends is not read") {
            answering("200 OK\r\n\r\ninp") { it.get("o") } shouldBe ReadResult.Unavailable
        }
    })
