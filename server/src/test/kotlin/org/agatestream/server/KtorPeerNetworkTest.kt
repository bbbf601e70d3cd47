package org.agatestream.server

import io.kotest.assertions.nondeterministic.eventually
import io.kotest.core.spec.style.FunSpec
import io.kotest.matchers.comparables.shouldBeGreaterThan
import io.kotest.matchers.shouldBe
import io.kotest.matchers.types.shouldBeInstanceOf
import kotlinx.coroutines.CompletableDeferred
import kotlinx.coroutines.Dispatchers
import kotlinx.coroutines.async
import kotlinx.coroutines.awaitAll
import kotlinx.coroutines.coroutineScope
import kotlinx.coroutines.launch
import kotlinx.coroutines.withContext
import org.agatestream.core.FailureDomainId
import org.agatestream.core.ListedVm
import org.agatestream.core.RunOutcome
import org.agatestream.core.VmId
import java.io.EOFException
import java.net.Socket
import kotlin.time.Duration.Companion.milliseconds
import kotlin.time.Duration.Companion.seconds

private val probe = CoordinationRequest.Probe(VmId("x"))

class KtorPeerNetworkTest :
    FunSpec({
        test("two VMs send requests to each other over one connection") {
            withPair { a, b ->
                a.call(b.self, probe, 5.seconds) shouldBe CoordinationResponse.Probed(true)
                b.call(a.self, probe, 5.seconds) shouldBe CoordinationResponse.Probed(true)
                a.connectionCount shouldBe 1
                b.connectionCount shouldBe 1
            }
        }

        test("a VM with another secret gets and gives no answer") {
            withPair(secret = "another secret".encodeToByteArray()) { a, b ->
                a.call(b.self, probe, 1.seconds) shouldBe null
                b.call(a.self, probe, 1.seconds) shouldBe null
                a.connectionCount + b.connectionCount shouldBe 0
            }
        }

        test("an answer after the timeout does not reach another request") {
            val release = CompletableDeferred<Unit>()
            withPair { a, b ->
                b.addHandler { _, request ->
                    if (request == CoordinationRequest.FetchVms) release.await()
                    CoordinationResponse.FetchedVms(emptyList())
                }
                a.call(b.self, CoordinationRequest.FetchVms, 100.milliseconds) shouldBe null
                release.complete(Unit)
                a.call(b.self, probe, 5.seconds) shouldBe CoordinationResponse.Probed(true)
            }
        }

        // Guards against waits for a coordinator whose process ended and whose address its successor holds.
        test("a process is known to have ended once another one proves its id at its address") {
            withPair { a, b ->
                val ended = VmId("b-before")
                a.updateAddresses(listOf(ListedVm(ended, FailureDomainId("d"), "", "127.0.0.1:${b.port}")))
                a.isReplaced(ended) shouldBe false
                a.call(ended, probe, 5.seconds) shouldBe null
                a.isReplaced(ended) shouldBe true
                a.isReplaced(b.self) shouldBe false
            }
        }

        test("an oversized or malformed first frame closes the connection") {
            withPair { a, b ->
                for (bytes in listOf(byteArrayOf(0x7f, 0, 0, 0), byteArrayOf(0, 0, 0, 2, 1, 1))) {
                    Socket("127.0.0.1", b.port).use { socket ->
                        socket.soTimeout = 5_000
                        socket.getOutputStream().write(bytes)
                        runCatching { while (socket.getInputStream().read() >= 0) Unit }
                            .exceptionOrNull()
                            ?.let { (it is EOFException || it.message?.contains("reset") == true) shouldBe true }
                    }
                }
                a.call(b.self, probe, 5.seconds) shouldBe CoordinationResponse.Probed(true)
            }
        }

        test("a VM is reached while several hundred others are still in their handshakes with it") {
            withPair { a, b ->
                val sockets = List(400) { Socket("127.0.0.1", b.port) }
                try {
                    a.call(b.self, probe, 1.seconds) shouldBe CoordinationResponse.Probed(true)
                } finally {
                    sockets.forEach { it.close() }
                }
            }
        }

        test("a restarted VM is connected to again") {
            val restarted = KtorPeerNetwork(VmId("b"), testSecret)
            withPair { a, b ->
                a.call(b.self, probe, 5.seconds) shouldBe CoordinationResponse.Probed(true)
                b.close()
                eventually(5.seconds) { a.connectionCount shouldBe 0 }
                restarted.addHandler { _, _ -> CoordinationResponse.Probed(false) }
                // Closing a listener frees its port a moment later; a restarted VM's process has ended by then.
                eventually(5.seconds) { restarted.listen("127.0.0.1", b.port) }
                eventually(10.seconds) { a.call(b.self, probe, 1.seconds) shouldBe CoordinationResponse.Probed(false) }
            }
            restarted.close()
        }

        test("messages queued at the same time share a frame") {
            withPair { a, b ->
                coroutineScope {
                    List(500) { async { a.call(b.self, probe, 5.seconds) } }.awaitAll().forEach {
                        it.shouldBeInstanceOf<CoordinationResponse.Probed>()
                    }
                }
                a.traffic.sentMessages.sum() shouldBe 500
                500L shouldBeGreaterThan a.traffic.sentFrames.sum()
            }
        }

        test("requests over one connection are handled in the order in which they were sent") {
            val seen = ArrayList<Long>()
            val sender = Dispatchers.Default.limitedParallelism(1)
            val receiver = Dispatchers.Default.limitedParallelism(1)
            withPair { a, b ->
                b.addHandler { _, request ->
                    withContext(receiver) { Acknowledged.also { seen += (request as ReleaseSlotRequest).number } }
                }
                a.call(b.self, probe, 5.seconds) shouldBe CoordinationResponse.Probed(true)
                withContext(sender) {
                    for (number in 1L..200L) {
                        launch { a.call(b.self, ReleaseSlotRequest(number, RunOutcome.STOPPED, null), 5.seconds) }
                    }
                }
                seen shouldBe (1L..200L).toList()
            }
        }
    })

private val KtorPeerNetwork.port: Int get() = ports.getValue(this)
private val ports = HashMap<KtorPeerNetwork, Int>()

private suspend fun withPair(
    secret: ByteArray = testSecret,
    block: suspend (KtorPeerNetwork, KtorPeerNetwork) -> Unit,
) {
    val networks = listOf(KtorPeerNetwork(VmId("a"), testSecret), KtorPeerNetwork(VmId("b"), secret))
    networks.forEach { network ->
        network.addHandler { _, request -> if (request == probe) CoordinationResponse.Probed(true) else null }
        ports[network] = network.listen("127.0.0.1", 0)
    }
    val vms =
        networks.map {
            ListedVm(it.self, FailureDomainId("d"), "127.0.0.1:${it.port}", "127.0.0.1:${it.port}")
        }
    networks.forEach { it.updateAddresses(vms) }
    try {
        block(networks[0], networks[1])
    } finally {
        networks.forEach { it.close() }
    }
}
