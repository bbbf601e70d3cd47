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
        if (content is LastHttpContent) {
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
