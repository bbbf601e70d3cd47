package org.agatestream.http

import io.netty.bootstrap.Bootstrap
import io.netty.channel.ChannelFuture
import io.netty.channel.ChannelInitializer
import io.netty.channel.ChannelOption
import io.netty.channel.ConnectTimeoutException
import io.netty.channel.socket.SocketChannel
import io.netty.channel.socket.nio.NioSocketChannel
import io.netty.handler.codec.http.HttpRequestEncoder
import io.netty.handler.flow.FlowControlHandler
import kotlinx.coroutines.CancellationException
import java.net.ConnectException
import java.net.InetSocketAddress
import java.util.ArrayDeque
import java.util.concurrent.ConcurrentHashMap
import kotlin.time.Duration
import kotlin.time.Duration.Companion.seconds

/** A request to a backend server or to the platform. */
public class HttpRequestSpec(
    /** Host and port, for example `127.0.0.1:8080`. */
    public val address: String,
    public val method: String,
    public val target: String,
    public val headers: List<Pair<String, String>> = emptyList(),
    public val body: ByteArray = ByteArray(0),
    /** True to open a new connection instead of reusing an idle one, which the server may be closing. */
    public val newConnection: Boolean = false,
    /**
     * A header that the server echoes; a response with another value is a late one to an earlier request.
     *
     * A response without it counts only if no earlier request was sent on the connection; otherwise it is skipped, and
     * the exchange is lost if such a response does not say where it ends.
     */
    public val echoedHeader: Pair<String, String>? = null,
    /**
     * The longest time for which no byte may move: none of the request, of the body of the response while it is read,
     * or none in between while the server prepares the response. A transfer that goes on is not cut, however long it
     * takes. Null if the caller alone bounds the exchange.
     */
    public val stallTimeout: Duration? = null,
)

/** The outcome of sending a request. */
public sealed interface ExchangeResult {
    /** The head of a response arrived; its body is read through [response]. */
    public class Answered(
        public val response: HttpClientResponse,
    ) : ExchangeResult

    /** No byte of the request was sent, so the server cannot have run it. */
    public data class NotSent(
        public val reason: String,
    ) : ExchangeResult

    /** The request was sent but no response arrived; it may have run. */
    public data class Lost(
        public val reason: String,
    ) : ExchangeResult
}

/** The response to a request; must be closed unless its body was read to the end. */
public interface HttpClientResponse : BodySource {
    public val status: Int

    /** True if the head says where the body ends; else the body ends with the connection, and may have been cut. */
    public val isBodyDelimited: Boolean

    /** Returns the first value of the header [name], or null. */
    public fun header(name: String): String?

    /** Returns all header fields in order; names are in lower case. */
    public fun headers(): List<Pair<String, String>>

    /** Closes the connection if the body was not read to its end. */
    public fun close()
}

/**
 * An HTTP/1.1 client.
 *
 * A connection carries one request at a time and is reused only after its response was read to the end, so that a
 * late response cannot be delivered to another request.
 */
public class HttpClient(
    loops: EventLoops,
    connectTimeout: Duration = 1.seconds,
    private val maxIdlePerAddress: Int = 64,
) {
    private val idle = ConcurrentHashMap<String, ArrayDeque<ClientConnection>>()
    private val bootstrap =
        Bootstrap()
            .group(loops.group)
            .channel(NioSocketChannel::class.java)
            .option(ChannelOption.CONNECT_TIMEOUT_MILLIS, connectTimeout.inWholeMilliseconds.toInt())
            .option(ChannelOption.AUTO_READ, false)
            // Tells an orderly close by the server from any other end, and delivers what came before it.
            .option(ChannelOption.ALLOW_HALF_CLOSURE, true)
            .option(ChannelOption.TCP_NODELAY, true)
            .option(ChannelOption.SO_SNDBUF, SEND_BUFFER_BYTES)
            .option(ChannelOption.ALLOCATOR, loops.allocator)
            .handler(
                object : ChannelInitializer<SocketChannel>() {
                    override fun initChannel(ch: SocketChannel) {
                        val limit = UnansweredBytesLimit()
                        val connection = ClientConnection(limit)
                        ch.pipeline().addLast(
                            limit,
                            HttpRequestEncoder(),
                            connection.decoder,
                            FlowControlHandler(),
                            connection,
                        )
                    }
                },
            )

    /** Sends [request] and waits for the head of the response; cancellation closes the connection. */
    public suspend fun exchange(request: HttpRequestSpec): ExchangeResult {
        val address =
            parseAddressOrNull(request.address)
                ?: return ExchangeResult.NotSent("${request.address} is no address")
        val connection =
            takeIdle(request)
                ?: connect(address)
                ?: return ExchangeResult.NotSent("the connection was refused")
        return connection.exchange(request) { release(request.address, connection) }
    }

    /** Returns whether nothing listens at [address]; false if it can't be told within the timeout of a connection. */
    public suspend fun isRefused(address: String): Boolean {
        val future = connectFuture(parseAddressOrNull(address) ?: return false)
        if (future.isSuccess) future.channel().close()
        return future.cause() is ConnectException && future.cause() !is ConnectTimeoutException
    }

    private suspend fun connect(address: InetSocketAddress): ClientConnection? {
        val future = connectFuture(address)
        // A connection that is closed at once has no handlers any more.
        return if (future.isSuccess) future.channel().pipeline().get(ClientConnection::class.java) else null
    }

    /** Returns the completed attempt to connect to [address]. */
    private suspend fun connectFuture(address: InetSocketAddress): ChannelFuture {
        val future = bootstrap.connect(address)
        try {
            future.awaitDone()
            return future
        } catch (e: CancellationException) {
            future.addListener { future.channel().close() }
            throw e
        }
    }

    private fun takeIdle(request: HttpRequestSpec): ClientConnection? {
        if (request.newConnection) return null
        val queue = idle[request.address] ?: return null
        synchronized(queue) {
            while (true) {
                val connection = queue.pollFirst() ?: return null
                if (connection.isActive && !connection.isStale && !connection.mayConfuse(request)) return connection
                connection.close()
            }
        }
    }

    private fun release(
        address: String,
        connection: ClientConnection,
    ) {
        val queue = idle.computeIfAbsent(address) { ArrayDeque() }
        synchronized(queue) {
            if (queue.size < maxIdlePerAddress &&
                connection.isActive
            ) {
                queue.addFirst(connection)
            } else {
                connection.close()
            }
        }
    }

    private companion object {
        // A server's progress in reading a request is seen only once the buffer is full.
        const val SEND_BUFFER_BYTES = 64 * 1024
    }
}

/**
 * Parses `host:port`.
 *
 * @throws IllegalArgumentException if the text has another form or a port that does not exist
 */
public fun parseAddress(text: String): InetSocketAddress =
    requireNotNull(parseAddressOrNull(text)) { "$text is no address" }

/** Parses `host:port`; returns null if the text has another form or a port that does not exist. */
public fun parseAddressOrNull(text: String): InetSocketAddress? {
    val host = text.substringBeforeLast(':', missingDelimiterValue = "")
    val port = text.substringAfterLast(':').toIntOrNull()
    return if (host.isEmpty() || port == null || port !in PORTS) null else InetSocketAddress(host, port)
}

// Port 0 stands for any free port of a listener.
private val PORTS = 0..65_535
