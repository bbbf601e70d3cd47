package org.agatestream.server

import io.ktor.network.sockets.Socket
import io.ktor.utils.io.ByteReadChannel
import io.ktor.utils.io.ByteWriteChannel
import kotlinx.coroutines.CompletableDeferred
import kotlinx.coroutines.CoroutineScope
import kotlinx.coroutines.CoroutineStart
import kotlinx.coroutines.channels.Channel
import kotlinx.coroutines.launch
import kotlinx.coroutines.sync.Semaphore
import kotlinx.coroutines.withTimeoutOrNull
import org.agatestream.core.MonotonicTime
import org.agatestream.core.VmId
import java.util.concurrent.ConcurrentHashMap
import java.util.concurrent.atomic.AtomicBoolean
import java.util.concurrent.atomic.AtomicLong
import kotlin.time.Duration
import kotlin.time.Duration.Companion.seconds

private const val MAX_QUEUED_MESSAGES = 1024
private const val MAX_MESSAGES_PER_FRAME = 128
private const val MAX_CONCURRENT_REQUESTS = 256
private val UNRESPONSIVE_TIMEOUT: Duration = 3.seconds

/** An authenticated connection to one VM, which carries requests in both directions. */
internal class PeerConnection(
    val peer: VmId,
    val isInitiator: Boolean,
    private val socket: Socket,
    private val input: ByteReadChannel,
    private val output: ByteWriteChannel,
    private val scope: CoroutineScope,
    private val traffic: PeerTraffic,
    /** True to send messages that are queued at the same time in one frame. */
    private val batchesMessages: Boolean,
    private val handler: PeerHandler,
) {
    private val sendQueue = Channel<PeerMessage>(MAX_QUEUED_MESSAGES)
    private val pendingResponses = ConcurrentHashMap<Long, CompletableDeferred<PeerResponse?>>()
    private val ids = AtomicLong()
    private val requestPermits = Semaphore(MAX_CONCURRENT_REQUESTS)
    private val closed = AtomicBoolean()

    @Volatile
    private var lastReceivedAt = MonotonicTime.now()

    @Volatile
    var lastUsedAt: MonotonicTime = MonotonicTime.now()
        private set

    val isOpen: Boolean get() = !closed.get()

    /** Starts reading and writing; [onClose] runs once, when the connection ends. */
    fun start(onClose: (PeerConnection) -> Unit) {
        scope.launch { runUntilFailure("write") { writeLoop() } }
        scope.launch {
            runUntilFailure("read") { readLoop() }
            onClose(this@PeerConnection)
        }
    }

    /** Sends [request] and returns the answer; null if none arrived within [timeout] or before the connection ended. */
    suspend fun call(
        request: PeerRequest,
        timeout: Duration,
    ): PeerResponse? {
        val id = ids.incrementAndGet()
        val response = CompletableDeferred<PeerResponse?>()
        lastUsedAt = MonotonicTime.now()
        pendingResponses[id] = response
        try {
            if (!send(PeerMessage.Request(id, request)) || closed.get()) return null
            val answer = withTimeoutOrNull(timeout) { response.await() }
            if (answer == null) closeIfUnresponsive()
            return answer
        } finally {
            pendingResponses.remove(id)
        }
    }

    /** Closes the connection; pending requests get no answer. */
    fun close() {
        if (!closed.compareAndSet(false, true)) return
        sendQueue.close()
        socket.close()
        for (response in pendingResponses.values) response.complete(null)
    }

    private fun send(message: PeerMessage): Boolean {
        val isSent = sendQueue.trySend(message).isSuccess
        if (!isSent) traffic.dropped.increment()
        return isSent
    }

    private fun closeIfUnresponsive() {
        if (MonotonicTime.now() - lastReceivedAt > UNRESPONSIVE_TIMEOUT) close()
    }

    private suspend fun runUntilFailure(
        name: String,
        block: suspend () -> Unit,
    ) {
        try {
            block()
        } catch (e: Exception) {
            if (isOpen) EventLog.info("peer_connection_ended", "peer" to peer, "in" to name, "cause" to e.message)
        } finally {
            close()
        }
    }

    private suspend fun writeLoop() {
        for (first in sendQueue) {
            val messages = arrayListOf(first)
            while (batchesMessages && messages.size < MAX_MESSAGES_PER_FRAME) {
                messages += sendQueue.tryReceive().getOrNull() ?: break
            }
            write(messages)
        }
    }

    private suspend fun write(messages: List<PeerMessage>) {
        val bytes = PeerFrame.serializer().toCbor(PeerFrame(messages))
        if (bytes.size <= MAX_FRAME_BYTES) {
            output.writeFrame(bytes)
            traffic.sentBytes.add(bytes.size.toLong() + FRAME_HEADER_BYTES)
            traffic.sentFrames.increment()
            traffic.sentMessages.add(messages.size.toLong())
        } else if (messages.size > 1) {
            messages.forEach { write(listOf(it)) }
        } else {
            traffic.dropped.increment()
            EventLog.warn("peer_message_too_large", "peer" to peer, "bytes" to bytes.size)
        }
    }

    private suspend fun readLoop() {
        while (isOpen) {
            val bytes = input.readFrame(MAX_FRAME_BYTES)
            lastReceivedAt = MonotonicTime.now()
            traffic.receivedBytes.add(bytes.size.toLong() + FRAME_HEADER_BYTES)
            PeerFrame
                .serializer()
                .parseCbor(bytes)
                .messages
                .forEach(::receive)
        }
    }

    private fun receive(message: PeerMessage) {
        when (message) {
            is PeerMessage.Response -> pendingResponses.remove(message.id)?.complete(message.response)
            is PeerMessage.Request -> answer(message)
        }
    }

    private fun answer(message: PeerMessage.Request) {
        lastUsedAt = MonotonicTime.now()
        if (!requestPermits.tryAcquire()) {
            traffic.dropped.increment()
            return
        }
        // Undispatched, so that handlers receive the requests of a connection in the order in which they were sent.
        scope.launch(start = CoroutineStart.UNDISPATCHED) {
            try {
                send(PeerMessage.Response(message.id, handler.answer(peer, message.request)))
            } finally {
                requestPermits.release()
            }
        }
    }
}
