package org.agatestream.http

import io.netty.buffer.Unpooled
import io.netty.channel.ChannelHandlerContext
import io.netty.channel.ChannelInboundHandlerAdapter
import io.netty.handler.codec.http.DefaultFullHttpRequest
import io.netty.handler.codec.http.HttpContent
import io.netty.handler.codec.http.HttpHeaderNames
import io.netty.handler.codec.http.HttpMethod
import io.netty.handler.codec.http.HttpResponse
import io.netty.handler.codec.http.HttpStatusClass
import io.netty.handler.codec.http.HttpVersion
import io.netty.handler.codec.http.LastHttpContent
import io.netty.util.ReferenceCountUtil
import kotlinx.coroutines.CancellationException
import java.util.concurrent.TimeUnit
import kotlin.time.Duration.Companion.milliseconds

/** Carries one request at a time to a server and the answer back; its state changes on the event loop only. */
internal class ClientConnection : ChannelInboundHandlerAdapter() {
    private lateinit var ctx: ChannelHandlerContext
    private val demand = ReadDemand()
    private var current: ClientExchange? = null
    private var skipping = false
    private var staleAt = Long.MAX_VALUE

    /** True if the connection ended by a reset and not by an orderly close. */
    var isReset: Boolean = false
        private set

    /** True if the server may close the connection at any moment because it was idle. */
    val isStale: Boolean get() = System.nanoTime() >= staleAt

    override fun handlerAdded(ctx: ChannelHandlerContext) {
        this.ctx = ctx
    }

    suspend fun exchange(
        request: HttpRequestSpec,
        release: () -> Unit,
    ): ExchangeResult {
        val exchange = ClientExchange(this, request.echo) { free(it, release) }
        try {
            val message = request.toMessage()
            ctx.executor().execute { start(exchange, message) }
            return exchange.head.await()
        } catch (e: CancellationException) {
            ctx.close()
            throw e
        } catch (e: IllegalArgumentException) {
            ctx.close()
            throw e
        }
    }

    override fun channelRead(
        ctx: ChannelHandlerContext,
        msg: Any,
    ) {
        demand.meet()
        val exchange = current
        when {
            exchange == null -> rejectUnasked(msg)
            msg is HttpResponse && msg.decoderResult().isFailure -> ctx.close()
            msg is HttpResponse && msg.status().codeClass() == HttpStatusClass.INFORMATIONAL -> skip()
            msg is HttpResponse && !exchange.isOwn(msg) -> skip()
            msg is HttpResponse -> exchange.begin(msg)
            msg is HttpContent && skipping -> skipContent(msg)
            msg is HttpContent -> exchange.deliver(msg)
            else -> ReferenceCountUtil.release(msg)
        }
    }

    override fun channelReadComplete(ctx: ChannelHandlerContext) {
        demand.renew(ctx)
    }

    override fun channelInactive(ctx: ChannelHandlerContext) {
        current?.lost("the connection was closed")
    }

    override fun exceptionCaught(
        ctx: ChannelHandlerContext,
        cause: Throwable,
    ) {
        isReset = true
        ctx.close()
    }

    /** Asks the socket for the next piece of the answer under way. */
    fun requestBody() {
        ctx.executor().execute { demand.request(ctx) }
    }

    fun close() {
        ctx.close()
    }

    private fun start(
        exchange: ClientExchange,
        message: DefaultFullHttpRequest,
    ) {
        if (!ctx.channel().isActive) {
            message.release()
            exchange.head.complete(ExchangeResult.NotSent("the connection was closed"))
            return
        }
        current = exchange
        ctx.writeAndFlush(message).addListener { exchange.requestSent = it.isSuccess }
        demand.request(ctx)
    }

    /** Frees the connection after a whole answer, or closes it if another exchange could be mixed up with this one. */
    private fun free(
        exchange: ClientExchange,
        release: () -> Unit,
    ) {
        current = null
        if (!exchange.mayReuse()) {
            ctx.close()
            return
        }
        staleAt = exchange.idleSeconds()?.let { System.nanoTime() + idleNanos(it) } ?: Long.MAX_VALUE
        // Shows an answer that nobody asked for, and later the loss of the idle connection.
        demand.request(ctx)
        if (ctx.channel().isActive) release()
    }

    private fun skip() {
        skipping = true
        demand.request(ctx)
    }

    private fun skipContent(content: HttpContent) {
        if (content is LastHttpContent) skipping = false
        content.release()
        demand.request(ctx)
    }

    /** Closes a connection on which an answer came that no request waits for. */
    private fun rejectUnasked(msg: Any) {
        ReferenceCountUtil.release(msg)
        ctx.close()
    }

    private fun idleNanos(seconds: Long): Long =
        (TimeUnit.SECONDS.toNanos(seconds) - IDLE_MARGIN.inWholeNanoseconds).coerceAtLeast(0)

    private fun HttpRequestSpec.toMessage(): DefaultFullHttpRequest {
        val content = Unpooled.wrappedBuffer(body)
        val message = DefaultFullHttpRequest(HttpVersion.HTTP_1_1, HttpMethod.valueOf(method), target, content)
        if (headers.none { it.first == "host" }) message.headers().set(HttpHeaderNames.HOST, address)
        headers.forEach { (name, value) -> message.headers().add(name, value) }
        message.headers().set(HttpHeaderNames.CONTENT_LENGTH, body.size)
        return message
    }

    private companion object {
        // A request that is under way when the server's idle time ends is lost; a hop takes a few milliseconds.
        val IDLE_MARGIN = 500.milliseconds
    }
}
