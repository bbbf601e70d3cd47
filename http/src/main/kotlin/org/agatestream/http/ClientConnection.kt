package org.agatestream.http

import io.netty.buffer.Unpooled
import io.netty.channel.ChannelFuture
import io.netty.channel.ChannelHandlerContext
import io.netty.channel.ChannelInboundHandlerAdapter
import io.netty.handler.codec.http.DefaultFullHttpRequest
import io.netty.handler.codec.http.DefaultHttpContent
import io.netty.handler.codec.http.DefaultHttpRequest
import io.netty.handler.codec.http.DefaultLastHttpContent
import io.netty.handler.codec.http.HttpContent
import io.netty.handler.codec.http.HttpHeaderNames
import io.netty.handler.codec.http.HttpMethod
import io.netty.handler.codec.http.HttpResponse
import io.netty.handler.codec.http.HttpStatusClass
import io.netty.handler.codec.http.HttpUtil
import io.netty.handler.codec.http.HttpVersion
import io.netty.handler.codec.http.LastHttpContent
import io.netty.util.ReferenceCountUtil
import kotlinx.coroutines.CancellationException
import org.agatestream.core.MonotonicTime
import java.util.concurrent.TimeUnit
import kotlin.time.Duration.Companion.milliseconds

/** One connection to a server that carries one exchange at a time; its state changes on the event loop only. */
internal class ClientConnection(
    private val unansweredBytes: UnansweredBytesLimit,
) : ChannelInboundHandlerAdapter() {
    /** The decoder of this connection's responses. */
    val decoder: ResponseDecoder = ResponseDecoder { answersHead(it) }

    private lateinit var ctx: ChannelHandlerContext
    private val demand = ReadDemand()
    private var current: ClientExchange? = null
    private var isSkipping = false
    private var staleAtNanos = Long.MAX_VALUE

    /** The requests so far; accessed only by the caller that holds the connection and while it is idle. */
    private val carried = CarriedRequests()

    /** True if the server closed the connection in order; false after a reset and after a close by this side. */
    val isEndedByServer: Boolean get() = decoder.isInputEnded

    /** False once the connection is closed; by then it is no longer part of its channel's pipeline. */
    val isActive: Boolean get() = ctx.channel().isActive

    /** True if the server may close the connection at any moment because its keep-alive time is nearly over. */
    val isStale: Boolean get() = System.nanoTime() >= staleAtNanos

    /** Returns whether a late copy of an earlier response would pass for the response to [request]. */
    fun mayConfuse(request: HttpRequestSpec): Boolean = request.echoedHeader?.let { carried.mayContain(it) } ?: false

    override fun handlerAdded(ctx: ChannelHandlerContext) {
        this.ctx = ctx
    }

    suspend fun exchange(
        request: HttpRequestSpec,
        release: () -> Unit,
    ): ExchangeResult {
        val isFirst = carried.count == 0
        val exchange = ClientExchange(this, request, isFirst) { onResponseComplete(it, release) }
        carried.add(request.echoedHeader)
        try {
            val message = request.toMessage()
            ctx.executor().execute { start(exchange, message) }
            return exchange.awaitHead()
        } catch (e: CancellationException) {
            close(exchange)
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
        demand.onMessage()
        val exchange = current
        when {
            exchange == null -> rejectUnsolicited(msg)
            msg is EndOfInput -> abandon(exchange, "the connection was closed")
            msg is HttpResponse && !msg.isValidHead() -> abandon(exchange, "the head of a response is malformed")
            msg is HttpResponse && msg.status().codeClass() == HttpStatusClass.INFORMATIONAL -> skipResponse()
            msg is HttpResponse -> onResponse(exchange, msg)
            msg is HttpContent && isSkipping -> skipContent(exchange, msg)
            msg is HttpContent -> exchange.onContent(msg)
            else -> ReferenceCountUtil.release(msg)
        }
    }

    override fun channelReadComplete(ctx: ChannelHandlerContext) {
        demand.reissue(ctx)
    }

    override fun channelInactive(ctx: ChannelHandlerContext) {
        current?.onConnectionLost("the connection was closed")
    }

    override fun exceptionCaught(
        ctx: ChannelHandlerContext,
        cause: Throwable,
    ) {
        ctx.close()
    }

    /** Requests the next chunk of the current response from the socket. */
    fun requestBody() {
        ctx.executor().execute { demand.request(ctx) }
    }

    /** Closes the idle connection. */
    fun close() {
        ctx.close()
    }

    /** Closes the connection unless [exchange] is complete, as the connection may carry another one by then. */
    fun close(exchange: ClientExchange) {
        // Queued also on the event loop, as the start of the exchange may still be queued there.
        ctx.executor().execute { closeIfCurrent(exchange) }
    }

    private fun closeIfCurrent(exchange: ClientExchange) {
        if (current === exchange) ctx.close()
    }

    private fun start(
        exchange: ClientExchange,
        message: DefaultFullHttpRequest,
    ) {
        if (!isActive) {
            message.release()
            exchange.head.complete(ExchangeResult.NotSent("the connection was closed"))
            return
        }
        current = exchange
        unansweredBytes.onRequest()
        send(exchange, message).addListener { exchange.isRequestSent = it.isSuccess }
        demand.request(ctx)
    }

    /** Writes [message], a large body in parts whose progress is recorded; returns the write of the last one. */
    private fun send(
        exchange: ClientExchange,
        message: DefaultFullHttpRequest,
    ): ChannelFuture {
        val body = message.content()
        if (body.readableBytes() <= MAX_PART_BYTES) return ctx.writeAndFlush(message).recordIn(exchange)
        ctx.write(DefaultHttpRequest(message.protocolVersion(), message.method(), message.uri(), message.headers()))
        while (body.readableBytes() > MAX_PART_BYTES) {
            ctx.write(DefaultHttpContent(body.readRetainedSlice(MAX_PART_BYTES))).recordIn(exchange)
        }
        return ctx.writeAndFlush(DefaultLastHttpContent(body)).recordIn(exchange)
    }

    private fun ChannelFuture.recordIn(exchange: ClientExchange): ChannelFuture =
        addListener { if (it.isSuccess) exchange.onPartSent(MonotonicTime.now()) }

    /** Releases the connection after a complete response, or closes it if it must not carry another exchange. */
    private fun onResponseComplete(
        exchange: ClientExchange,
        release: () -> Unit,
    ) {
        current = null
        unansweredBytes.onIdle()
        if (!exchange.canReuseConnection() || !canCarryAnother()) {
            ctx.close()
            return
        }
        staleAtNanos = exchange.keepAliveSeconds()?.let { System.nanoTime() + usableNanos(it) } ?: Long.MAX_VALUE
        // The read detects an unsolicited response and the close of the idle connection.
        demand.request(ctx)
        if (isActive) release()
    }

    private fun canCarryAnother(): Boolean = !carried.isFull && !decoder.hasUndecodedBytes && !decoder.isInputEnded

    /** Returns whether [head] is the response to a HEAD request in progress, and so has no body. */
    private fun answersHead(head: HttpResponse): Boolean {
        val exchange = current ?: return false
        return exchange.isHead && exchange.originOf(head) == ResponseOrigin.OWN
    }

    private fun onResponse(
        exchange: ClientExchange,
        head: HttpResponse,
    ) {
        when (exchange.originOf(head)) {
            ResponseOrigin.OWN -> startResponse(exchange, head)
            ResponseOrigin.EARLIER, ResponseOrigin.UNKNOWN -> skipOther(exchange, head)
        }
    }

    /** Skips a response that is not the awaited one, if it says where the next one begins. */
    private fun skipOther(
        exchange: ClientExchange,
        head: HttpResponse,
    ) {
        if (HttpUtil.isContentLengthSet(head) || HttpUtil.isTransferEncodingChunked(head)) {
            skipResponse()
        } else {
            abandon(exchange, "another response has no end")
        }
    }

    /** Ends [exchange] without a response, and the connection, whose next bytes may be of any response. */
    private fun abandon(
        exchange: ClientExchange,
        reason: String,
    ) {
        exchange.onConnectionLost(reason)
        ctx.close()
    }

    private fun startResponse(
        exchange: ClientExchange,
        head: HttpResponse,
    ) {
        unansweredBytes.onHead()
        exchange.onHead(head)
    }

    private fun skipResponse() {
        isSkipping = true
        demand.request(ctx)
    }

    private fun skipContent(
        exchange: ClientExchange,
        content: HttpContent,
    ) {
        val isMalformed = content.decoderResult().isFailure
        if (content is LastHttpContent) isSkipping = false
        content.release()
        if (isMalformed) abandon(exchange, "another response is malformed") else demand.request(ctx)
    }

    /** Closes the connection after a response that no request is waiting for. */
    private fun rejectUnsolicited(msg: Any) {
        ReferenceCountUtil.release(msg)
        ctx.close()
    }

    private fun usableNanos(seconds: Long): Long =
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
        // A request in flight when the server's idle timeout expires is lost; one hop takes a few milliseconds.
        val IDLE_MARGIN = 500.milliseconds

        // The size of a part of a request's body; a link of 1 Mbit/s carries it in 0.13 s.
        const val MAX_PART_BYTES = 16 * 1024
    }
}
