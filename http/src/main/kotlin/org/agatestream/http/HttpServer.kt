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

/** The event loop threads that serve a set of clients and servers. */
public class EventLoops(
    threads: Int = 0,
) {
    internal val group = MultiThreadIoEventLoopGroup(threads, NioIoHandler.newFactory())

    // A pooled allocator reserves megabytes per thread, and an entry VM has little memory.
    internal val allocator: ByteBufAllocator = UnpooledByteBufAllocator(false, true)

    /** Runs coroutines on one of the event loop threads. */
    public val dispatcher: CoroutineDispatcher = group.next().asCoroutineDispatcher()

    /** Stops the threads and closes all connections. */
    public fun close() {
        group.shutdownGracefully(0, 1, TimeUnit.SECONDS)
    }
}

/** An HTTP/1.1 server that runs a handler in a coroutine for each request. */
public class HttpServer private constructor(
    private val channel: Channel,
    private val connections: MutableSet<ServerConnection>,
    private val isDraining: AtomicBoolean,
    private val isStopped: AtomicBoolean,
) {
    /** The port the server listens on. */
    public val port: Int
        get() = (channel.localAddress() as InetSocketAddress).port

    /** The number of requests whose responses are not complete. */
    public val runningCalls: Int
        get() = connections.count { it.isBusy }

    /** Closes each connection after its next response, which says so; new connections are still accepted. */
    public fun announceClose() {
        isDraining.set(true)
        connections.forEach { it.closeAfterResponse() }
    }

    /** Stops accepting connections and closes open ones once they are idle. */
    public fun stopAccepting() {
        val closed = channel.newPromise()
        val loop = channel.eventLoop()
        // Lets the event loop accept pending connections first: closing the listener resets those still in its backlog.
        loop.execute {
            loop.schedule(
                { channel.close(closed) },
                ACCEPT_DELAY.inWholeMilliseconds,
                TimeUnit.MILLISECONDS,
            )
        }
        closed.syncUninterruptibly()
        isStopped.set(true)
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
            val isDraining = AtomicBoolean()
            val isStopped = AtomicBoolean()
            val initializer =
                object : ChannelInitializer<SocketChannel>() {
                    override fun initChannel(ch: SocketChannel) {
                        val encoder = ResponseEncoder()
                        val connection = ServerConnection(limits, encoder, scope, handler)
                        if (isDraining.get()) connection.closeAfterResponse()
                        ch.pipeline().addLast(StrictRequestDecoder(limits, connection::onBytesReceived), encoder)
                        ch.pipeline().addLast(FlowControlHandler(), connection)
                        connections.add(connection)
                        ch.closeFuture().addListener { connections.remove(connection) }
                        if (isStopped.get()) connection.closeWhenIdle()
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
            return HttpServer(channel, connections, isDraining, isStopped)
        }
    }
}

private const val ACCEPT_BACKLOG = 1_024

/** Any positive delay works: expired timers run after the input of the same event loop iteration. */
private val ACCEPT_DELAY = 1.milliseconds
