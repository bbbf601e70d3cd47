package org.agatestream.standin

import java.io.IOException
import java.net.InetAddress
import java.net.ServerSocket
import java.net.Socket
import java.util.concurrent.ConcurrentHashMap
import java.util.concurrent.TimeUnit
import kotlin.concurrent.thread

/** A link to [target] whose connections share [bytesPerSecond] in each direction, each with one piece on its way. */
internal class SlowLink(
    private val target: String,
    private val bytesPerSecond: Long,
) : AutoCloseable {
    /** One direction of the link, which carries one piece after the other. */
    private inner class Direction {
        private var freeAtNanos = System.nanoTime()

        /** Returns once [bytes] more have passed. */
        fun carry(bytes: Int) {
            val passedAt =
                synchronized(this) {
                    val duration = TimeUnit.SECONDS.toNanos(bytes.toLong()) / bytesPerSecond
                    freeAtNanos = maxOf(freeAtNanos, System.nanoTime()) + duration
                    freeAtNanos
                }
            TimeUnit.NANOSECONDS.sleep(passedAt - System.nanoTime())
        }
    }

    private val listener = ServerSocket(0, BACKLOG, InetAddress.getLoopbackAddress())
    private val sockets = ConcurrentHashMap.newKeySet<Socket>()
    private val outbound = Direction()
    private val inbound = Direction()
    val address = "127.0.0.1:${listener.localPort}"

    init {
        thread(isDaemon = true) {
            while (!listener.isClosed) {
                try {
                    connect(listener.accept())
                } catch (_: IOException) {
                    // The target refused the connection, or the link was closed.
                }
            }
        }
    }

    private fun connect(near: Socket) {
        sockets += near
        val far = Socket(target.substringBefore(':'), target.substringAfter(':').toInt())
        sockets += far
        thread(isDaemon = true) { pass(near, far, outbound) }
        thread(isDaemon = true) { pass(far, near, inbound) }
    }

    private fun pass(
        from: Socket,
        to: Socket,
        direction: Direction,
    ) {
        val piece = ByteArray(PIECE_BYTES)
        try {
            while (true) {
                val count = from.getInputStream().read(piece)
                if (count < 0) break
                direction.carry(count)
                to.getOutputStream().write(piece, 0, count)
            }
        } catch (_: IOException) {
            // One side closed the connection; the other one is closed too.
        }
        listOf(from, to).forEach { it.close() }
        sockets -= setOf(from, to)
    }

    override fun close() {
        listener.close()
        sockets.forEach { it.close() }
    }

    private companion object {
        const val BACKLOG = 128
        const val PIECE_BYTES = 8 * 1024
    }
}
