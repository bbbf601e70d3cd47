package org.agatestream.http

import io.netty.channel.ChannelHandlerContext
import io.netty.channel.ChannelInboundHandlerAdapter
import io.netty.handler.codec.TooLongFrameException
import io.netty.handler.codec.http.HttpContent
import io.netty.handler.codec.http.HttpRequest
import io.netty.handler.codec.http.LastHttpContent
import io.netty.handler.codec.http.TooLongHttpHeaderException
import io.netty.handler.codec.http.TooLongHttpLineException
import io.netty.util.ReferenceCountUtil
import io.netty.util.concurrent.ScheduledFuture
import kotlinx.coroutines.CancellationException
import kotlinx.coroutines.CoroutineScope
import kotlinx.coroutines.launch
import org.agatestream.core.ErrorKind
import org.agatestream.core.Failure
import java.util.concurrent.TimeUnit
import kotlin.time.Duration

/** Serves the requests of one connection, one after the other. */
internal class ServerConnection(
    private val limits: HttpLimits,
    private val scope: CoroutineScope,
    private val handler: suspend (HttpCall) -> Unit,
) : ChannelInboundHandlerAdapter() {
    private lateinit var ctx: ChannelHandlerContext
    private var call: ServerCall? = null
    private var pending: Any? = null
    private var timer: ScheduledFuture<*>? = null

    @Volatile
    private var closing = false

    @Volatile
    var busy: Boolean = false
        private set

    override fun channelActive(ctx: ChannelHandlerContext) {
        this.ctx = ctx
        awaitRequest()
    }

    override fun channelRead(
        ctx: ChannelHandlerContext,
        msg: Any,
    ) {
        timer?.cancel(false)
        val current = call
        when {
            msg is HttpRequest && current == null -> begin(msg)
            msg is HttpContent && current != null && !current.bodyComplete -> deliver(current, msg)
            current != null -> pending = msg
            else -> ReferenceCountUtil.release(msg)
        }
    }

    override fun channelInactive(ctx: ChannelHandlerContext) {
        timer?.cancel(false)
        call?.connectionLost()
        pending?.let { ReferenceCountUtil.release(it) }
        pending = null
    }

    override fun channelWritabilityChanged(ctx: ChannelHandlerContext) {
        if (ctx.channel().isWritable) call?.writable()
    }

    override fun exceptionCaught(
        ctx: ChannelHandlerContext,
        cause: Throwable,
    ) {
        ctx.close()
    }

    /** Asks the socket for the next piece of the running request's body. */
    fun requestBody() {
        ctx.executor().execute {
            startTimer(limits.senderTimeout) { call?.fail("the sender was silent too long") }
            ctx.read()
        }
    }

    fun closeWhenIdle() {
        closing = true
        ctx.executor().execute { if (call == null) ctx.close() }
    }

    fun closeNow() {
        ctx.close()
    }

    private fun begin(request: HttpRequest) {
        val cause = request.decoderResult().cause()
        val next = ServerCall(ctx, this, request)
        call = next
        busy = true
        if (cause != null) {
            scope.launch {
                next.respondFailure(toFailure(cause))
                ctx.close()
            }
            return
        }
        scope.launch { run(next) }
    }

    private suspend fun run(current: ServerCall) {
        try {
            handler(current)
            if (!current.answered) current.respondFailure(Failure(ErrorKind.INTERNAL, "the request was not answered"))
        } catch (e: CancellationException) {
            current.abort()
            throw e
        } catch (_: Exception) {
            if (current.answered) current.abort() else current.respondFailure(INTERNAL_FAILURE)
        } finally {
            ctx.executor().execute { end(current) }
        }
    }

    private fun end(current: ServerCall) {
        val reusable = current.finished && current.bodyComplete && current.keepAlive && !closing
        call = null
        busy = false
        if (!reusable) {
            ctx.close()
            return
        }
        val next = pending
        pending = null
        if (next is HttpRequest) begin(next) else awaitRequest()
    }

    private fun deliver(
        current: ServerCall,
        content: HttpContent,
    ) {
        current.deliver(content)
        // Reading on makes the loss of the connection visible while the answer is under way.
        if (content is LastHttpContent) ctx.read()
    }

    private fun awaitRequest() {
        startTimer(limits.keepAliveTimeout) { if (call == null) ctx.close() }
        ctx.read()
    }

    private fun startTimer(
        span: Duration,
        action: () -> Unit,
    ) {
        timer?.cancel(false)
        timer = ctx.executor().schedule(action, span.inWholeMilliseconds, TimeUnit.MILLISECONDS)
    }

    private fun toFailure(cause: Throwable): Failure =
        when (cause) {
            is TooLongHttpLineException, is TooLongHttpHeaderException, is TooLongFrameException -> {
                Failure(ErrorKind.HEAD_TOO_LARGE, "the request head exceeds ${limits.maxHeadBytes} bytes")
            }

            else -> {
                Failure(ErrorKind.MALFORMED_REQUEST, cause.message ?: "the request is no valid HTTP")
            }
        }
}

private val INTERNAL_FAILURE = Failure(ErrorKind.INTERNAL, "the server met an unexpected error")
