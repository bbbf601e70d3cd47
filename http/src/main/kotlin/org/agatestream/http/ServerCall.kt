package org.agatestream.http

import io.netty.buffer.Unpooled
import io.netty.channel.ChannelFuture
import io.netty.channel.ChannelHandlerContext
import io.netty.handler.codec.http.DefaultFullHttpResponse
import io.netty.handler.codec.http.DefaultHttpContent
import io.netty.handler.codec.http.DefaultHttpResponse
import io.netty.handler.codec.http.HttpContent
import io.netty.handler.codec.http.HttpHeaderNames
import io.netty.handler.codec.http.HttpHeaderValues
import io.netty.handler.codec.http.HttpRequest
import io.netty.handler.codec.http.HttpResponse
import io.netty.handler.codec.http.HttpResponseStatus
import io.netty.handler.codec.http.HttpUtil
import io.netty.handler.codec.http.HttpVersion
import io.netty.handler.codec.http.LastHttpContent
import io.netty.handler.codec.http.QueryStringDecoder
import kotlinx.coroutines.CompletableJob
import kotlinx.coroutines.Job
import kotlinx.coroutines.channels.Channel
import kotlinx.coroutines.suspendCancellableCoroutine
import kotlin.coroutines.resume

/** One request on a [ServerConnection] and its answer. */
internal class ServerCall(
    private val ctx: ChannelHandlerContext,
    private val connection: ServerConnection,
    private val request: HttpRequest,
) : HttpCall,
    BodyWriter {
    override val method: String = request.method().name()
    override val target: String = request.uri()
    override val path: String = QueryStringDecoder(request.uri()).path()
    private val gone: CompletableJob = Job()
    override val callerGone: Job = gone
    val keepAlive: Boolean = HttpUtil.isKeepAlive(request)

    // Bounded by demand: one read of the socket puts in at most one part.
    private val parts = Channel<BodyPart>(Channel.UNLIMITED)
    private val drained = Channel<Unit>(Channel.CONFLATED)
    private var continueSent = false

    @Volatile
    private var endDelivered = false

    @Volatile
    var bodyComplete: Boolean = false
        private set

    @Volatile
    override var answered: Boolean = false
        private set

    @Volatile
    var finished: Boolean = false
        private set

    override fun header(name: String): String? = request.headers().get(name)

    override fun headers(): List<Pair<String, String>> =
        request.headers().entries().map { it.key.lowercase() to it.value }

    override suspend fun nextChunk(): BodyPart {
        if (endDelivered) return BodyPart.End
        sendContinue()
        connection.requestBody()
        val part = parts.receive()
        if (part is BodyPart.End) endDelivered = true
        return part
    }

    fun deliver(content: HttpContent) {
        val bytes = ByteArray(content.content().readableBytes())
        content.content().readBytes(bytes)
        content.release()
        when {
            content.decoderResult().isFailure -> parts.trySend(BodyPart.Broken("the body is no valid HTTP"))
            bytes.isNotEmpty() -> parts.trySend(BodyPart.Chunk(bytes))
            content !is LastHttpContent -> connection.requestBody()
        }
        if (content is LastHttpContent) {
            bodyComplete = true
            parts.trySend(BodyPart.End)
        }
    }

    fun fail(reason: String) {
        parts.trySend(BodyPart.Broken(reason))
    }

    fun connectionLost() {
        fail("the connection was closed")
        gone.complete()
        drained.close()
    }

    fun writable() {
        drained.trySend(Unit)
    }

    override suspend fun respond(
        status: Int,
        contentType: String,
        body: ByteArray,
        headers: Map<String, String>,
    ) {
        answered = true
        val response =
            DefaultFullHttpResponse(
                HttpVersion.HTTP_1_1,
                HttpResponseStatus.valueOf(status),
                Unpooled.wrappedBuffer(body),
            )
        setHeaders(response, contentType, headers)
        response.headers().set(HttpHeaderNames.CONTENT_LENGTH, body.size)
        ctx.writeAndFlush(response).awaitDone()
        finished = true
    }

    override suspend fun startStream(
        status: Int,
        contentType: String,
        headers: Map<String, String>,
    ): BodyWriter {
        answered = true
        val response = DefaultHttpResponse(HttpVersion.HTTP_1_1, HttpResponseStatus.valueOf(status))
        setHeaders(response, contentType, headers)
        HttpUtil.setTransferEncodingChunked(response, true)
        ctx.writeAndFlush(response)
        return this
    }

    override suspend fun write(bytes: ByteArray): Boolean {
        while (ctx.channel().isActive && !ctx.channel().isWritable) {
            drained.receiveCatching().getOrNull() ?: return false
        }
        ctx.writeAndFlush(DefaultHttpContent(Unpooled.wrappedBuffer(bytes)))
        return ctx.channel().isActive
    }

    override suspend fun finish() {
        ctx.writeAndFlush(LastHttpContent.EMPTY_LAST_CONTENT).awaitDone()
        finished = true
    }

    override fun abort() {
        ctx.close()
    }

    private fun setHeaders(
        response: HttpResponse,
        contentType: String,
        headers: Map<String, String>,
    ) {
        response.headers().set(HttpHeaderNames.CONTENT_TYPE, contentType)
        headers.forEach { (name, value) -> response.headers().set(name, value) }
        if (!keepAlive) response.headers().set(HttpHeaderNames.CONNECTION, HttpHeaderValues.CLOSE)
    }

    private fun sendContinue() {
        if (continueSent || !HttpUtil.is100ContinueExpected(request)) return
        continueSent = true
        ctx.writeAndFlush(
            DefaultFullHttpResponse(HttpVersion.HTTP_1_1, HttpResponseStatus.CONTINUE, Unpooled.EMPTY_BUFFER),
        )
    }
}

/** Waits until this operation is done, in success or failure. */
internal suspend fun ChannelFuture.awaitDone(): Boolean =
    suspendCancellableCoroutine { waiting -> addListener { if (waiting.isActive) waiting.resume(it.isSuccess) } }
