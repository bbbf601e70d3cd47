package org.agatestream.standin

import org.agatestream.core.MonotonicTime
import java.io.BufferedInputStream
import java.io.ByteArrayOutputStream
import java.io.EOFException
import java.io.IOException
import java.io.InputStream
import java.net.InetSocketAddress
import java.net.Socket
import java.net.SocketTimeoutException
import kotlin.random.Random
import kotlin.time.Duration
import kotlin.time.Duration.Companion.seconds

/** A request of a [StreamCaller] and what came back. */
internal class SentStream(
    val id: String,
    val address: String,
    val caller: String,
    /** When the first byte was sent. */
    val sentAt: MonotonicTime,
) {
    /** When the last byte was sent; null if that failed. */
    var writtenAt: MonotonicTime? = null

    /** When the response or its connection ended. */
    var endedAt: MonotonicTime? = null

    /** The status of the response; 0 without one. */
    var status: Int = 0
    var isWhole: Boolean = false
    var isTimeout: Boolean = false

    /** True if the connection broke before the whole request was sent; an answer may have come all the same. */
    var isWriteBroken: Boolean = false
    var body: String = ""
}

/**
 * A caller that asks one VM after another for streams, on a blocking socket of its own.
 *
 * The traits of a caller differ with [number]: it sends bodies in chunks or with a length, at once or slowly, keeps its
 * connection or opens a new one for each request, and reads fast or slowly.
 */
internal class StreamCaller(
    private val number: Int,
    private val entries: List<String>,
    private val timeout: Duration,
    seed: Long,
    strains: Set<StopStrain> = emptySet(),
) {
    private val random = Random(seed + number)
    private val isChunked = number % 2 == 0
    private val isSlowSender = number % 4 == 0
    private val keepsConnection = number % 3 != 0
    private val isSlowReader = number % 5 == 0
    private val senderPause = if (StopStrain.SLOW_BODIES in strains) SLOWEST_SENDER_MILLIS else SLOW_SENDER_MILLIS
    private val readerPause = if (StopStrain.LARGE_EVENTS in strains) SLOWEST_READER_MILLIS else SLOW_READER_MILLIS
    private val isPassing = StopStrain.MANIFESTS in strains && number % 7 == 1
    private val path = if (isPassing) "/passing/1" else "/ask/1"
    private val key = if (isPassing) "passing-key" else "secret-key"
    private var addresses = emptyList<String>()
    private var refreshAt = MonotonicTime.ZERO
    private var kept: Pair<String, Socket>? = null
    private var count = 0

    /** The requests so far; read after [run] has returned. */
    val requests = ArrayList<SentStream>()

    /** Sends requests until [until]. */
    fun run(until: MonotonicTime) {
        while (MonotonicTime.now() < until) {
            refresh()
            val address = kept?.first?.takeIf { it in addresses } ?: addresses.randomOrNull(random)
            if (address == null) {
                Thread.sleep(IDLE_MILLIS)
                continue
            }
            if (kept?.first != address) drop()
            val sent = SentStream("c$number-${count++}", address, describe(), MonotonicTime.now())
            if (exchange(sent)) requests += sent
            if (sent.status == 0) addresses = addresses - address
            Thread.sleep(random.nextLong(MAX_PAUSE_MILLIS))
        }
        drop()
    }

    private fun describe(): String =
        listOfNotNull(
            if (isChunked) "chunks" else "length",
            if (kept != null) "kept" else "new",
            "slow_sender".takeIf { isSlowSender },
            "slow_reader".takeIf { isSlowReader },
        ).joinToString("+")

    private fun refresh() {
        if (MonotonicTime.now() < refreshAt && addresses.isNotEmpty()) return
        for (entry in entries.shuffled(random)) {
            val answer = get(entry, "/-/resolve?Name=h.example&Region=r&Zone=d") ?: continue
            addresses = ADDRESS.findAll(answer).map { it.value }.toList()
            if (addresses.isEmpty()) continue
            refreshAt = MonotonicTime.now() + ADDRESS_LIFETIME
            return
        }
    }

    private fun drop() {
        kept?.second?.close()
        kept = null
    }

    /** Returns false if no connection was established. */
    private fun exchange(sent: SentStream): Boolean {
        val deadline = sent.sentAt + timeout
        val socket = kept?.second ?: connect(sent.address) ?: return false
        kept = null
        try {
            try {
                write(socket, sent)
                sent.writtenAt = MonotonicTime.now()
            } catch (_: IOException) {
                sent.isWriteBroken = true
            }
            read(socket, sent, deadline)
        } catch (_: SocketTimeoutException) {
            sent.isTimeout = true
        } catch (_: IOException) {
            // The connection broke; the request is left as it is.
        }
        sent.endedAt = MonotonicTime.now()
        if (sent.isWhole && keepsConnection && !isLastOnConnection) {
            kept = sent.address to socket
        } else {
            socket.close()
        }
        return true
    }

    private fun connect(address: String): Socket? {
        val socket = Socket()
        try {
            if (isSlowReader) socket.receiveBufferSize = SLOW_READER_BUFFER
            socket.tcpNoDelay = true
            socket.connect(addressOf(address), CONNECT_TIMEOUT_MILLIS)
            return socket
        } catch (_: IOException) {
            socket.close()
            return null
        }
    }

    private fun write(
        socket: Socket,
        sent: SentStream,
    ) {
        val framing = if (isChunked) "transfer-encoding: chunked" else "content-length: $BODY_BYTES"
        val head =
            "POST $path HTTP/1.1\r\nhost: h.example\r\nx-agatestream-attempt-id: ${sent.id}\r\n" +
                "x-agatestream-deadline-ms: ${timeout.inWholeMilliseconds}\r\napi-key: $key\r\n$framing\r\n\r\n"
        val output = socket.getOutputStream()
        output.write(head.encodeToByteArray())
        val piece = "x".repeat(BODY_BYTES / BODY_PIECES)
        repeat(BODY_PIECES) {
            if (isSlowSender) Thread.sleep(senderPause)
            val framed = if (isChunked) "${piece.length.toString(HEX)}\r\n$piece\r\n" else piece
            output.write(framed.encodeToByteArray())
        }
        if (isChunked) output.write("0\r\n\r\n".encodeToByteArray())
    }

    private var isLastOnConnection = false

    private fun read(
        socket: Socket,
        sent: SentStream,
        deadline: MonotonicTime,
    ) {
        val input = BufferedInputStream(DeadlineInput(socket, deadline), READ_BYTES)
        val status = input.readLine() ?: return
        sent.status = status.split(' ')[1].toInt()
        val headers = generateSequence { input.readLine()?.takeIf { it.isNotEmpty() } }.toList().map { it.lowercase() }
        isLastOnConnection = "connection: close" in headers
        val length =
            headers
                .find { it.startsWith("content-length:") }
                ?.substringAfter(':')
                ?.trim()
                ?.toInt()
        val body = ByteArrayOutputStream()
        try {
            if (length != null) {
                body.write(input.readExactly(length))
            } else {
                readChunks(input, body)
            }
            sent.isWhole = true
        } finally {
            sent.body = body.toString(Charsets.UTF_8)
        }
    }

    private fun readChunks(
        input: InputStream,
        body: ByteArrayOutputStream,
    ) {
        while (true) {
            val size = (input.readLine() ?: throw EOFException()).toInt(HEX)
            if (isSlowReader) Thread.sleep(readerPause)
            body.write(input.readExactly(size))
            input.readLine() ?: throw EOFException()
            if (size == 0) return
        }
    }

    /** The input of [socket], which fails with a [SocketTimeoutException] at [deadline]. */
    private class DeadlineInput(
        private val socket: Socket,
        private val deadline: MonotonicTime,
    ) : InputStream() {
        private val input = socket.getInputStream()

        override fun read(): Int {
            val one = ByteArray(1)
            return if (read(one, 0, 1) < 0) -1 else one[0].toInt() and BYTE_MASK
        }

        override fun read(
            bytes: ByteArray,
            start: Int,
            length: Int,
        ): Int {
            val left = deadline - MonotonicTime.now()
            if (left <= Duration.ZERO) throw SocketTimeoutException()
            socket.soTimeout = left.inWholeMilliseconds.toInt().coerceAtLeast(1)
            return input.read(bytes, start, length)
        }
    }

    companion object {
        private const val HEX = 16
        private const val BYTE_MASK = 0xff
        private const val BODY_BYTES = 1_500
        private const val BODY_PIECES = 3
        private const val READ_BYTES = 512
        private const val SLOW_READER_BUFFER = 1_024
        private const val SLOW_READER_MILLIS = 25L
        private const val SLOW_SENDER_MILLIS = 300L
        private const val SLOWEST_SENDER_MILLIS = 800L
        private const val SLOWEST_READER_MILLIS = 90L
        private const val IDLE_MILLIS = 100L
        private const val MAX_PAUSE_MILLIS = 200L
        private const val CONNECT_TIMEOUT_MILLIS = 1_000
        private const val PROBE_TIMEOUT_MILLIS = 1_000
        private val ADDRESS_LIFETIME = 6.seconds
        private val ADDRESS = Regex("127\\.0\\.0\\.1:\\d+")

        /** Returns the whole answer to a GET request on a new connection, or null if none came. */
        fun get(
            address: String,
            target: String,
        ): String? =
            try {
                exchange(address, "GET $target HTTP/1.1\r\nhost: h.example\r\nconnection: close\r\n\r\n")
            } catch (_: IOException) {
                null
            }

        /**
         * Sends [request] on a new connection and returns all bytes that come back.
         *
         * Fails if the connection breaks, or if none come for [timeoutMillis].
         */
        fun exchange(
            address: String,
            request: String,
            timeoutMillis: Int = PROBE_TIMEOUT_MILLIS,
        ): String =
            Socket().use { socket ->
                socket.connect(addressOf(address), CONNECT_TIMEOUT_MILLIS)
                socket.soTimeout = timeoutMillis
                socket.getOutputStream().write(request.encodeToByteArray())
                socket.getInputStream().readAllBytes().decodeToString()
            }

        private fun addressOf(address: String) =
            InetSocketAddress(address.substringBefore(':'), address.substringAfter(':').toInt())

        private fun InputStream.readLine(): String? {
            val line = ByteArrayOutputStream()
            while (true) {
                when (val next = read()) {
                    -1 -> return null
                    '\n'.code -> return line.toString(Charsets.ISO_8859_1).removeSuffix("\r")
                    else -> line.write(next)
                }
            }
        }

        private fun InputStream.readExactly(length: Int): ByteArray {
            val bytes = readNBytes(length)
            if (bytes.size < length) throw EOFException()
            return bytes
        }
    }
}
