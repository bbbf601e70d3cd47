package org.agatestream.cli

/** Incremental parser that extracts the data lines of a server-sent event stream. */
internal class SseTokens {
    private val buffer = StringBuilder()

    /** Adds a chunk of the body and returns the values of the `data:` lines that it completes. */
    fun add(bytes: ByteArray): List<String> {
        buffer.append(bytes.decodeToString())
        val end = buffer.lastIndexOf("\n")
        if (end < 0) return emptyList()
        val lines = buffer.substring(0, end).split('\n')
        buffer.delete(0, end + 1)
        return lines.filter { it.startsWith(DATA_PREFIX) }.map { it.removePrefix(DATA_PREFIX).trim() }
    }

    private companion object {
        const val DATA_PREFIX = "data:"
    }
}
