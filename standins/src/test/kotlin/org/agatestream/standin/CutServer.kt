package org.agatestream.standin

import java.net.InetAddress
import java.net.InetSocketAddress
import java.net.ServerSocket
import java.net.Socket
import java.util.concurrent.ConcurrentHashMap
import java.util.concurrent.atomic.AtomicInteger
import kotlin.concurrent.thread

/** The head of a request that a [CutServer] has received. */
internal class CutRequest(
    private val head: String,
    /** The number of requests with this id before it, at all servers that share [CutRuns]. */
    val earlierRuns: Int,
) {
    val id: String get() = header("x-agatestream-attempt-id").orEmpty()

    /** The number of the first event to send. */
    val firstEvent: Int get() = (header("last-event-id")?.toInt() ?: -1) + 1

    fun header(name: String): String? =
        Regex("(?im)^$name: *(.*?)\r?$")
            .find(head)
            ?.groupValues
            ?.get(1)
}

/** Raw bytes that a [CutServer] sends in response to a request. */
internal class CutResponse(
    val bytes: String,
    val end: ConnectionEnd,
    /** True to respond before the body of the request is read; only for responses that end the connection. */
    val isEarly: Boolean = false,
)

/** What a [CutServer] does with a connection after a response. */
internal enum class ConnectionEnd {
    KEEP,
    CLOSE,
    RESET,
}

/** Counts the runs of each request at several servers. */
internal class CutRuns {
    private val counts = ConcurrentHashMap<String, AtomicInteger>()

    /** Returns the number of earlier runs of [id] and counts this one. */
    fun next(id: String): Int = counts.computeIfAbsent(id) { AtomicInteger() }.getAndIncrement()

    fun of(id: String): Int = counts[id]?.get() ?: 0
}

/** A backend server that answers with the bytes that [script] selects and ends its connections as it says. */
internal class CutServer(
    private val runs: CutRuns,
    private val script: (CutRequest) -> CutResponse,
) : AutoCloseable {
    private val listener = ServerSocket()
    val address: String

    init {
        // Bounds what a client can write of a body that is not read.
        listener.receiveBufferSize = RECEIVE_BUFFER_BYTES
        listener.bind(InetSocketAddress(InetAddress.getLoopbackAddress(), 0))
        address = "127.0.0.1:${listener.localPort}"
        thread(isDaemon = true) {
            while (true) {
                val socket = runCatching { listener.accept() }.getOrNull() ?: break
                thread(isDaemon = true) { socket.use { runCatching { serve(it) } } }
            }
        }
    }

    private fun serve(socket: Socket) {
        socket.tcpNoDelay = true
        while (true) {
            val head = socket.readRequestHead() ?: return
            val id = CutRequest(head, 0).id
            val response = script(CutRequest(head, runs.next(id)))
            if (!response.isEarly) socket.skipBody(head)
            socket.getOutputStream().write(response.bytes.encodeToByteArray())
            if (response.end == ConnectionEnd.RESET) {
                // Lets the client read the bytes, as a reset discards those that it has not read.
                Thread.sleep(RESET_DELAY_MILLIS)
                socket.setSoLinger(true, 0)
            }
            if (response.end != ConnectionEnd.KEEP) return
        }
    }

    /** Reads the head of a request; returns null if the client has closed the connection. */
    private fun Socket.readRequestHead(): String? {
        val head = StringBuilder()
        while (!head.endsWith("\r\n\r\n")) {
            val byte = getInputStream().read()
            if (byte < 0) return null
            head.append(byte.toChar())
        }
        return head.toString()
    }

    private fun Socket.skipBody(head: String) {
        val length = Regex("(?i)content-length: *(\\d+)").find(head)?.groupValues?.get(1)
        getInputStream().skipNBytes(length?.toLong() ?: 0)
    }

    override fun close() = listener.close()

    private companion object {
        const val RESET_DELAY_MILLIS = 5L
        const val RECEIVE_BUFFER_BYTES = 65_536
    }
}
