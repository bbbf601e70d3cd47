package org.agatestream.http

import io.netty.buffer.Unpooled
import io.netty.channel.ChannelHandlerContext
import io.netty.channel.ChannelInboundHandlerAdapter
import io.netty.handler.codec.http.DefaultFullHttpRequest
import io.netty.handler.codec.http.HttpContent
import io.netty.handler.codec.http.HttpHeaderNames
import io.netty.handler.codec.http.HttpMethod
import io.netty.handler.codec.http.HttpResponse
import io.netty.handler.codec.http.HttpUtil
import io.netty.handler.codec.http.HttpVersion
import io.netty.handler.codec.http.LastHttpContent
import io.netty.util.ReferenceCountUtil
import kotlinx.coroutines.CancellationException
import kotlinx.coroutines.CompletableDeferred
import kotlinx.coroutines.channels.Channel

/** Carries one request at a time to a server and the answer back. */
internal class ClientConnection : ChannelInboundHandlerAdapter() {
    private lateinit var ctx: ChannelHandlerContext

    @Volatile
    private var current: Exchange? = null

    override fun handlerAdded(ctx: ChannelHandlerContext) {
        this.ctx = ctx
    }

    suspend fun exchange(
        request: HttpRequestSpec,
        release: () -> Unit,
    ): ExchangeResult {
        val exchange =
            Exchange(ctx) {
                current = null
                release()
            }
        current = exchange
        if (!ctx.channel().isActive) return ExchangeResult.NotSent("the connection was closed")
        ctx.writeAndFlush(request.toMessage())
        ctx.read()
        return try {
            exchange.head.await()
        } catch (e: CancellationException) {
            ctx.close()
            throw e
        }
    }

    override fun channelRead(
        ctx: ChannelHandlerContext,
        msg: Any,
    ) {
        val exchange = current
        when {
            exchange == null -> rejectUnasked(msg)
            msg is HttpResponse && msg.status().code() == STATUS_CONTINUE -> ctx.read()
            msg is HttpResponse -> exchange.begin(msg)
            msg is HttpContent -> exchange.deliver(msg)
            else -> ReferenceCountUtil.release(msg)
        }
    }

    override fun channelInactive(ctx: ChannelHandlerContext) {
        current?.lost("the connection was closed")
    }

    override fun exceptionCaught(
        ctx: ChannelHandlerContext,
        cause: Throwable,
    ) {
        ctx.close()
    }

    /** Closes a connection on which an answer came that no request waits for. */
    private fun rejectUnasked(msg: Any) {
        ReferenceCountUtil.release(msg)
        ctx.close()
    }

    private fun HttpRequestSpec.toMessage(): DefaultFullHttpRequest {
        val message =
            DefaultFullHttpRequest(
                HttpVersion.HTTP_1_1,
                HttpMethod.valueOf(method),
                target,
                Unpooled.wrappedBuffer(body),
            )
        message.headers().set(HttpHeaderNames.HOST, address)
        headers.forEach { (name, value) -> message.headers().add(name, value) }
        message.headers().set(HttpHeaderNames.CONTENT_LENGTH, body.size)
        return message
    }

    /** The state of one request and its answer. */
    private class Exchange(
        private val ctx: ChannelHandlerContext,
        private val release: () -> Unit,
    ) : HttpAnswer {
        val head = CompletableDeferred<ExchangeResult>()
        private lateinit var response: HttpResponse

        // Bounded by demand: one read of the socket puts in at most one part.
        private val parts = Channel<BodyPart>(Channel.UNLIMITED)

        @Volatile
        private var ended = false

        override val status: Int
            get() = response.status().code()

        override fun header(name: String): String? = response.headers().get(name)

        fun begin(message: HttpResponse) {
            if (message.decoderResult().isFailure) {
                ctx.close()
                return
            }
            response = message
            head.complete(ExchangeResult.Answered(this))
        }

        fun deliver(content: HttpContent) {
            val bytes = ByteArray(content.content().readableBytes())
            content.content().readBytes(bytes)
            content.release()
            if (content.decoderResult().isFailure) {
                ctx.close()
                return
            }
            if (bytes.isNotEmpty()) parts.trySend(BodyPart.Chunk(bytes))
            if (content is LastHttpContent) {
                end()
            } else if (bytes.isEmpty()) {
                ctx.read()
            }
        }

        fun lost(reason: String) {
            head.complete(ExchangeResult.Lost(reason))
            if (!ended) parts.trySend(BodyPart.Broken(reason))
        }

        override suspend fun nextChunk(): BodyPart {
            parts.tryReceive().getOrNull()?.let { return it }
            if (ended) return parts.tryReceive().getOrNull() ?: BodyPart.End
            ctx.read()
            return parts.receive()
        }

        override fun close() {
            if (!ended) ctx.close()
        }

        private fun end() {
            ended = true
            parts.trySend(BodyPart.End)
            if (HttpUtil.isKeepAlive(response)) {
                // An idle connection is read so that its loss shows before it is taken again.
                ctx.read()
                release()
            } else {
                ctx.close()
            }
        }
    }

    private companion object {
        const val STATUS_CONTINUE = 100
    }
}
