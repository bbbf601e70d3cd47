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

/** Serves the requests of one connection in sequence; its state changes on the event loop only. */
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
    private var isReadingHead = false
    private var isDiscarding = false

    @Volatile
    var isClosing: Boolean = false
        private set

    @Volatile
    var isBusy: Boolean = false
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
        demand.onMessage()
        if (isDiscarding) {
            ReferenceCountUtil.release(msg)
            demand.request(ctx)
            return
        }
        timer?.cancel(false)
        val current = call
        when {
            msg is HttpRequest && current == null -> begin(msg)
            msg is HttpRequest -> pending = msg
            msg is HttpContent && current != null -> onContent(current, msg)
            else -> ReferenceCountUtil.release(msg)
        }
    }

    override fun channelReadComplete(ctx: ChannelHandlerContext) {
        demand.reissue(ctx)
    }

    override fun channelInactive(ctx: ChannelHandlerContext) {
        timer?.cancel(false)
        call?.onConnectionLost()
        pending = null
    }

    override fun channelWritabilityChanged(ctx: ChannelHandlerContext) {
        if (ctx.channel().isWritable) call?.onWritable()
    }

    override fun exceptionCaught(
        ctx: ChannelHandlerContext,
        cause: Throwable,
    ) {
        ctx.close()
    }

    /** Starts the timeout of a request head at its first byte. */
    fun onBytesReceived() {
        if (call != null || isReadingHead || isDiscarding) return
        isReadingHead = true
        startTimer(limits.requestReadTimeout) { if (call == null) begin(INVALID_REQUEST, HEAD_TIMEOUT) }
    }

    /** Requests the next chunk of the body of [current] from the socket. */
    fun requestBody(current: ServerCall) {
        onLoop {
            if (call === current && !current.isBodyComplete) {
                startTimer(
                    limits.requestReadTimeout,
                ) { current.failBody("the sender was silent too long", ErrorKind.REQUEST_TIMEOUT) }
                demand.request(ctx)
            }
        }
    }

    /** Closes the connection after its next response. */
    fun closeAfterResponse() {
        isClosing = true
    }

    /** Closes the connection once no request is in progress. */
    fun closeWhenIdle() {
        isClosing = true
        onLoop { if (call == null && !isReadingHead) ctx.close() }
    }

    fun closeNow() {
        ctx.close()
    }

    private fun begin(
        request: HttpRequest,
        knownFailure: Failure? = null,
    ) {
        isReadingHead = false
        val failure = knownFailure ?: request.validateHead(limits)
        val next = ServerCall(ctx, this, limits, if (failure == null) request else INVALID_REQUEST, failure == null)
        call = next
        isBusy = true
        encoder.isHeadRequest = next.method == "HEAD"
        if (failure == null && next.hasNoBody) demand.request(ctx)
        scope.launch { run(next, failure) }
    }

    private suspend fun run(
        current: ServerCall,
        failure: Failure?,
    ) {
        try {
            if (failure == null) handler(current) else current.respondFailure(failure)
            if (!current.isResponseStarted) {
                current.respondFailure(
                    Failure(ErrorKind.INTERNAL, "the request was not answered"),
                )
            }
        } catch (e: CancellationException) {
            current.abort()
            throw e
        } catch (_: Exception) {
            if (current.isResponseStarted) current.abort() else current.respondFailure(INTERNAL_FAILURE)
        } finally {
            onLoop { end(current) }
        }
    }

    private fun end(current: ServerCall) {
        call = null
        isBusy = false
        if (!ctx.channel().isActive) return
        if (!current.isResponseComplete) {
            current.abort()
            return
        }
        if (!current.isConnectionReusable || !current.isBodyComplete) {
            discardRemainingInput()
            return
        }
        val next = pending
        pending = null
        if (next != null) begin(next) else awaitRequest()
    }

    private fun onContent(
        current: ServerCall,
        content: HttpContent,
    ) {
        current.onContent(content)
        // Keeps reading, so that a lost connection is detected while the handler runs.
        if (current.isBodyComplete) demand.request(ctx)
    }

    private fun awaitRequest() {
        startTimer(limits.keepAliveTimeout) { if (call == null) ctx.close() }
        demand.request(ctx)
    }

    /** Shuts down output and discards remaining input, because closing with unread input would reset the response. */
    private fun discardRemainingInput() {
        isDiscarding = true
        startTimer(DISCARD_TIMEOUT) { ctx.close() }
        (ctx.channel() as DuplexChannel).shutdownOutput()
        demand.request(ctx)
    }

    private fun onLoop(task: () -> Unit) {
        try {
            ctx.executor().execute(task)
        } catch (_: RejectedExecutionException) {
            // The event loop has shut down and closed the connection.
        }
    }

    private fun startTimer(
        delay: Duration,
        action: () -> Unit,
    ) {
        timer?.cancel(false)
        timer = ctx.executor().schedule(action, delay.inWholeMilliseconds, TimeUnit.MILLISECONDS)
    }

    private companion object {
        val DISCARD_TIMEOUT = 2.seconds
        val INTERNAL_FAILURE = Failure(ErrorKind.INTERNAL, "the server met an unexpected error")
        val HEAD_TIMEOUT = Failure(ErrorKind.REQUEST_TIMEOUT, "the request head did not arrive in time")
    }
}
