package org.agatestream.standin

import java.io.ByteArrayOutputStream
import java.io.IOException
import java.net.InetSocketAddress
import java.net.Socket

/** What a caller received; [body] holds all bytes after the head without framing, also those after the end. */
internal data class RawReceived(
    val status: Int,
    val body: String,
    /** True if the framing says that the body is complete. */
    val isWhole: Boolean,
)

/** Sends requests on connections of their own and reads all bytes that come back. */
internal object RawCaller {
    private const val HEX = 16
    private const val BUFFER_BYTES = 4_096
    private const val TIMEOUT_MILLIS = 10_000

    fun get(
        address: String,
        target: String,
        headers: Map<String, String>,
    ): RawReceived {
        val lines = headers.entries.joinToString("") { "${it.key}: ${it.value}\r\n" }
        val bytes = exchange(address, "GET $target HTTP/1.1\r\n${lines}connection: close\r\n\r\n")
        val head = bytes.substringBefore("\r\n\r\n", "")
        if (head.isEmpty()) return RawReceived(0, bytes, isWhole = false)
        val status = head.split(' ')[1].toInt()
        val body = bytes.substringAfter("\r\n\r\n")
        val fields = head.lowercase().lines()
        if ("transfer-encoding: chunked" in fields) return readChunks(status, body)
        val length =
            fields
                .find { it.startsWith("content-length:") }
                ?.substringAfter(':')
                ?.trim()
                ?.toInt()
        return RawReceived(status, body, isWhole = body.length == length)
    }

    private fun exchange(
        address: String,
        request: String,
    ): String {
        val received = ByteArrayOutputStream()
        Socket().use { socket ->
            socket.soTimeout = TIMEOUT_MILLIS
            val (host, port) = address.split(':')
            socket.connect(InetSocketAddress(host, port.toInt()), TIMEOUT_MILLIS)
            socket.getOutputStream().write(request.toByteArray(Charsets.ISO_8859_1))
            val buffer = ByteArray(BUFFER_BYTES)
            try {
                while (true) {
                    val count = socket.getInputStream().read(buffer)
                    if (count < 0) break
                    received.write(buffer, 0, count)
                }
            } catch (_: IOException) {
                // Reset or silent; what came before counts.
            }
        }
        return received.toString(Charsets.ISO_8859_1)
    }

    private fun readChunks(
        status: Int,
        framed: String,
    ): RawReceived {
        val body = StringBuilder()
        var rest = framed
        while (true) {
            val line = rest.substringBefore("\r\n", "")
            val size = line.toIntOrNull(HEX) ?: return RawReceived(status, "$body$rest", isWhole = false)
            val start = line.length + 2
            if (size == 0) {
                val isWhole = rest == "0\r\n\r\n"
                return RawReceived(status, if (isWhole) "$body" else "$body$rest", isWhole)
            }
            body.append(rest.substring(start, minOf(start + size, rest.length)))
            rest = rest.drop(start + size + 2)
        }
    }
}
