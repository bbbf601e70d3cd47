package org.agatestream.server

import io.kotest.assertions.withClue
import io.kotest.core.spec.style.FunSpec
import io.kotest.matchers.shouldBe
import org.agatestream.core.BackendKind
import org.agatestream.core.BackendServerId
import org.agatestream.core.BackendServerSetting
import org.agatestream.core.FailureDomainId
import org.agatestream.core.FencingNumber
import org.agatestream.core.FleetView
import org.agatestream.core.ModelId
import org.agatestream.core.MonotonicTime
import org.agatestream.http.EventLoops
import org.agatestream.http.HttpClient
import kotlin.time.Duration.Companion.seconds

private const val WHOLE = "HTTP/1.1 200 OK\r\ncontent-length: 2\r\n\r\n{}"

private val LOST_RESPONSES =
    listOf(
        "HTTP/1.1 200 OK\r\n",
        "HTTP/1.1 200 OK\r\ncontent-length: 2\r\n",
        "HTTP/1.1 200 OK\r\ncontent-length: 2\r\n\r\n",
        "HTTP/1.1 200 OK\r\ncontent-length: 2\r\n\r\n{",
        "HTTP/1.1 200 OK\r\ntransfer-encoding: chunked\r\n\r\n",
        "HTTP/1.1 200 OK\r\ntransfer-encoding: chunked\r\n\r\n2\r\n{}\r\n",
        "HTTP/1.1 409 Conflict\r\ncontent-length: 2\r\n\r\n{",
        "HTTP/1.1 000 Unknown\r\ncontent-length: 2\r\n\r\n{}",
        "HTTP/1.1 0200 OK\r\ncontent-length: 2\r\n\r\n{}",
        "HTTP/1.1 200 OK\r\nx note: value\r\ncontent-length: 2\r\n\r\n{}",
        "HTTP/1.1 200 OK\r\ncontent-length : 2\r\n\r\n{}",
    )

class EngineOrdersTest :
    FunSpec({
        timeout = 20_000
        val loops = EventLoops(2)
        afterSpec { loops.close() }

        // Guards against an order that counts as carried out, or as refused, by a response that broke off or is malformed.
        test("an order whose response is lost is sent again after the backoff, and one with a whole response is not") {
            for (lost in LOST_RESPONSES) {
                ClosingServer(listOf(lost, WHOLE)).use { engine ->
                    val setting =
                        BackendServerSetting(
                            engine.address,
                            FailureDomainId("d"),
                            BackendKind.ENGINE,
                            listOf(ModelId("m")),
                        )
                    val fleet = FleetView(backendServers = mapOf(BackendServerId("e") to setting))
                    var now = MonotonicTime.now()
                    val context = EngineOrderContext({ _, _ -> true }, { fleet }, { FencingNumber(1) }, clock = { now })
                    val orders = EngineOrders(HttpClient(loops), context)
                    withClue(lost) {
                        orders.runOnce()
                        engine.requests shouldBe 1
                        repeat(2) {
                            now += 3.seconds
                            orders.runOnce()
                            engine.requests shouldBe 2
                        }
                    }
                }
            }
        }
    })
