package org.agatestream.cli

/** Splits a stream of server-sent events into the data of its events, across the borders of chunks. */
internal class SseTokens {
    private val rest = StringBuilder()

    /** Adds a chunk of the body and returns the data lines that it completes. */
    fun add(bytes: ByteArray): List<String> {
        rest.append(bytes.decodeToString())
        val end = rest.lastIndexOf("\n")
        if (end < 0) return emptyList()
        val lines = rest.substring(0, end).split('\n')
        rest.delete(0, end + 1)
        return lines.filter { it.startsWith(PREFIX) }.map { it.removePrefix(PREFIX).trim() }
    }

    private companion object {
        const val PREFIX = "data:"
    }
}
