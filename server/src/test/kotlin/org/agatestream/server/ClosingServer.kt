package org.agatestream.server

import java.net.ServerSocket
import java.net.Socket
import java.util.concurrent.atomic.AtomicInteger
import kotlin.concurrent.thread

/** Sends the next of [responses], of which the last repeats, to the request on each connection and closes it. */
internal class ClosingServer(
    private val responses: List<String>,
) : AutoCloseable {
    private val listener = ServerSocket(0)
    private val count = AtomicInteger()
    val address = "127.0.0.1:${listener.localPort}"

    /** The number of requests so far. */
    val requests: Int get() = count.get()

    init {
        thread(isDaemon = true) {
            while (true) {
                val socket = runCatching { listener.accept() }.getOrNull() ?: break
                runCatching { socket.use { serve(it) } }
            }
        }
    }

    private fun serve(socket: Socket) {
        socket.soTimeout = READ_TIMEOUT_MILLIS
        val head = StringBuilder()
        while (!head.endsWith("\r\n\r\n")) head.append(socket.getInputStream().read().toChar())
        val length = head.toString().substringAfter("content-length: ").substringBefore("\r\n")
        socket.getInputStream().readNBytes(length.toInt())
        val response = responses[count.getAndIncrement().coerceAtMost(responses.lastIndex)]
        socket.getOutputStream().write(response.encodeToByteArray())
    }

    override fun close() = listener.close()

    private companion object {
        const val READ_TIMEOUT_MILLIS = 2_000
    }
}
