package org.agatestream.server

import io.ktor.network.selector.SelectorManager
import io.ktor.network.sockets.ServerSocket
import io.ktor.network.sockets.Socket
import io.ktor.network.sockets.aSocket
import io.ktor.network.sockets.openReadChannel
import io.ktor.network.sockets.openWriteChannel
import io.micrometer.core.instrument.MeterRegistry
import io.micrometer.core.instrument.simple.SimpleMeterRegistry
import kotlinx.coroutines.CancellationException
import kotlinx.coroutines.CoroutineScope
import kotlinx.coroutines.Deferred
import kotlinx.coroutines.Dispatchers
import kotlinx.coroutines.SupervisorJob
import kotlinx.coroutines.async
import kotlinx.coroutines.cancel
import kotlinx.coroutines.delay
import kotlinx.coroutines.isActive
import kotlinx.coroutines.launch
import kotlinx.coroutines.sync.Semaphore
import kotlinx.coroutines.withTimeout
import kotlinx.coroutines.withTimeoutOrNull
import kotlinx.io.IOException
import org.agatestream.core.ListedVm
import org.agatestream.core.MonotonicTime
import org.agatestream.core.VmId
import java.util.concurrent.ConcurrentHashMap
import java.util.concurrent.CopyOnWriteArrayList
import kotlin.random.Random
import kotlin.time.Duration
import kotlin.time.Duration.Companion.milliseconds
import kotlin.time.Duration.Companion.seconds

// When a coordinator is named, all VMs connect to it at once: 620 at the size that the fleet is designed for.
private const val MAX_UNAUTHENTICATED_CONNECTIONS = 1024
private val HANDSHAKE_TIMEOUT: Duration = 2.seconds
private val IDLE_TIMEOUT: Duration = 60.seconds
private val IDLE_CHECK_INTERVAL: Duration = 10.seconds
private val MIN_BACKOFF: Duration = 50.milliseconds
private val MAX_BACKOFF: Duration = 2.seconds

/**
 * Sends requests between VMs over TCP with Ktor sockets, as length-prefixed CBOR frames.
 *
 * Two VMs share one connection, whichever opened it, and authenticate each other with the fleet secret first.
 * A request without a connection opens one; after a failed attempt, requests fail at once until the backoff has passed.
 */
public class KtorPeerNetwork(
    override val self: VmId,
    secret: ByteArray,
    registry: MeterRegistry = SimpleMeterRegistry(),
    private val random: Random = Random.Default,
    /** True to send messages that are queued at the same time in one frame. */
    private val batchesMessages: Boolean = true,
) : PeerTransport,
    AutoCloseable {
    private val selector = SelectorManager(Dispatchers.IO)
    private val scope = CoroutineScope(SupervisorJob() + Dispatchers.Default)
    private val handshake = PeerHandshake(self, secret)
    private val handlers = CopyOnWriteArrayList<PeerHandler>()
    private val addresses = ConcurrentHashMap<VmId, String>()
    private val connections = ConcurrentHashMap<VmId, PeerConnection>()
    private val openConnections = ConcurrentHashMap.newKeySet<PeerConnection>()
    private val dials = ConcurrentHashMap<String, Deferred<PeerConnection?>>()
    private val backoffs = ConcurrentHashMap<String, DialBackoff>()

    // The address at which another process proved its id, by the id of the process that listened there before.
    private val replaced = ConcurrentHashMap<VmId, String>()
    private val unauthenticated = Semaphore(MAX_UNAUTHENTICATED_CONNECTIONS)
    private var server: ServerSocket? = null

    internal val traffic = PeerTraffic(registry)

    /** The number of open connections to other VMs. */
    internal val connectionCount: Int get() = connections.size

    override fun addHandler(handler: PeerHandler) {
        handlers += handler
    }

    /** Replaces the addresses of other VMs; connections to VMs that are no longer listed close when they are idle. */
    override fun updateAddresses(vms: List<ListedVm>) {
        for (vm in vms) addresses[vm.id] = vm.peerAddress
        addresses.keys.retainAll(vms.mapTo(HashSet()) { it.id })
        replaced.keys.retainAll(addresses.keys)
    }

    /** A process listens before it is listed and until it ends, so another one at its address proves its end. */
    override fun isReplaced(vm: VmId): Boolean = replaced[vm].let { it != null && it == addresses[vm] }

    /** Listens on [host] and [port], or any free port if that is 0; returns the port. */
    public suspend fun listen(
        host: String,
        port: Int,
    ): Int {
        val bound = aSocket(selector).tcp().bind(host, port) { reuseAddress = true }
        server = bound
        scope.launch { acceptLoop(bound) }
        scope.launch { closeIdleLoop() }
        return (bound.localAddress as io.ktor.network.sockets.InetSocketAddress).port
    }

    override suspend fun call(
        peer: VmId,
        request: PeerRequest,
        timeout: Duration,
    ): PeerResponse? {
        if (peer == self) return withTimeoutOrNull(timeout) { answer(self, request) }
        connections[peer]?.takeIf { it.isOpen }?.let { return it.call(request, timeout) }
        val address = addresses[peer] ?: return null
        return callAddress(address, request, timeout, peer)
    }

    override suspend fun callAddress(
        address: String,
        request: PeerRequest,
        timeout: Duration,
        expected: VmId?,
    ): PeerResponse? {
        val startedAt = MonotonicTime.now()
        val connection = withTimeoutOrNull(timeout) { dial(address).await() } ?: return null
        if (expected != null && connection.peer != expected) {
            replaced[expected] = address
            return null
        }
        if (expected != null) replaced -= expected
        val left = timeout - (MonotonicTime.now() - startedAt)
        return if (left.isPositive()) connection.call(request, left) else null
    }

    override fun close() {
        scope.cancel()
        server?.close()
        openConnections.forEach { it.close() }
        selector.close()
    }

    private suspend fun answer(
        from: VmId,
        request: PeerRequest,
    ): PeerResponse? {
        for (handler in handlers) {
            try {
                handler.answer(from, request)?.let { return it }
            } catch (e: CancellationException) {
                throw e
            } catch (e: Exception) {
                EventLog.error("peer_request_failed", e, "peer" to from, "request" to request::class.simpleName)
                return null
            }
        }
        return null
    }

    private fun dial(address: String): Deferred<PeerConnection?> =
        dials.computeIfAbsent(address) {
            scope.async {
                try {
                    connect(address)
                } finally {
                    dials.remove(address)
                }
            }
        }

    private suspend fun connect(address: String): PeerConnection? {
        val backoff = backoffs.computeIfAbsent(address) { DialBackoff(MIN_BACKOFF, MAX_BACKOFF) }
        if (!backoff.mayDial(MonotonicTime.now())) return null
        val connection = tryConnect(address)
        backoff.onDialled(connection != null, MonotonicTime.now(), random)
        return connection
    }

    private suspend fun tryConnect(address: String): PeerConnection? {
        var socket: Socket? = null
        return try {
            withTimeout(HANDSHAKE_TIMEOUT) {
                val host = address.substringBeforeLast(':')
                val port = address.substringAfterLast(':').toInt()
                val opened = aSocket(selector).tcp().connect(host, port) { noDelay = true }
                socket = opened
                authenticate(opened, isInitiator = true)
            }
        } catch (e: Exception) {
            socket?.close()
            if (!scope.isActive) throw e
            EventLog.info("peer_dial_failed", "address" to address, "cause" to e.message)
            null
        }
    }

    private suspend fun acceptLoop(server: ServerSocket) {
        while (scope.isActive) {
            val socket = acceptOrNull(server) ?: return
            if (unauthenticated.tryAcquire()) scope.launch { accept(socket) } else socket.close()
        }
    }

    private suspend fun acceptOrNull(server: ServerSocket): Socket? =
        try {
            server.accept()
        } catch (e: IOException) {
            if (scope.isActive) EventLog.error("peer_accept_failed", e)
            null
        }

    private suspend fun accept(socket: Socket) {
        try {
            withTimeout(HANDSHAKE_TIMEOUT) { authenticate(socket, isInitiator = false) }
        } catch (e: Exception) {
            socket.close()
            EventLog.warn("peer_refused", "cause" to e.message)
        } finally {
            unauthenticated.release()
        }
    }

    private suspend fun authenticate(
        socket: Socket,
        isInitiator: Boolean,
    ): PeerConnection {
        val input = socket.openReadChannel()
        val output = socket.openWriteChannel(autoFlush = false)
        val peer = handshake.run(input, output, isInitiator)
        val connection =
            PeerConnection(
                peer,
                isInitiator,
                socket,
                input,
                output,
                scope,
                traffic,
                batchesMessages,
                PeerHandler(::answer),
            )
        // If both VMs connected at once, the second connection stays open for its initiator's requests until idle.
        connections.merge(peer, connection) { old, new -> if (old.isOpen) old else new }
        openConnections += connection
        connection.start {
            connections.remove(peer, it)
            openConnections -= it
        }
        return connection
    }

    private suspend fun closeIdleLoop() {
        while (scope.isActive) {
            delay(IDLE_CHECK_INTERVAL)
            val now = MonotonicTime.now()
            openConnections.filter { now - it.lastUsedAt > IDLE_TIMEOUT }.forEach { it.close() }
            backoffs.keys.retainAll(addresses.values.toSet())
        }
    }
}
