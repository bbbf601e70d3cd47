package org.agatestream.standin

import java.io.BufferedReader
import java.io.IOException
import java.net.InetAddress
import java.net.ServerSocket
import java.net.Socket
import java.util.concurrent.ConcurrentHashMap
import java.util.concurrent.CopyOnWriteArrayList
import kotlin.concurrent.thread

/** One run of a request at a [RawServer]: its number, from 0, and the event after which it is to continue. */
internal class RawRun(
    val id: String,
    val number: Int,
    val lastEvent: Int?,
)

/** The runs of all requests at several [RawServer]s, and what they answer. */
internal class RawScripts(
    private val default: (RawRun) -> String,
) {
    private val scripts = ConcurrentHashMap<String, (RawRun) -> String>()
    private val runs = ConcurrentHashMap<String, MutableList<RawRun>>()

    /** Sets the bytes that each run of the request [id] is answered with. */
    fun set(
        id: String,
        answer: (RawRun) -> String,
    ) {
        scripts[id] = answer
    }

    fun runsOf(id: String): List<RawRun> = runs[id].orEmpty().toList()

    fun answer(
        id: String,
        lastEvent: Int?,
    ): String {
        val earlier = runs.computeIfAbsent(id) { CopyOnWriteArrayList() }
        val run = synchronized(earlier) { RawRun(id, earlier.size, lastEvent).also { earlier += it } }
        return (scripts[id] ?: default)(run)
    }
}

/** A server that answers each request with the very bytes of a script and then closes the connection in order. */
internal class RawServer(
    private val scripts: RawScripts,
) : AutoCloseable {
    private val listener = ServerSocket(0, BACKLOG, InetAddress.getLoopbackAddress())
    val address: String = "127.0.0.1:${listener.localPort}"

    init {
        thread(isDaemon = true) {
            try {
                while (true) listener.accept().let { thread(isDaemon = true) { serve(it) } }
            } catch (_: IOException) {
                // Closed.
            }
        }
    }

    override fun close(): Unit = listener.close()

    private fun serve(socket: Socket) {
        try {
            socket.use {
                val input = it.getInputStream().bufferedReader(Charsets.ISO_8859_1)
                val headers = readRequest(input) ?: return
                val id = headers["x-agatestream-attempt-id"].orEmpty()
                val bytes = scripts.answer(id, headers["last-event-id"]?.toInt())
                for ((number, piece) in bytes.split(PAUSE).withIndex()) {
                    if (number > 0) Thread.sleep(PAUSE_MILLIS)
                    it.getOutputStream().write(piece.toByteArray(Charsets.ISO_8859_1))
                }
                it.shutdownOutput()
                // A close with unread input would reset the connection.
                while (input.read() >= 0) Unit
            }
        } catch (_: IOException) {
            // The VM closed the connection.
        }
    }

    /** Reads a request with its body and returns its headers; null if the connection ended before. */
    private fun readRequest(input: BufferedReader): Map<String, String>? {
        input.readLine() ?: return null
        val lines = generateSequence { input.readLine()?.takeIf { it.isNotEmpty() } }.toList()
        val headers = lines.associate { it.substringBefore(':').lowercase() to it.substringAfter(':').trim() }
        repeat(headers["content-length"]?.toInt() ?: 0) { if (input.read() < 0) return null }
        return headers
    }

    companion object {
        /** Stands in a script where the server pauses, so that the bytes before it are read alone. */
        const val PAUSE = "\u0000"
        private const val PAUSE_MILLIS = 30L
        private const val BACKLOG = 64
    }
}
