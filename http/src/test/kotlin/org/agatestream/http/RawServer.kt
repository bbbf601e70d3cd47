package org.agatestream.http

import kotlinx.coroutines.withTimeout
import java.net.ServerSocket
import java.util.concurrent.atomic.AtomicInteger
import kotlin.concurrent.thread
import kotlin.time.Duration.Companion.seconds

/** Reads a body to its end, or returns null if it is broken. */
internal suspend fun HttpClientResponse.readText(): String? =
    withTimeout(5.seconds) {
        val out = StringBuilder()
        var broken = false
        while (!broken) {
            when (val part = nextChunk()) {
                is BodyPart.Chunk -> out.append(part.bytes.decodeToString())
                is BodyPart.End -> return@withTimeout out.toString()
                is BodyPart.Broken -> broken = true
            }
        }
        null
    }

/** A server that runs [script] on a separate thread for each connection. */
internal class RawServer(
    private val script: (RawSocket) -> Unit,
) : AutoCloseable {
    private val listener = ServerSocket(0)
    val accepted = AtomicInteger()
    val address = "127.0.0.1:${listener.localPort}"

    init {
        thread(isDaemon = true) {
            while (true) {
                val socket = runCatching { listener.accept() }.getOrNull() ?: break
                accepted.incrementAndGet()
                thread(isDaemon = true) { RawSocket(socket).use { runCatching { script(it) } } }
            }
        }
    }

    override fun close() = listener.close()
}
