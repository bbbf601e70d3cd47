package org.agatestream.standin

import io.netty.bootstrap.Bootstrap
import io.netty.bootstrap.ServerBootstrap
import io.netty.buffer.ByteBuf
import io.netty.channel.Channel
import io.netty.channel.ChannelHandlerContext
import io.netty.channel.ChannelInboundHandlerAdapter
import io.netty.channel.ChannelInitializer
import io.netty.channel.ChannelOption
import io.netty.channel.EventLoopGroup
import io.netty.channel.socket.SocketChannel
import io.netty.channel.socket.nio.NioServerSocketChannel
import io.netty.channel.socket.nio.NioSocketChannel
import java.net.InetAddress
import java.net.InetSocketAddress
import java.util.ArrayDeque
import java.util.concurrent.TimeUnit

/**
 * Forwards TCP connections to [target] with a delay; while cut it holds the bytes back and delivers them late.
 *
 * [stateOf] gives the state of the network for the port that a connection comes from and the port of the relay.
 */
internal class Relay(
    private val group: EventLoopGroup,
    private val target: InetSocketAddress,
    private val stateOf: (Int, Int) -> () -> LinkState,
) : AutoCloseable {
    private val listener: Channel =
        ServerBootstrap()
            .group(group)
            .channel(NioServerSocketChannel::class.java)
            .childOption(ChannelOption.AUTO_READ, false)
            .childOption(ChannelOption.TCP_NODELAY, true)
            .childHandler(
                object : ChannelInitializer<SocketChannel>() {
                    override fun initChannel(ch: SocketChannel) = connect(ch)
                },
            ).bind(InetSocketAddress(InetAddress.getLoopbackAddress(), 0))
            .sync()
            .channel()

    /** Host and port to connect to in place of the target's. */
    val address: String = "127.0.0.1:${(listener.localAddress() as InetSocketAddress).port}"

    override fun close() {
        listener.close()
    }

    private fun connect(caller: SocketChannel) {
        val state = stateOf(caller.remoteAddress().port, caller.localAddress().port)
        val callee =
            Bootstrap()
                .group(caller.eventLoop())
                .channel(NioSocketChannel::class.java)
                .option(ChannelOption.TCP_NODELAY, true)
                .handler(Pipe(caller, state))
                .connect(target)
        caller.pipeline().addLast(Pipe(callee.channel(), state))
        callee.addListener { if (it.isSuccess) caller.config().isAutoRead = true else caller.close() }
    }
}

/** Carries the bytes that come in on one channel to [to]; both channels share an event loop. */
private class Pipe(
    private val to: Channel,
    private val link: () -> LinkState,
) : ChannelInboundHandlerAdapter() {
    private val held = ArrayDeque<Held>()

    override fun channelRead(
        ctx: ChannelHandlerContext,
        msg: Any,
    ) {
        hold(ctx, msg as ByteBuf)
    }

    override fun channelInactive(ctx: ChannelHandlerContext) {
        hold(ctx, null)
    }

    override fun exceptionCaught(
        ctx: ChannelHandlerContext,
        cause: Throwable,
    ) {
        ctx.close()
    }

    private fun hold(
        ctx: ChannelHandlerContext,
        bytes: ByteBuf?,
    ) {
        val delay = link().delay.inWholeNanoseconds
        held.addLast(Held(System.nanoTime() + delay, bytes))
        if (delay == 0L) deliver(ctx) else deliverAfter(ctx, delay)
    }

    private fun deliver(ctx: ChannelHandlerContext) {
        while (held.isNotEmpty()) {
            if (link().cut) return deliverAfter(ctx, RETRY_NANOS)
            val left = held.first.due - System.nanoTime()
            if (left > 0) return deliverAfter(ctx, left)
            val bytes = held.removeFirst().bytes
            if (bytes == null) to.close() else to.writeAndFlush(bytes)
        }
    }

    private fun deliverAfter(
        ctx: ChannelHandlerContext,
        nanos: Long,
    ) {
        ctx.channel().eventLoop().schedule({ deliver(ctx) }, nanos, TimeUnit.NANOSECONDS)
    }

    /** Bytes that are due at a time, or the end of the connection. */
    private class Held(
        val due: Long,
        val bytes: ByteBuf?,
    )

    private companion object {
        const val RETRY_NANOS = 5_000_000L
    }
}
