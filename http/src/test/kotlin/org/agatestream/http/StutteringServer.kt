package org.agatestream.http

import kotlinx.coroutines.withTimeoutOrNull
import java.util.concurrent.atomic.AtomicBoolean
import kotlin.time.Duration
import kotlin.time.Duration.Companion.seconds

/** The extra bytes that a server sends around the responses to the first two requests on one connection. */
internal class Stutter(
    /** Sent in the segment that ends the first response. */
    val withFirst: String = "",
    /** Sent in these segments once the second request has been read, before its response. */
    val beforeSecond: List<String> = emptyList(),
    /** True if the response to the second request follows [beforeSecond]; the server closes after either. */
    val answersSecond: Boolean = true,
)

/**
 * A server that echoes the id of each request and sends the extra bytes of [stutter] on its first connection.
 *
 * The connection that stutters is closed after its second response; the others stay open.
 */
internal class StutteringServer(
    private val stutter: Stutter,
) : AutoCloseable {
    private val isFirstConnection = AtomicBoolean(true)
    private val server = RawServer { serve(it) }
    val address get() = server.address
    val accepted get() = server.accepted

    private fun serve(socket: RawSocket) {
        if (!isFirstConnection.getAndSet(false)) return answerAll(socket)
        socket.send(ownResponse(socket.readMessage().ifEmpty { return }) + stutter.withFirst)
        val second = socket.readMessage().ifEmpty { return }
        stutter.beforeSecond.forEach { socket.send(it) }
        if (stutter.answersSecond) socket.send(ownResponse(second))
        socket.socket.shutdownOutput()
        socket.readAll()
    }

    private fun answerAll(socket: RawSocket) {
        while (true) socket.send(ownResponse(socket.readMessage().ifEmpty { return }))
    }

    override fun close() = server.close()
}

/** The response of [StutteringServer] to [request]. */
private fun ownResponse(request: String): String {
    val id = requestId(request)
    val response = rawResponse("200 OK", "own $id", "x-id: $id")
    return if (request.startsWith("HEAD")) response.substringBefore("own") else response
}

/** Returns the id of a request that [receive] has sent. */
internal fun requestId(request: String): String = request.substringAfter("x-id: ").substringBefore("\r\n")

/** A response with a length. */
internal fun rawResponse(
    status: String,
    body: String,
    vararg headers: String,
): String =
    "HTTP/1.1 $status\r\n" + headers.joinToString("") { "$it\r\n" } + "content-length: ${body.length}\r\n\r\n$body"

/** Sends a request with the given id; returns the status and the body of the response, or null if it did not arrive. */
internal suspend fun HttpClient.receive(
    address: String,
    id: String,
    method: String = "GET",
    timeout: Duration = 3.seconds,
): String? =
    withTimeoutOrNull(timeout) {
        val request = HttpRequestSpec(address, method, "/", listOf("x-id" to id), echoedHeader = "x-id" to id)
        val response = (exchange(request) as? ExchangeResult.Answered)?.response ?: return@withTimeoutOrNull null
        try {
            response.readText()?.let { "${response.status} $it" }
        } finally {
            response.close()
        }
    }
