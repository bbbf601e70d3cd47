package org.agatestream.server

import io.kotest.assertions.withClue
import io.kotest.core.spec.style.FunSpec
import io.kotest.matchers.shouldBe
import io.kotest.matchers.types.shouldBeInstanceOf
import kotlinx.coroutines.Job
import org.agatestream.core.BackendKind
import org.agatestream.core.BackendServerId
import org.agatestream.core.BackendServerSetting
import org.agatestream.core.FailureDomainId
import org.agatestream.core.RequestId
import org.agatestream.http.EventLoops
import org.agatestream.http.ExchangeResult
import org.agatestream.http.HttpClient
import org.agatestream.http.HttpRequestSpec

private const val STATUS_LINE = "HTTP/1.1 200 OK\r\n"

/** Responses before a close in order, and the body that counts as whole; null for none. */
private val RESPONSES =
    mapOf(
        "$STATUS_LINE\r\n" to null,
        "${STATUS_LINE}content-type: text/plain\r\n\r\n" to null,
        "${STATUS_LINE}content-length: 4\r\n\r\n" to null,
        "${STATUS_LINE}transfer-encoding: chunked\r\n\r\n" to null,
        "${STATUS_LINE}content-length: 0\r\n\r\n" to "",
        "${STATUS_LINE}transfer-encoding: chunked\r\n\r\n0\r\n\r\n" to "",
        "${STATUS_LINE}\r\nbody" to "body",
        "HTTP/1.1 204 No Content\r\n\r\n" to "",
        "HTTP/1.1 404 Not Found\r\n\r\n" to "",
    )

private class NoLease(
    address: String,
) : SlotLease {
    override val server = BackendServerId("s")
    override val setting = BackendServerSetting(address, FailureDomainId("d"), BackendKind.SERVICE)
    override val revoked = Job()

    override fun release(result: SlotResult) {}
}

class BufferedResponseTest :
    FunSpec({
        timeout = 20_000
        val loops = EventLoops(2)
        afterSpec { loops.close() }

        // Guards against a server that stops after the head of its answer, which counts as whole and empty.
        test("a success without a byte is whole only if its head says where it ends") {
            for ((response, expected) in RESPONSES) {
                ClosingServer(listOf(response)).use { server ->
                    val result = HttpClient(loops).exchange(HttpRequestSpec(server.address, "GET", "/"))
                    val answered = result.shouldBeInstanceOf<ExchangeResult.Answered>().response
                    val exchange = BackendExchange(RequestId("r"), NoLease(server.address), answered)
                    withClue(response) { exchange.readBufferedResponse()?.body?.decodeToString() shouldBe expected }
                }
            }
        }
    })
