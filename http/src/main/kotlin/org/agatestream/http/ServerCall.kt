package org.agatestream.http

import io.netty.buffer.Unpooled
import io.netty.channel.ChannelFuture
import io.netty.channel.ChannelFutureListener
import io.netty.channel.ChannelHandlerContext
import io.netty.handler.codec.http.DefaultFullHttpResponse
import io.netty.handler.codec.http.DefaultHttpContent
import io.netty.handler.codec.http.DefaultHttpResponse
import io.netty.handler.codec.http.DefaultLastHttpContent
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
import kotlinx.coroutines.withTimeoutOrNull
import org.agatestream.core.ErrorKind
import java.util.concurrent.TimeUnit
import kotlin.coroutines.resume

/** One request on a [ServerConnection] and its response. */
internal class ServerCall(
    private val ctx: ChannelHandlerContext,
    private val connection: ServerConnection,
    private val limits: HttpLimits,
    private val request: HttpRequest,
    private val isHeadValid: Boolean,
) : HttpCall,
    BodyWriter {
    override val method: String = request.method().name()
    override val target: String = request.uri()
    override val path: String = QueryStringDecoder(request.uri()).path()
    private val disconnected: CompletableJob = Job()
    override val callerDisconnected: Job = disconnected

    /** True if the request has no body. */
    val hasNoBody: Boolean =
        !HttpUtil.isTransferEncodingChunked(request) && HttpUtil.getContentLength(request, 0L) == 0L

    // Bounded by read demand: each requested read adds at most one part.
    private val parts = Channel<BodyPart>(Channel.UNLIMITED)
    private val writableSignal = Channel<Unit>(Channel.CONFLATED)
    private var isContinueSent = false
    private var lastPart: BodyPart? = null

    /** True once the whole request body has arrived. */
    @Volatile
    var isBodyComplete: Boolean = false
        private set

    @Volatile
    override var isResponseStarted: Boolean = false
        private set

    /** True once the whole response has been written. */
    @Volatile
    var isResponseComplete: Boolean = false
        private set

    /** True if the response allows the caller to reuse the connection. */
    @Volatile
    var isConnectionReusable: Boolean = false
        private set

    override fun header(name: String): String? = request.headers().get(name)

    override fun headers(): List<Pair<String, String>> =
        request.headers().entries().map { it.key.lowercase() to it.value }

    override suspend fun nextChunk(): BodyPart {
        lastPart?.let { return it }
        val part = parts.tryReceive().getOrNull() ?: receivePart()
        if (part !is BodyPart.Chunk) lastPart = part
        return part
    }

    private suspend fun receivePart(): BodyPart {
        sendContinue()
        connection.requestBody(this)
        return parts.receive()
    }

    /** Adds a chunk of the request body; called on the event loop. */
    fun onContent(content: HttpContent) {
        val bytes = ByteArray(content.content().readableBytes())
        content.content().readBytes(bytes)
        content.release()
        if (content.decoderResult().isFailure) {
            failBody("it is no valid HTTP", ErrorKind.MALFORMED_REQUEST)
            return
        }
        if (bytes.isNotEmpty()) parts.trySend(BodyPart.Chunk(bytes))
        if (content is LastHttpContent) {
            isBodyComplete = true
            parts.trySend(BodyPart.End)
        } else if (bytes.isEmpty()) {
            connection.requestBody(this)
        }
    }

    fun failBody(
        reason: String,
        kind: ErrorKind,
    ) {
        parts.trySend(BodyPart.Broken(reason, kind))
    }

    fun onConnectionLost() {
        failBody("the connection was closed", ErrorKind.MALFORMED_REQUEST)
        disconnected.complete()
        writableSignal.close()
    }

    fun onWritable() {
        writableSignal.trySend(Unit)
    }

    override suspend fun respond(
        status: Int,
        contentType: String,
        body: ByteArray,
        headers: Map<String, String>,
    ) {
        isResponseStarted = true
        val head = DefaultHttpResponse(HttpVersion.HTTP_1_1, HttpResponseStatus.valueOf(status))
        setHeaders(head, contentType, headers)
        head.headers().set(HttpHeaderNames.CONTENT_LENGTH, body.size)
        if (body.size <= limits.maxChunkBytes || method == "HEAD") {
            ctx.write(head)
            finishWith(if (method == "HEAD") ByteArray(0) else body)
            return
        }
        ctx.write(head)
        for (start in body.indices step limits.maxChunkBytes) {
            val piece = body.copyOfRange(start, minOf(start + limits.maxChunkBytes, body.size))
            if (!write(piece)) return
        }
        finish()
    }

    override suspend fun startStream(
        status: Int,
        contentType: String,
        headers: Map<String, String>,
    ): BodyWriter {
        isResponseStarted = true
        val response = DefaultHttpResponse(HttpVersion.HTTP_1_1, HttpResponseStatus.valueOf(status))
        val chunked = request.protocolVersion().isKeepAliveDefault
        setHeaders(response, contentType, headers, chunked)
        if (chunked) HttpUtil.setTransferEncodingChunked(response, true)
        ctx.writeAndFlush(response)
        return this
    }

    override suspend fun write(bytes: ByteArray): Boolean {
        if (!ctx.channel().isActive) return false
        ctx.writeAndFlush(DefaultHttpContent(Unpooled.wrappedBuffer(bytes)))
        return awaitWritable()
    }

    override suspend fun finish() {
        finishWith(ByteArray(0))
    }

    override fun abort() {
        if (!ctx.channel().isActive) return
        ctx.writeAndFlush(Unpooled.EMPTY_BUFFER).addListener(ChannelFutureListener.CLOSE)
        ctx.executor().schedule({ ctx.close() }, limits.responseWriteTimeout.inWholeMilliseconds, TimeUnit.MILLISECONDS)
    }

    private suspend fun finishWith(bytes: ByteArray) {
        val written = ctx.writeAndFlush(DefaultLastHttpContent(Unpooled.wrappedBuffer(bytes)))
        if (!written.isDone) {
            withTimeoutOrNull(limits.responseWriteTimeout) { written.awaitDone() }
        }
        isResponseComplete = written.isSuccess
    }

    /** Waits until the caller has read enough; returns false if it disconnects or exceeds the write timeout. */
    private suspend fun awaitWritable(): Boolean {
        if (ctx.channel().isWritable) return true
        val writable =
            withTimeoutOrNull(limits.responseWriteTimeout) {
                while (ctx.channel().isActive && !ctx.channel().isWritable) writableSignal.receiveCatching()
                ctx.channel().isActive
            }
        if (writable == null) ctx.close()
        return writable == true
    }

    private fun setHeaders(
        response: HttpResponse,
        contentType: String,
        headers: Map<String, String>,
        isDelimited: Boolean = true,
    ) {
        response.headers().set(HttpHeaderNames.CONTENT_TYPE, contentType)
        headers.forEach { (name, value) -> response.headers().set(name, value) }
        val isBodyConsumed = hasNoBody || isBodyComplete
        isConnectionReusable =
            isHeadValid && isDelimited && isBodyConsumed && !connection.isClosing && HttpUtil.isKeepAlive(request)
        if (!isConnectionReusable) response.headers().set(HttpHeaderNames.CONNECTION, HttpHeaderValues.CLOSE)
    }

    private fun sendContinue() {
        if (isContinueSent || !HttpUtil.is100ContinueExpected(request)) return
        isContinueSent = true
        ctx.writeAndFlush(
            DefaultFullHttpResponse(HttpVersion.HTTP_1_1, HttpResponseStatus.CONTINUE, Unpooled.EMPTY_BUFFER),
        )
    }
}

/** Waits until this operation completes and returns whether it succeeded. */
internal suspend fun ChannelFuture.awaitDone(): Boolean =
    suspendCancellableCoroutine { waiting -> addListener { if (waiting.isActive) waiting.resume(it.isSuccess) } }
