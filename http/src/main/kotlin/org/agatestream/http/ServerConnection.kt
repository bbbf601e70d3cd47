package org.agatestream.http

import io.netty.channel.ChannelHandlerContext
import io.netty.channel.ChannelInboundHandlerAdapter
import io.netty.channel.socket.DuplexChannel
import io.netty.handler.codec.http.HttpContent
import io.netty.handler.codec.http.HttpRequest
import io.netty.util.ReferenceCountUtil
import io.netty.util.concurrent.ScheduledFuture
import kotlinx.coroutines.CancellationException
import kotlinx.coroutines.CoroutineScope
import kotlinx.coroutines.launch
import org.agatestream.core.ErrorKind
import org.agatestream.core.Failure
import java.util.concurrent.RejectedExecutionException
import java.util.concurrent.TimeUnit
import kotlin.time.Duration
import kotlin.time.Duration.Companion.seconds

/** Serves the requests of one connection, one after the other; its state changes on the event loop only. */
internal class ServerConnection(
    private val limits: HttpLimits,
    private val encoder: ResponseEncoder,
    private val scope: CoroutineScope,
    private val handler: suspend (HttpCall) -> Unit,
) : ChannelInboundHandlerAdapter() {
    private lateinit var ctx: ChannelHandlerContext
    private val demand = ReadDemand()
    private var call: ServerCall? = null
    private var pending: HttpRequest? = null
    private var timer: ScheduledFuture<*>? = null
    private var headArriving = false
    private var discarding = false

    @Volatile
    var closing: Boolean = false
        private set

    @Volatile
    var busy: Boolean = false
        private set

    override fun handlerAdded(ctx: ChannelHandlerContext) {
        this.ctx = ctx
    }

    override fun channelActive(ctx: ChannelHandlerContext) {
        awaitRequest()
    }

    override fun channelRead(
        ctx: ChannelHandlerContext,
        msg: Any,
    ) {
        demand.meet()
        if (discarding) {
            ReferenceCountUtil.release(msg)
            demand.request(ctx)
            return
        }
        timer?.cancel(false)
        val current = call
        when {
            msg is HttpRequest && current == null -> begin(msg)
            msg is HttpRequest -> pending = msg
            msg is HttpContent && current != null -> deliver(current, msg)
            else -> ReferenceCountUtil.release(msg)
        }
    }

    override fun channelReadComplete(ctx: ChannelHandlerContext) {
        demand.renew(ctx)
    }

    override fun channelInactive(ctx: ChannelHandlerContext) {
        timer?.cancel(false)
        call?.connectionLost()
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

    /** Bounds the time that a request head may take from its first byte. */
    fun bytesArrived() {
        if (call != null || headArriving || discarding) return
        headArriving = true
        startTimer(limits.senderTimeout) { if (call == null) begin(UNREADABLE_REQUEST, SLOW_HEAD) }
    }

    /** Asks the socket for the next piece of the body of [current]. */
    fun requestBody(current: ServerCall) {
        onLoop {
            if (call === current && !current.bodyComplete) {
                startTimer(
                    limits.senderTimeout,
                ) { current.fail("the sender was silent too long", ErrorKind.REQUEST_TIMEOUT) }
                demand.request(ctx)
            }
        }
    }

    /** Closes the connection after its next answer. */
    fun closeAfterAnswer() {
        closing = true
    }

    /** Closes the connection once no request is under way. */
    fun closeWhenIdle() {
        closing = true
        onLoop { if (call == null && !headArriving) ctx.close() }
    }

    fun closeNow() {
        ctx.close()
    }

    private fun begin(
        request: HttpRequest,
        known: Failure? = null,
    ) {
        headArriving = false
        val fault = known ?: request.findFault(limits)
        val next = ServerCall(ctx, this, limits, if (fault == null) request else UNREADABLE_REQUEST, fault == null)
        call = next
        busy = true
        encoder.headRequest = next.method == "HEAD"
        if (fault == null && next.bodiless) demand.request(ctx)
        scope.launch { run(next, fault) }
    }

    private suspend fun run(
        current: ServerCall,
        fault: Failure?,
    ) {
        try {
            if (fault == null) handler(current) else current.respondFailure(fault)
            if (!current.answered) current.respondFailure(Failure(ErrorKind.INTERNAL, "the request was not answered"))
        } catch (e: CancellationException) {
            current.abort()
            throw e
        } catch (_: Exception) {
            if (current.answered) current.abort() else current.respondFailure(INTERNAL_FAILURE)
        } finally {
            onLoop { end(current) }
        }
    }

    private fun end(current: ServerCall) {
        call = null
        busy = false
        if (!ctx.channel().isActive) return
        if (!current.finished) {
            current.abort()
            return
        }
        if (!current.reusable || !current.bodyComplete) {
            discardRest()
            return
        }
        val next = pending
        pending = null
        if (next != null) begin(next) else awaitRequest()
    }

    private fun deliver(
        current: ServerCall,
        content: HttpContent,
    ) {
        current.deliver(content)
        // Reading on makes the loss of the connection visible while the answer is under way.
        if (current.bodyComplete) demand.request(ctx)
    }

    private fun awaitRequest() {
        startTimer(limits.keepAliveTimeout) { if (call == null) ctx.close() }
        demand.request(ctx)
    }

    /** Closes the sending side and takes in what is still sent, so that the answer is not lost by a reset. */
    private fun discardRest() {
        discarding = true
        startTimer(DISCARD_TIMEOUT) { ctx.close() }
        (ctx.channel() as DuplexChannel).shutdownOutput()
        demand.request(ctx)
    }

    private fun onLoop(task: () -> Unit) {
        try {
            ctx.executor().execute(task)
        } catch (_: RejectedExecutionException) {
            // The threads have been stopped, and with them every connection.
        }
    }

    private fun startTimer(
        span: Duration,
        action: () -> Unit,
    ) {
        timer?.cancel(false)
        timer = ctx.executor().schedule(action, span.inWholeMilliseconds, TimeUnit.MILLISECONDS)
    }

    private companion object {
        val DISCARD_TIMEOUT = 2.seconds
        val INTERNAL_FAILURE = Failure(ErrorKind.INTERNAL, "the server met an unexpected error")
        val SLOW_HEAD = Failure(ErrorKind.REQUEST_TIMEOUT, "the request head did not arrive in time")
    }
}
