package org.agatestream.http

import io.kotest.core.spec.style.FunSpec
import io.kotest.matchers.comparables.shouldBeGreaterThan
import io.kotest.matchers.comparables.shouldBeLessThan
import io.kotest.matchers.shouldBe
import io.kotest.matchers.string.shouldContain
import io.kotest.matchers.types.shouldBeInstanceOf
import org.agatestream.core.Outcome
import java.net.InetSocketAddress
import java.net.ServerSocket
import java.net.Socket
import kotlin.concurrent.thread
import kotlin.time.Duration.Companion.seconds
import kotlin.time.measureTimedValue

private val STALL_TIMEOUT = 1.seconds

// Four times as long as the stall timeout, in pieces that come well within it.
private const val PIECES = 40
private const val PIECE_INTERVAL_MILLIS = 100L
private const val PIECE = "0123456789"

// A server that reads 200 kB/s and holds little that it has not read, as one on a network with small windows.
private const val UPLOAD_BYTES = 400_000
private const val READ_BYTES = 20_000
private const val RECEIVE_BUFFER_BYTES = 16_384

private fun requestTo(
    address: String,
    body: ByteArray = ByteArray(0),
): HttpRequestSpec = HttpRequestSpec(address, "PUT", "/", body = body, stallTimeout = STALL_TIMEOUT)

/** A server that takes one connection and runs [script] on it. */
private class SlowServer(
    private val script: (Socket) -> Unit,
) : AutoCloseable {
    private val listener = ServerSocket()
    val address: String get() = "127.0.0.1:${listener.localPort}"

    init {
        listener.receiveBufferSize = RECEIVE_BUFFER_BYTES
        listener.bind(InetSocketAddress("127.0.0.1", 0))
        thread(isDaemon = true) { runCatching { listener.accept().use(script) } }
    }

    override fun close() = listener.close()
}

private fun Socket.readHead() {
    val head = StringBuilder()
    while (!head.endsWith("\r\n\r\n")) head.append(getInputStream().read().toChar())
}

private fun Socket.send(text: String) {
    getOutputStream().write(text.encodeToByteArray())
    getOutputStream().flush()
}

class StalledTransferTest :
    FunSpec({
        timeout = 60_000
        val loops = EventLoops(1)
        val client = HttpClient(loops)
        afterSpec { loops.close() }

        suspend fun send(
            body: ByteArray,
            script: (Socket) -> Unit,
        ): ExchangeResult = SlowServer(script).use { client.exchange(requestTo(it.address, body)) }

        // Guards against a sound transfer that is cut, and begun again, as its link is slow.
        test("a response whose bytes go on is read to its end, however long it takes") {
            val script: (Socket) -> Unit = { socket ->
                socket.readHead()
                socket.send("HTTP/1.1 200 OK\r\ncontent-length: ${PIECES * PIECE.length}\r\n\r\n")
                repeat(PIECES) {
                    Thread.sleep(PIECE_INTERVAL_MILLIS)
                    socket.send(PIECE)
                }
            }
            SlowServer(script).use { server ->
                val result = client.exchange(requestTo(server.address))
                val body = result.shouldBeInstanceOf<ExchangeResult.Answered>().response.readBody(UPLOAD_BYTES)
                body.shouldBeInstanceOf<Outcome.Ok<ByteArray>>().value.size shouldBe PIECES * PIECE.length
            }
        }

        // Guards against a reader that waits without end for a connection that has gone silent.
        test("a response that stops is broken after the stall timeout, with the bytes that came") {
            val script: (Socket) -> Unit = { socket ->
                socket.readHead()
                socket.send("HTTP/1.1 200 OK\r\ncontent-length: 1000\r\n\r\n$PIECE")
                socket.getInputStream().read()
            }
            SlowServer(script).use { server ->
                val result = client.exchange(requestTo(server.address)).shouldBeInstanceOf<ExchangeResult.Answered>()
                val (body, took) = measureTimedValue { result.response.readBody(UPLOAD_BYTES) }
                body.shouldBeInstanceOf<Outcome.Failed>().failure.message shouldContain "after 10 bytes"
                took shouldBeLessThan 3.seconds
            }
        }

        // Guards against an upload that is cut, and begun again, as the server reads slowly.
        test("a request that the server reads slowly is answered, however long it takes") {
            val (result, took) =
                measureTimedValue {
                    send(ByteArray(UPLOAD_BYTES)) { socket ->
                        socket.readHead()
                        repeat(UPLOAD_BYTES / READ_BYTES) {
                            Thread.sleep(PIECE_INTERVAL_MILLIS)
                            socket.getInputStream().readNBytes(READ_BYTES)
                        }
                        socket.send("HTTP/1.1 200 OK\r\ncontent-length: 0\r\n\r\n")
                    }
                }
            result.shouldBeInstanceOf<ExchangeResult.Answered>().response.status shouldBe 200
            took shouldBeGreaterThan STALL_TIMEOUT
        }

        test("a request that the server does not read is lost after the stall timeout") {
            val (result, took) =
                measureTimedValue {
                    send(ByteArray(UPLOAD_BYTES)) { socket ->
                        socket.readHead()
                        Thread.sleep(5_000)
                    }
                }
            result.shouldBeInstanceOf<ExchangeResult.Lost>()
            took shouldBeLessThan 3.seconds
        }

        test("a request that the server reads and does not answer is lost after the stall timeout") {
            val (result, took) =
                measureTimedValue {
                    send(ByteArray(0)) { socket ->
                        socket.readHead()
                        socket.getInputStream().read()
                    }
                }
            result.shouldBeInstanceOf<ExchangeResult.Lost>()
            took shouldBeLessThan 3.seconds
        }
    })
