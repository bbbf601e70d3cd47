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

/** One request on a [ServerConnection] and its answer. */
internal class ServerCall(
    private val ctx: ChannelHandlerContext,
    private val connection: ServerConnection,
    private val limits: HttpLimits,
    private val request: HttpRequest,
    private val readable: Boolean,
) : HttpCall,
    BodyWriter {
    override val method: String = request.method().name()
    override val target: String = request.uri()
    override val path: String = QueryStringDecoder(request.uri()).path()
    private val gone: CompletableJob = Job()
    override val callerGone: Job = gone

    /** True if the head says that no body follows. */
    val bodiless: Boolean =
        !HttpUtil.isTransferEncodingChunked(request) && HttpUtil.getContentLength(request, 0L) == 0L

    // Bounded by demand: one read of the socket puts in at most one part.
    private val parts = Channel<BodyPart>(Channel.UNLIMITED)
    private val drained = Channel<Unit>(Channel.CONFLATED)
    private var continueSent = false
    private var lastPart: BodyPart? = null

    /** True once the body has arrived whole. */
    @Volatile
    var bodyComplete: Boolean = false
        private set

    @Volatile
    override var answered: Boolean = false
        private set

    /** True once the answer has been written whole. */
    @Volatile
    var finished: Boolean = false
        private set

    /** True if the answer told the caller that the connection may be used again. */
    @Volatile
    var reusable: Boolean = false
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

    /** Takes in a piece of the body, on the event loop. */
    fun deliver(content: HttpContent) {
        val bytes = ByteArray(content.content().readableBytes())
        content.content().readBytes(bytes)
        content.release()
        if (content.decoderResult().isFailure) {
            fail("it is no valid HTTP", ErrorKind.MALFORMED_REQUEST)
            return
        }
        if (bytes.isNotEmpty()) parts.trySend(BodyPart.Chunk(bytes))
        if (content is LastHttpContent) {
            bodyComplete = true
            parts.trySend(BodyPart.End)
        } else if (bytes.isEmpty()) {
            connection.requestBody(this)
        }
    }

    fun fail(
        reason: String,
        kind: ErrorKind,
    ) {
        parts.trySend(BodyPart.Broken(reason, kind))
    }

    fun connectionLost() {
        fail("the connection was closed", ErrorKind.MALFORMED_REQUEST)
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
        answered = true
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
        ctx.executor().schedule({ ctx.close() }, limits.readerTimeout.inWholeMilliseconds, TimeUnit.MILLISECONDS)
    }

    private suspend fun finishWith(bytes: ByteArray) {
        val written = ctx.writeAndFlush(DefaultLastHttpContent(Unpooled.wrappedBuffer(bytes)))
        if (!written.isDone) {
            withTimeoutOrNull(limits.readerTimeout) { written.awaitDone() }
        }
        finished = written.isSuccess
    }

    /** Waits while the reader is slow; returns false once it is gone or has stood still too long. */
    private suspend fun awaitWritable(): Boolean {
        if (ctx.channel().isWritable) return true
        val writable =
            withTimeoutOrNull(limits.readerTimeout) {
                while (ctx.channel().isActive && !ctx.channel().isWritable) drained.receiveCatching()
                ctx.channel().isActive
            }
        if (writable == null) ctx.close()
        return writable == true
    }

    private fun setHeaders(
        response: HttpResponse,
        contentType: String,
        headers: Map<String, String>,
        framed: Boolean = true,
    ) {
        response.headers().set(HttpHeaderNames.CONTENT_TYPE, contentType)
        headers.forEach { (name, value) -> response.headers().set(name, value) }
        val bodyTaken = bodiless || bodyComplete
        reusable = readable && framed && bodyTaken && !connection.closing && HttpUtil.isKeepAlive(request)
        if (!reusable) response.headers().set(HttpHeaderNames.CONNECTION, HttpHeaderValues.CLOSE)
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
