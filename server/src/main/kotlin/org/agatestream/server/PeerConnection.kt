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

private const val MAX_WAITING_MESSAGES = 1024
private const val MAX_MESSAGES_PER_FRAME = 128
private const val MAX_RUNNING_ASKS = 256
private val SILENCE_LIMIT: Duration = 3.seconds

/** A proved connection to one VM, which carries the asks of both sides. */
internal class PeerConnection(
    val peer: VmId,
    val isDialled: Boolean,
    private val socket: Socket,
    private val input: ByteReadChannel,
    private val output: ByteWriteChannel,
    private val scope: CoroutineScope,
    private val traffic: PeerTraffic,
    /** True to send messages that wait at the same time in one frame. */
    private val gathers: Boolean,
    private val handler: PeerHandler,
) {
    private val outbox = Channel<PeerMessage>(MAX_WAITING_MESSAGES)
    private val pending = ConcurrentHashMap<Long, CompletableDeferred<PeerAnswer?>>()
    private val ids = AtomicLong()
    private val running = Semaphore(MAX_RUNNING_ASKS)
    private val closed = AtomicBoolean()

    @Volatile
    private var receivedAt = MonotonicTime.now()

    @Volatile
    var usedAt: MonotonicTime = MonotonicTime.now()
        private set

    val isOpen: Boolean get() = !closed.get()

    /** Starts to read and write; [onClose] runs once when the connection ends. */
    fun start(onClose: (PeerConnection) -> Unit) {
        scope.launch { runUntilFailure("write") { writeLoop() } }
        scope.launch {
            runUntilFailure("read") { readLoop() }
            onClose(this@PeerConnection)
        }
    }

    /** Sends [ask]; returns null if no answer came within [timeout] or the connection ended. */
    suspend fun ask(
        ask: PeerAsk,
        timeout: Duration,
    ): PeerAnswer? {
        val id = ids.incrementAndGet()
        val reply = CompletableDeferred<PeerAnswer?>()
        usedAt = MonotonicTime.now()
        pending[id] = reply
        try {
            if (!send(PeerMessage.Ask(id, ask)) || closed.get()) return null
            val answer = withTimeoutOrNull(timeout) { reply.await() }
            if (answer == null) closeIfSilent()
            return answer
        } finally {
            pending.remove(id)
        }
    }

    /** Ends the connection; asks that wait for an answer get none. */
    fun close() {
        if (!closed.compareAndSet(false, true)) return
        outbox.close()
        socket.close()
        for (reply in pending.values) reply.complete(null)
    }

    private fun send(message: PeerMessage): Boolean {
        val isSent = outbox.trySend(message).isSuccess
        if (!isSent) traffic.dropped.increment()
        return isSent
    }

    private fun closeIfSilent() {
        if (MonotonicTime.now() - receivedAt > SILENCE_LIMIT) close()
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
        for (first in outbox) {
            val messages = arrayListOf(first)
            while (gathers && messages.size < MAX_MESSAGES_PER_FRAME) {
                messages += outbox.tryReceive().getOrNull() ?: break
            }
            write(messages)
        }
    }

    private suspend fun write(messages: List<PeerMessage>) {
        val bytes = PeerFrame.serializer().toCbor(PeerFrame(messages))
        if (bytes.size <= MAX_FRAME_BYTES) {
            output.writeFrame(bytes)
            traffic.sentBytes.add(bytes.size.toLong() + FRAME_HEAD_BYTES)
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
            receivedAt = MonotonicTime.now()
            traffic.receivedBytes.add(bytes.size.toLong() + FRAME_HEAD_BYTES)
            PeerFrame
                .serializer()
                .parseCbor(bytes)
                .messages
                .forEach(::receive)
        }
    }

    private fun receive(message: PeerMessage) {
        when (message) {
            is PeerMessage.Answer -> pending.remove(message.id)?.complete(message.answer)
            is PeerMessage.Ask -> answer(message)
        }
    }

    private fun answer(message: PeerMessage.Ask) {
        usedAt = MonotonicTime.now()
        if (!running.tryAcquire()) {
            traffic.dropped.increment()
            return
        }
        // Undispatched, so that handlers take the asks of a connection in the order in which they were sent.
        scope.launch(start = CoroutineStart.UNDISPATCHED) {
            try {
                send(PeerMessage.Answer(message.id, handler.answer(peer, message.ask)))
            } finally {
                running.release()
            }
        }
    }
}
