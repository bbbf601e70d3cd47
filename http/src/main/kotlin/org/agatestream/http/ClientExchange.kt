package org.agatestream.http

import io.netty.handler.codec.http.HttpContent
import io.netty.handler.codec.http.HttpResponse
import io.netty.handler.codec.http.HttpUtil
import io.netty.handler.codec.http.LastHttpContent
import kotlinx.coroutines.CompletableDeferred
import kotlinx.coroutines.channels.Channel
import kotlinx.coroutines.withTimeoutOrNull
import org.agatestream.core.MonotonicTime
import kotlin.time.Duration

/** The request that a response answers. */
internal enum class ResponseOrigin {
    /** The request of the current exchange. */
    OWN,

    /** An earlier request on the connection. */
    EARLIER,

    /** Either of them. */
    UNKNOWN,
}

/** One request on a [ClientConnection] and its response. */
internal class ClientExchange(
    private val connection: ClientConnection,
    request: HttpRequestSpec,
    /** True if the connection has carried no other request, so that no response to one can be late. */
    private val isFirst: Boolean,
    private val onResponseComplete: (ClientExchange) -> Unit,
) : HttpClientResponse {
    private val echoedHeader = request.echoedHeader
    private val stallTimeout = request.stallTimeout

    /** True if the response has no body, whatever its headers say. */
    val isHead: Boolean = request.method == "HEAD"
    val head: CompletableDeferred<ExchangeResult> = CompletableDeferred()

    /** True once the whole request has been written to the socket. */
    var isRequestSent: Boolean = false

    @Volatile
    private var lastSentAt = MonotonicTime.now()

    private lateinit var response: HttpResponse

    // Bounded by read demand: each requested read adds at most one part.
    private val parts = Channel<BodyPart>(Channel.UNLIMITED)
    private var lastPart: BodyPart? = null

    @Volatile
    private var isComplete = false

    /** The number of bytes of the body that have arrived. */
    @Volatile
    private var receivedBytes = 0L

    override val status: Int
        get() = response.status().code()

    override val isBodyDelimited: Boolean
        get() =
            isBodyless() || HttpUtil.isTransferEncodingChunked(response) || HttpUtil.isContentLengthSet(response)

    override fun header(name: String): String? = response.headers().get(name)

    override fun headers(): List<Pair<String, String>> =
        response.headers().entries().map { it.key.lowercase() to it.value }

    /** Returns which request [message] answers, as told by the echoed header. */
    fun originOf(message: HttpResponse): ResponseOrigin {
        val (name, expected) = echoedHeader ?: return ResponseOrigin.OWN
        return when (message.headers().get(name)) {
            expected -> ResponseOrigin.OWN
            null -> if (isFirst) ResponseOrigin.OWN else ResponseOrigin.UNKNOWN
            else -> ResponseOrigin.EARLIER
        }
    }

    /** Returns the server's keep-alive timeout in seconds, or null if the response has none. */
    fun keepAliveSeconds(): Long? =
        response
            .headers()
            .get("keep-alive")
            ?.substringAfter("timeout=", "")
            ?.takeWhile { it.isDigit() }
            ?.toLongOrNull()

    private fun isBodyless(): Boolean = isHead || status in BODYLESS_STATUSES

    /** Records that a part of the request has been written to the socket. */
    fun onPartSent(now: MonotonicTime) {
        lastSentAt = now
    }

    /** Waits for the head of the response; gives up once no byte of the request has moved for the stall timeout. */
    suspend fun awaitHead(): ExchangeResult {
        val timeout = stallTimeout ?: return head.await()
        while (!head.isCompleted) {
            val left = lastSentAt + timeout - MonotonicTime.now()
            if (!left.isPositive()) {
                connection.close(this)
                return ExchangeResult.Lost("no byte of the request or its response in $timeout")
            }
            withTimeoutOrNull(left) { head.await() }
        }
        return head.await()
    }

    fun onHead(message: HttpResponse) {
        response = message
        head.complete(ExchangeResult.Answered(this))
    }

    fun onContent(content: HttpContent) {
        val bytes = ByteArray(content.content().readableBytes())
        content.content().readBytes(bytes)
        content.release()
        if (content.decoderResult().isFailure) {
            connection.close(this)
            return
        }
        if (bytes.isNotEmpty()) {
            receivedBytes += bytes.size
            parts.trySend(BodyPart.Chunk(bytes))
        }
        if (content is LastHttpContent && !isBodyDelimited && !connection.isEndedByServer) {
            onConnectionLost("the connection was not closed in order")
        } else if (content is LastHttpContent) {
            isComplete = true
            // Releases the connection first, so that the reader's next request can reuse it.
            onResponseComplete(this)
            parts.trySend(BodyPart.End)
        } else if (bytes.isEmpty()) {
            connection.requestBody()
        }
    }

    fun onConnectionLost(reason: String) {
        head.complete(ExchangeResult.Lost(reason))
        parts.trySend(BodyPart.Broken(reason))
    }

    /** Returns whether the connection may carry another request. */
    fun canReuseConnection(): Boolean = isRequestSent && HttpUtil.isKeepAlive(response) && hasEchoedHeader()

    // A late copy of a response without it could not be told from the next response.
    private fun hasEchoedHeader(): Boolean = echoedHeader == null || response.headers().contains(echoedHeader.first)

    override suspend fun nextChunk(): BodyPart {
        lastPart?.let { return it }
        val part = parts.tryReceive().getOrNull() ?: receivePart()
        if (part !is BodyPart.Chunk) lastPart = part
        return part
    }

    private suspend fun receivePart(): BodyPart {
        if (!isComplete) connection.requestBody()
        val timeout = stallTimeout ?: return parts.receive()
        // A part that arrives as the time runs out may be lost, so the body can't be read on.
        return withTimeoutOrNull(timeout) { parts.receive() } ?: stalledAfter(timeout)
    }

    private fun stalledAfter(timeout: Duration): BodyPart {
        connection.close(this)
        return BodyPart.Broken("no byte in $timeout after $receivedBytes bytes")
    }

    override fun close() {
        if (!isComplete) connection.close(this)
    }

    private companion object {
        val BODYLESS_STATUSES = setOf(204, 304)
    }
}
