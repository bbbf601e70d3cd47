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
 * Forwards TCP connections to [target] over a simulated link; while the link is cut, bytes are queued.
 *
 * [stateOf] takes the caller's port and the relay's port of a new connection and returns a supplier of its link state.
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

    /** Host and port to connect to instead of the target's. */
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
                .handler(LinkHandler(caller, state))
                .connect(target)
        caller.pipeline().addLast(LinkHandler(callee.channel(), state))
        callee.addListener { if (it.isSuccess) caller.config().isAutoRead = true else caller.close() }
    }
}

/** Forwards the bytes received on one channel to [to]; both channels use the same event loop. */
private class LinkHandler(
    private val to: Channel,
    private val link: () -> LinkState,
) : ChannelInboundHandlerAdapter() {
    private val queue = ArrayDeque<Delivery>()

    override fun channelRead(
        ctx: ChannelHandlerContext,
        msg: Any,
    ) {
        enqueue(ctx, msg as ByteBuf)
    }

    override fun channelInactive(ctx: ChannelHandlerContext) {
        enqueue(ctx, null)
    }

    override fun exceptionCaught(
        ctx: ChannelHandlerContext,
        cause: Throwable,
    ) {
        ctx.close()
    }

    private fun enqueue(
        ctx: ChannelHandlerContext,
        bytes: ByteBuf?,
    ) {
        val delay = link().delay.inWholeNanoseconds
        queue.addLast(Delivery(System.nanoTime() + delay, bytes))
        if (delay == 0L) deliver(ctx) else scheduleDelivery(ctx, delay)
    }

    private fun deliver(ctx: ChannelHandlerContext) {
        while (queue.isNotEmpty()) {
            if (link().cut) return scheduleDelivery(ctx, CUT_RETRY_NANOS)
            val remainingNanos = queue.first.deliverAtNanos - System.nanoTime()
            if (remainingNanos > 0) return scheduleDelivery(ctx, remainingNanos)
            val bytes = queue.removeFirst().bytes
            if (bytes == null) to.close() else to.writeAndFlush(bytes)
        }
    }

    private fun scheduleDelivery(
        ctx: ChannelHandlerContext,
        nanos: Long,
    ) {
        ctx.channel().eventLoop().schedule({ deliver(ctx) }, nanos, TimeUnit.NANOSECONDS)
    }

    /** Queued bytes, or null for the close of the connection; [deliverAtNanos] is the delivery time in nanoseconds. */
    private class Delivery(
        val deliverAtNanos: Long,
        val bytes: ByteBuf?,
    )

    private companion object {
        const val CUT_RETRY_NANOS = 5_000_000L
    }
}
