package org.agatestream.standin

import kotlinx.coroutines.awaitCancellation
import kotlinx.coroutines.delay
import org.agatestream.core.MonotonicTime
import org.agatestream.http.BodyWriter
import java.util.concurrent.ConcurrentHashMap
import java.util.concurrent.CopyOnWriteArrayList
import java.util.concurrent.atomic.AtomicInteger
import java.util.concurrent.atomic.AtomicReference
import kotlin.concurrent.thread
import kotlin.time.Duration
import kotlin.time.Duration.Companion.milliseconds

/** A fault of one request at a [PlatformServerStandIn]. */
internal enum class PlatformServerFault {
    /** The stream stops after its first event, but comments go on until the caller closes. */
    STALL_WITH_COMMENTS,

    /** The stream's second event goes on until the caller closes. */
    ENDLESS_EVENT,

    /** The request is refused as not run, and the body of the refusal goes on until the caller closes. */
    ENDLESS_REFUSAL,

    /** The request is refused as not run. */
    REFUSAL,

    /** The request is refused as sent to the wrong server, by the addressed server itself. */
    MISDIRECTED,

    /** The request is refused as sent to the wrong server; the refusal names another server. */
    MISDIRECTED_ELSEWHERE,

    /** The request is refused as not run, with the id of another request. */
    FOREIGN_REFUSAL,

    /** The signed response says that the request can never succeed. */
    IMPOSSIBLE,

    /** The signed response says that the server failed. */
    FAILURE,

    /** The response is an empty success without the server's signature. */
    UNSIGNED_EMPTY,

    /** The response is a success without the server's signature; its stream has an event of no request. */
    UNSIGNED_EVENT,

    /** The response says without the server's signature that the request can never succeed. */
    UNSIGNED_IMPOSSIBLE,

    /** The stream has an event without a number before its second event. */
    UNNUMBERED_EVENT,

    /** The signed response ends without an event. */
    NO_EVENT,

    /** The stream's second event has a comment in the same bytes. */
    COMMENT_AFTER_EVENT,

    /** The stream's first event breaks off in its data, and another response goes on there. */
    MERGED_RESPONSE,

    /** Another response stands between two events. */
    RESPONSE_BETWEEN_EVENTS,

    /** The request is taken and never answered. */
    SILENCE,

    /** The connection is closed without an answer, and the server goes on. */
    RESET,
}

/** A test backend server of the users' platform that responds with a stream of events. */
internal class PlatformServerStandIn(
    val id: String,
    val events: Int = 5,
    private val interval: Duration = 5.milliseconds,
    /** The prompt part on which this server ends when it begins to answer; null for none. */
    private val deadlyPart: String? = null,
    /** The length in bytes to which the text of each event is filled up. */
    private val eventBytes: Int = 0,
) : AutoCloseable {
    private val server = StandInServer(::handle)

    /** The headers of every request that this server ran. */
    val requests: MutableList<List<Pair<String, String>>> = CopyOnWriteArrayList()

    private val receivedRequests = AtomicInteger()

    /** The number of requests that reached this server, whether or not it ran them. */
    val received: Int get() = receivedRequests.get()

    /** When each request, by its id, began to run. */
    val started: MutableMap<String, MonotonicTime> = ConcurrentHashMap()

    /** When the whole response to each request, by its id, was written. */
    val finished: MutableMap<String, MonotonicTime> = ConcurrentHashMap()

    /** The fault of the next request that this server receives; null for none. */
    val nextFault: AtomicReference<PlatformServerFault?> = AtomicReference()

    /** True to say in the head of every response that this server is leaving. */
    @Volatile
    var isLeaving: Boolean = false

    /** The requests per second that this server says, in the head of every response, that it takes; null for none. */
    @Volatile
    var requestLimit: Double? = null

    /** True to be leaving from the next resumed run on. */
    @Volatile
    var isLeavingWhenResumed: Boolean = false

    /** Listens on loopback and returns the port; 0 selects a free one. */
    fun listen(port: Int): Int = server.listen(port)

    override fun close(): Unit = server.close()

    private suspend fun handle(call: StandInCall) {
        receivedRequests.incrementAndGet()
        if (isLeavingWhenResumed && call.header("last-event-id") != null) isLeaving = true
        val expected = call.header("x-agatestream-expect-instance")
        val requestId = call.header("x-agatestream-attempt-id").orEmpty()
        if (expected != null && expected != id) {
            return call.httpCall.respond(
                STATUS_MISDIRECTED,
                "text/plain",
                ByteArray(0),
                headersOf("x-agatestream-instance-id" to id, "x-agatestream-attempt-id" to requestId),
            )
        }
        val fault = nextFault.getAndSet(null)
        when (fault) {
            PlatformServerFault.ENDLESS_REFUSAL -> {
                return refuseWithoutEnd(call)
            }

            PlatformServerFault.UNSIGNED_EMPTY -> {
                return respondUnsigned(call, STATUS_OK, "")
            }

            PlatformServerFault.UNSIGNED_EVENT -> {
                return respondUnsigned(call, STATUS_OK, STRAY_EVENT)
            }

            PlatformServerFault.UNSIGNED_IMPOSSIBLE -> {
                return respondUnsigned(call, STATUS_UNPROCESSABLE, "")
            }

            PlatformServerFault.RESET -> {
                call.dropConnection()
            }

            PlatformServerFault.REFUSAL -> {
                return refuse(call, STATUS_UNAVAILABLE, requestId)
            }

            PlatformServerFault.FOREIGN_REFUSAL -> {
                return refuse(call, STATUS_UNAVAILABLE, "of another request")
            }

            PlatformServerFault.MISDIRECTED -> {
                return refuse(call, STATUS_MISDIRECTED, requestId, named = id)
            }

            PlatformServerFault.MISDIRECTED_ELSEWHERE -> {
                return refuse(call, STATUS_MISDIRECTED, requestId, named = "another")
            }

            PlatformServerFault.IMPOSSIBLE -> {
                return respondSigned(call, STATUS_UNPROCESSABLE)
            }

            PlatformServerFault.FAILURE -> {
                return respondSigned(call, STATUS_FAILED)
            }

            else -> {}
        }
        requests += call.httpCall.headers()
        started[requestId] = MonotonicTime.now()
        if (fault == PlatformServerFault.SILENCE) awaitCancellation()
        if (deadlyPart != null && deadlyPart in call.header("x-agatestream-prompt-prefix").orEmpty()) end()
        val first = (call.header("last-event-id")?.toIntOrNull() ?: -1) + 1
        val headers = headersOf("x-agatestream-attempt-id" to requestId, "x-agatestream-response-signature" to "signed")
        val writer = call.httpCall.startStream(STATUS_OK, "text/event-stream", headers)
        if (fault == PlatformServerFault.NO_EVENT) return writer.finish()
        for (number in first until events) {
            if (number == first + 1) writer.writeFault(fault)
            val isCommented = fault == PlatformServerFault.COMMENT_AFTER_EVENT && number == first + 1
            val comment = if (isCommented) ": still here\n\n" else ""
            val text = "$requestId-$number".padEnd(eventBytes, '.')
            if (!writer.write("id: $number\ndata: $text\n\n$comment".encodeToByteArray())) return
            delay(interval)
        }
        writer.finish()
        finished[requestId] = MonotonicTime.now()
    }

    /** Ends the server with all its connections, as the end of its process does. */
    private suspend fun end(): Nothing {
        delay(interval)
        // Not on a thread of the server, which the end waits for.
        thread { close() }
        awaitCancellation()
    }

    private suspend fun refuseWithoutEnd(call: StandInCall) {
        val requestId = call.header("x-agatestream-attempt-id").orEmpty()
        val headers = headersOf("x-agatestream-attempt-id" to requestId, "x-agatestream-not-executed" to "1")
        call.httpCall.startStream(STATUS_UNAVAILABLE, "text/plain", headers).writeCommentsWithoutEnd()
    }

    private suspend fun respondUnsigned(
        call: StandInCall,
        status: Int,
        body: String,
    ) {
        val headers = headersOf("x-agatestream-attempt-id" to call.header("x-agatestream-attempt-id").orEmpty())
        call.httpCall.respond(status, "text/event-stream", body.encodeToByteArray(), headers)
    }

    private suspend fun respondSigned(
        call: StandInCall,
        status: Int,
    ) {
        val requestId = call.header("x-agatestream-attempt-id").orEmpty()
        val headers = headersOf("x-agatestream-attempt-id" to requestId, "x-agatestream-response-signature" to "signed")
        call.httpCall.respond(status, "text/plain", ByteArray(0), headers)
    }

    private suspend fun refuse(
        call: StandInCall,
        status: Int,
        requestId: String,
        named: String? = null,
    ) {
        val headers = headersOf("x-agatestream-attempt-id" to requestId, "x-agatestream-not-executed" to "1")
        val name = named?.let { mapOf("x-agatestream-instance-id" to it) }.orEmpty()
        call.httpCall.respond(status, "text/plain", ByteArray(0), headers + name)
    }

    private fun headersOf(vararg headers: Pair<String, String>): Map<String, String> =
        buildMap {
            putAll(headers)
            if (isLeaving) put("server-leaving", "1")
            requestLimit?.let { put("server-limit", it.toString()) }
        }

    private suspend fun BodyWriter.writeFault(fault: PlatformServerFault?) {
        when (fault) {
            PlatformServerFault.STALL_WITH_COMMENTS -> {
                writeCommentsWithoutEnd()
            }

            PlatformServerFault.ENDLESS_EVENT -> {
                writeEventWithoutEnd()
            }

            PlatformServerFault.UNNUMBERED_EVENT -> {
                write("data: of no request\n\n".encodeToByteArray())
            }

            PlatformServerFault.MERGED_RESPONSE -> {
                write("id: 1\ndata: of no requ$STRAY_RESPONSE".encodeToByteArray())
            }

            PlatformServerFault.RESPONSE_BETWEEN_EVENTS -> {
                write(STRAY_RESPONSE.encodeToByteArray())
            }

            else -> {}
        }
    }

    private suspend fun BodyWriter.writeCommentsWithoutEnd() {
        while (write(": waiting\n\n".encodeToByteArray())) delay(COMMENT_INTERVAL)
    }

    private suspend fun BodyWriter.writeEventWithoutEnd() {
        val part = ByteArray(EVENT_PART_BYTES) { 'x'.code.toByte() }
        while (write(part)) delay(EVENT_PART_INTERVAL)
    }

    private companion object {
        const val STATUS_OK = 200
        const val STATUS_MISDIRECTED = 421
        const val STATUS_UNPROCESSABLE = 422
        const val STATUS_FAILED = 500
        const val STATUS_UNAVAILABLE = 503
        const val STRAY_RESPONSE = "HTTP/1.1 200 OK\r\nX-Other: of no request\r\n\r\n"
        const val STRAY_EVENT = "id: 0\ndata: of no request\n\n"
        const val EVENT_PART_BYTES = 4_096
        val EVENT_PART_INTERVAL = 1.milliseconds
        val COMMENT_INTERVAL = 100.milliseconds
    }
}
