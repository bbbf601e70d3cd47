package org.agatestream.http

import java.io.ByteArrayOutputStream
import java.net.InetSocketAddress
import java.net.Socket

/** A plain socket that speaks HTTP byte by byte. */
class RawSocket(
    val socket: Socket,
) : AutoCloseable {
    init {
        socket.soTimeout = READ_TIMEOUT_MILLIS
        socket.tcpNoDelay = true
    }

    fun send(text: String) {
        socket.getOutputStream().write(text.encodeToByteArray())
        socket.getOutputStream().flush()
    }

    /** Closes the connection by a reset. */
    fun reset() {
        socket.setSoLinger(true, 0)
        socket.close()
    }

    /** Reads a head up to its blank line; empty if the peer closed. */
    fun readHead(): String {
        val out = ByteArrayOutputStream()
        while (!out.toString().endsWith("\r\n\r\n")) {
            val byte = socket.getInputStream().read()
            if (byte < 0) break
            out.write(byte)
        }
        return out.toString()
    }

    fun readBytes(count: Int): String = socket.getInputStream().readNBytes(count).decodeToString()

    /** Reads a message whose head has a content length. */
    fun readMessage(): String {
        val head = readHead()
        val length =
            Regex("(?i)content-length: (\\d+)")
                .find(head)
                ?.groupValues
                ?.get(1)
                ?.toInt() ?: 0
        return head + readBytes(length)
    }

    /** Reads up to the end of the connection. */
    fun readAll(): String = socket.getInputStream().readAllBytes().decodeToString()

    override fun close() = socket.close()

    companion object {
        private const val READ_TIMEOUT_MILLIS = 5_000

        fun connect(port: Int): RawSocket {
            val socket = Socket()
            socket.receiveBufferSize = 16_384
            socket.connect(InetSocketAddress("127.0.0.1", port))
            return RawSocket(socket)
        }
    }
}
