package org.agatestream.standin

import io.kotest.assertions.throwables.shouldThrow
import io.kotest.core.spec.style.FunSpec
import io.kotest.matchers.comparables.shouldBeGreaterThanOrEqualTo
import io.kotest.matchers.shouldBe
import io.netty.channel.MultiThreadIoEventLoopGroup
import io.netty.channel.nio.NioIoHandler
import org.agatestream.http.parseAddress
import java.net.InetAddress
import java.net.ServerSocket
import java.net.Socket
import java.net.SocketTimeoutException
import kotlin.concurrent.thread
import kotlin.time.Duration.Companion.milliseconds
import kotlin.time.measureTimedValue

class RelayTest :
    FunSpec({
        val group = MultiThreadIoEventLoopGroup(1, NioIoHandler.newFactory())
        val echo = ServerSocket(0, 1, InetAddress.getLoopbackAddress())
        var state = LinkState()
        val ports = mutableListOf<Pair<Int, Int>>()
        val relay =
            Relay(group, parseAddress("127.0.0.1:${echo.localPort}")) { from, to ->
                ports += from to to
                { state }
            }
        thread(isDaemon = true) {
            val peer = echo.accept()
            peer.getInputStream().copyTo(peer.getOutputStream())
        }
        val address = parseAddress(relay.address)
        val socket = Socket(address.address, address.port)
        afterSpec {
            listOf(socket, echo, relay).forEach { it.close() }
            group.shutdownGracefully()
        }

        fun send(byte: Int) = socket.getOutputStream().write(byte)

        fun receive(): Int = socket.getInputStream().read()

        // The first echo of a JVM loads classes, which may take longer than any delay of the tests.
        socket.soTimeout = 10_000
        send(0)
        receive() shouldBe 0
        socket.soTimeout = 300

        test("bytes are forwarded with the delay in each direction") {
            state = LinkState(delay = 20.milliseconds)
            send(1)
            val (byte, elapsed) = measureTimedValue { receive() }
            byte shouldBe 1
            elapsed shouldBeGreaterThanOrEqualTo 39.milliseconds
        }

        test("the process that owns a connection is found") {
            val self = ProcessHandle.current().pid()
            val (from, to) = ports.single()
            ConnectionOwner.find(from, to, listOf(1L, self)) shouldBe self
            ConnectionOwner.find(from, to, listOf(1L)) shouldBe null
        }

        test("a cut link queues bytes and delivers them once it is restored") {
            state = LinkState(cut = true)
            send(2)
            shouldThrow<SocketTimeoutException> { receive() }
            state = LinkState()
            receive() shouldBe 2
        }
    })
