package org.agatestream.http

import io.netty.bootstrap.ServerBootstrap
import io.netty.buffer.ByteBufAllocator
import io.netty.buffer.UnpooledByteBufAllocator
import io.netty.channel.Channel
import io.netty.channel.ChannelInitializer
import io.netty.channel.ChannelOption
import io.netty.channel.MultiThreadIoEventLoopGroup
import io.netty.channel.nio.NioIoHandler
import io.netty.channel.socket.SocketChannel
import io.netty.channel.socket.nio.NioServerSocketChannel
import io.netty.handler.flow.FlowControlHandler
import kotlinx.coroutines.CoroutineDispatcher
import kotlinx.coroutines.CoroutineScope
import kotlinx.coroutines.asCoroutineDispatcher
import java.net.InetSocketAddress
import java.util.concurrent.ConcurrentHashMap
import java.util.concurrent.TimeUnit
import java.util.concurrent.atomic.AtomicBoolean
import kotlin.time.Duration.Companion.milliseconds

/** The threads that all sockets of this process share. */
public class EventLoops(
    threads: Int = 0,
) {
    internal val group = MultiThreadIoEventLoopGroup(threads, NioIoHandler.newFactory())

    // Pools reserve megabytes a thread, and an entry VM has few.
    internal val allocator: ByteBufAllocator = UnpooledByteBufAllocator(false, true)

    /** Runs coroutines on one of the threads. */
    public val dispatcher: CoroutineDispatcher = group.next().asCoroutineDispatcher()

    /** Stops the threads; open connections are closed. */
    public fun close() {
        group.shutdownGracefully(0, 1, TimeUnit.SECONDS)
    }
}

/** An HTTP/1.1 server that runs [handler] in a coroutine for each request. */
public class HttpServer private constructor(
    private val channel: Channel,
    private val connections: MutableSet<ServerConnection>,
    private val closing: AtomicBoolean,
    private val stopped: AtomicBoolean,
) {
    /** The port the server listens on. */
    public val port: Int
        get() = (channel.localAddress() as InetSocketAddress).port

    /** The number of requests that have not been answered in full. */
    public val runningCalls: Int
        get() = connections.count { it.busy }

    /** Closes each connection after its next answer, which says so; new connections are still taken. */
    public fun announceClose() {
        closing.set(true)
        connections.forEach { it.closeAfterAnswer() }
    }

    /** Takes no new connections; open ones are closed after the answer under way. */
    public fun stopAccepting() {
        val closed = channel.newPromise()
        val loop = channel.eventLoop()
        // The loop accepts between the two tasks; what is not accepted when the listener closes is reset.
        loop.execute {
            loop.schedule(
                { channel.close(closed) },
                ACCEPT_PASS.inWholeMilliseconds,
                TimeUnit.MILLISECONDS,
            )
        }
        closed.syncUninterruptibly()
        stopped.set(true)
        connections.forEach { it.closeWhenIdle() }
    }

    /** Closes every connection at once. */
    public fun closeNow() {
        channel.close()
        connections.forEach { it.closeNow() }
    }

    public companion object {
        /** Listens on [bind] and runs [handler] in [scope] for each request. */
        public fun start(
            loops: EventLoops,
            bind: InetSocketAddress,
            limits: HttpLimits,
            scope: CoroutineScope,
            handler: suspend (HttpCall) -> Unit,
        ): HttpServer {
            val connections = ConcurrentHashMap.newKeySet<ServerConnection>()
            val closing = AtomicBoolean()
            val stopped = AtomicBoolean()
            val initializer =
                object : ChannelInitializer<SocketChannel>() {
                    override fun initChannel(ch: SocketChannel) {
                        val encoder = ResponseEncoder()
                        val connection = ServerConnection(limits, encoder, scope, handler)
                        if (closing.get()) connection.closeAfterAnswer()
                        ch.pipeline().addLast(StrictRequestDecoder(limits, connection::bytesArrived), encoder)
                        ch.pipeline().addLast(FlowControlHandler(), connection)
                        connections.add(connection)
                        ch.closeFuture().addListener { connections.remove(connection) }
                        if (stopped.get()) connection.closeWhenIdle()
                    }
                }
            val channel =
                ServerBootstrap()
                    .group(loops.group)
                    .channel(NioServerSocketChannel::class.java)
                    .option(ChannelOption.SO_BACKLOG, ACCEPT_BACKLOG)
                    .childOption(ChannelOption.ALLOCATOR, loops.allocator)
                    .childOption(ChannelOption.AUTO_READ, false)
                    .childOption(ChannelOption.TCP_NODELAY, true)
                    .childHandler(initializer)
                    .bind(bind)
                    .sync()
                    .channel()
            return HttpServer(channel, connections, closing, stopped)
        }
    }
}

private const val ACCEPT_BACKLOG = 1_024

/** Any span that ends after the loop's next pass; a timer that is due runs after the pass's input. */
private val ACCEPT_PASS = 1.milliseconds
