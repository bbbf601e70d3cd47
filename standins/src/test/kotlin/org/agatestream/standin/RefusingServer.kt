package org.agatestream.standin

import java.io.InputStream
import java.net.InetAddress
import java.net.ServerSocket
import java.net.Socket
import java.util.concurrent.ConcurrentHashMap
import java.util.concurrent.atomic.AtomicInteger
import kotlin.concurrent.thread

/** How a [RefusingServer] responds to a request that it runs. */
internal enum class FaultyRefusal {
    /** The connection's last refusal once more, before the response. */
    COPY_BEFORE,

    /** The connection's last refusal once more, before the response and in many segments. */
    COPY_IN_SEGMENTS,

    /** The connection's last refusal once more, without the id. */
    COPY_WITHOUT_ID,

    /** The connection's last refusal once more, with a length of more than the response. */
    COPY_TOO_LONG,

    /** The connection's last refusal once more, in place of the response. */
    COPY_ONLY,

    /** A refusal with the id of the request within the stream. */
    WITHIN_STREAM,

    /** A refusal with the id of the request after the stream. */
    AFTER_STREAM,

    /** A signed response with a refusal's status, which does not say that the request did not run. */
    SIGNED_STATUS,

    /** An unsigned response with a refusal's status, which does not say that the request did not run. */
    UNSIGNED_STATUS,

    /** A signed stream whose head says that the request did not run. */
    SIGNED_AS_NOT_RUN,

    /** A refusal without the id, also where it is the connection's first response; it closes the connection. */
    WITHOUT_ID,

    ;

    /** True if the fault needs an earlier refusal on the connection. */
    val isCopy: Boolean get() = name.startsWith("COPY")
}

/**
 * A backend server that refuses every third request, and runs the others while it responds to them with [fault].
 *
 * It refuses with one of [statuses] after the other, and counts the runs by the id of the request.
 */
internal class RefusingServer(
    val id: String,
    private val fault: FaultyRefusal,
    private val statuses: List<String>,
) : AutoCloseable {
    private val listener = ServerSocket(0, 0, InetAddress.getLoopbackAddress())
    private val received = AtomicInteger()
    val address = "127.0.0.1:${listener.localPort}"
    val runs = ConcurrentHashMap<String, Int>()

    /** The number of requests that ran and were responded to with the fault. */
    val faults = AtomicInteger()

    init {
        thread(isDaemon = true) {
            while (true) {
                val socket = runCatching { listener.accept() }.getOrNull() ?: break
                socket.soTimeout = READ_TIMEOUT_MILLIS
                thread(isDaemon = true) { socket.use { runCatching { serve(it) } } }
            }
        }
    }

    override fun close() = listener.close()

    private fun serve(socket: Socket) {
        var last: Refusal? = null
        while (true) {
            val head = socket.getInputStream().readRequest() ?: return
            val request = headerOf(head, "x-agatestream-attempt-id")
            val number = received.getAndIncrement()
            val own = Refusal(request, statuses[number / REFUSED_EVERY % statuses.size])
            if (number % REFUSED_EVERY == 0) {
                last = own
                socket.send(own.text())
            } else {
                runs.merge(request, 1, Int::plus)
                val stream = stream(request, headerOf(head, "last-event-id").toIntOrNull() ?: -1)
                if (!socket.respondWithFault(own, last, stream)) return
            }
        }
    }

    /** Responds to a request that ran with [own] in place of or beside [stream]; returns whether the connection goes on. */
    private fun Socket.respondWithFault(
        own: Refusal,
        last: Refusal?,
        stream: String,
    ): Boolean {
        val copied = if (fault.isCopy) last else own
        if (copied == null) {
            send(stream)
            return true
        }
        faults.incrementAndGet()
        when (fault) {
            FaultyRefusal.COPY_BEFORE -> send(copied.text() + stream)
            FaultyRefusal.COPY_IN_SEGMENTS -> (copied.text() + stream).chunked(SEGMENT_CHARS).forEach { send(it) }
            FaultyRefusal.COPY_WITHOUT_ID -> send(copied.text(hasId = false) + stream)
            FaultyRefusal.COPY_TOO_LONG -> send(copied.text(length = TOO_LONG) + stream)
            FaultyRefusal.COPY_ONLY -> send(copied.text())
            FaultyRefusal.WITHIN_STREAM -> send(stream.replaceFirst("\n\n", "\n\n${own.text()}"))
            FaultyRefusal.AFTER_STREAM -> send(stream + own.text())
            FaultyRefusal.SIGNED_STATUS -> send(head(own.request, own.status, SIGNATURE) + EMPTY_BODY)
            FaultyRefusal.UNSIGNED_STATUS -> send(head(own.request, own.status) + EMPTY_BODY)
            FaultyRefusal.SIGNED_AS_NOT_RUN -> send(stream.replaceFirst(SIGNATURE, "$SIGNATURE\r\n$MARK"))
            FaultyRefusal.WITHOUT_ID -> send(own.text(hasId = false))
        }
        return fault != FaultyRefusal.COPY_ONLY && fault != FaultyRefusal.WITHOUT_ID
    }

    private class Refusal(
        val request: String,
        val status: String,
    ) {
        fun text(
            hasId: Boolean = true,
            length: Int = REFUSAL_BODY.length,
        ) = head(request.takeIf { hasId }, status, MARK) + "content-length: $length\r\n\r\n$REFUSAL_BODY"
    }

    private fun stream(
        request: String,
        after: Int,
    ): String {
        val body = (after + 1 until EVENTS).joinToString("") { "id: $it\ndata: $request-$it\n\n" }
        val type = "content-type: text/event-stream"
        return head(request, "200 OK", SIGNATURE, type) + "content-length: ${body.length}\r\n\r\n$body"
    }

    private fun Socket.send(text: String) {
        getOutputStream().write(text.encodeToByteArray())
        getOutputStream().flush()
    }

    private companion object {
        const val REFUSED_EVERY = 3
        const val EVENTS = 5
        const val EMPTY_BODY = "content-length: 0\r\n\r\n"
        const val REFUSAL_BODY = "full"
        const val TOO_LONG = 5_000
        const val SEGMENT_CHARS = 11
        const val READ_TIMEOUT_MILLIS = 20_000
        const val MARK = "x-agatestream-not-executed: 1"
        const val SIGNATURE = "x-agatestream-response-signature: signed"
    }
}

private fun head(
    request: String?,
    status: String,
    vararg headers: String,
): String =
    (listOfNotNull("HTTP/1.1 $status", request?.let { "x-agatestream-attempt-id: $it" }) + headers)
        .joinToString("") { "$it\r\n" }

private fun headerOf(
    head: String,
    name: String,
): String =
    head
        .lineSequence()
        .firstOrNull { it.startsWith("$name:", ignoreCase = true) }
        ?.substringAfter(":")
        ?.trim()
        .orEmpty()

/** Reads a request and returns its head; null at the end of the connection. */
private fun InputStream.readRequest(): String? {
    val head = StringBuilder()
    while (!head.endsWith("\r\n\r\n")) {
        val byte = read()
        if (byte < 0) return null
        head.append(byte.toChar())
    }
    readNBytes(headerOf(head.toString(), "content-length").toIntOrNull() ?: 0)
    return head.toString()
}
