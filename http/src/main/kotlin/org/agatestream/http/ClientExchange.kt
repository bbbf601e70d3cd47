package org.agatestream.http

import io.netty.handler.codec.http.HttpContent
import io.netty.handler.codec.http.HttpResponse
import io.netty.handler.codec.http.HttpUtil
import io.netty.handler.codec.http.LastHttpContent
import kotlinx.coroutines.CompletableDeferred
import kotlinx.coroutines.channels.Channel

/** One request on a [ClientConnection] and its answer. */
internal class ClientExchange(
    private val connection: ClientConnection,
    private val echo: Pair<String, String>?,
    private val onEnd: (ClientExchange) -> Unit,
) : HttpAnswer {
    val head: CompletableDeferred<ExchangeResult> = CompletableDeferred()

    /** True once the whole request was handed to the socket. */
    var requestSent: Boolean = false

    private lateinit var response: HttpResponse

    // Bounded by demand: one read of the socket puts in at most one part.
    private val parts = Channel<BodyPart>(Channel.UNLIMITED)
    private var lastPart: BodyPart? = null

    @Volatile
    private var ended = false

    override val status: Int
        get() = response.status().code()

    override fun header(name: String): String? = response.headers().get(name)

    override fun headers(): List<Pair<String, String>> =
        response.headers().entries().map { it.key.lowercase() to it.value }

    /** Returns whether [message] may be the answer to this request, and not a late one to an earlier request. */
    fun isOwn(message: HttpResponse): Boolean {
        val (name, expected) = echo ?: return true
        val value = message.headers().get(name)
        return value == null || value == expected
    }

    /** Returns how long the server keeps the connection open while it is idle, or null if it doesn't say. */
    fun idleSeconds(): Long? =
        response
            .headers()
            .get("keep-alive")
            ?.substringAfter("timeout=", "")
            ?.takeWhile { it.isDigit() }
            ?.toLongOrNull()

    /** Returns whether the end of the connection is the only sign that the body is whole. */
    private fun endsWithConnection(): Boolean =
        !HttpUtil.isTransferEncodingChunked(response) && !HttpUtil.isContentLengthSet(response)

    fun begin(message: HttpResponse) {
        response = message
        head.complete(ExchangeResult.Answered(this))
    }

    fun deliver(content: HttpContent) {
        val bytes = ByteArray(content.content().readableBytes())
        content.content().readBytes(bytes)
        content.release()
        if (content.decoderResult().isFailure) {
            connection.close()
            return
        }
        if (bytes.isNotEmpty()) parts.trySend(BodyPart.Chunk(bytes))
        if (content is LastHttpContent && connection.isReset && endsWithConnection()) {
            lost("the connection was reset")
        } else if (content is LastHttpContent) {
            ended = true
            // Frees the connection first, so that the reader's next request finds it.
            onEnd(this)
            parts.trySend(BodyPart.End)
        } else if (bytes.isEmpty()) {
            connection.requestBody()
        }
    }

    fun lost(reason: String) {
        head.complete(ExchangeResult.Lost(reason))
        parts.trySend(BodyPart.Broken(reason))
    }

    /** Returns whether the connection may carry another request. */
    fun mayReuse(): Boolean = requestSent && HttpUtil.isKeepAlive(response)

    override suspend fun nextChunk(): BodyPart {
        lastPart?.let { return it }
        val part = parts.tryReceive().getOrNull() ?: receivePart()
        if (part !is BodyPart.Chunk) lastPart = part
        return part
    }

    private suspend fun receivePart(): BodyPart {
        if (!ended) connection.requestBody()
        return parts.receive()
    }

    override fun close() {
        if (!ended) connection.close()
    }
}
