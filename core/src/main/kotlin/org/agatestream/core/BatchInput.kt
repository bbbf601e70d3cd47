package org.agatestream.core

import java.io.ByteArrayOutputStream
import java.security.MessageDigest
import java.util.HexFormat

/** A chunk of input that is ready for the object store. */
public class InputChunk(
    public val index: Int,
    public val bytes: ByteArray,
)

/** What a whole input came to. */
public data class InputSummary(
    val digest: String,
    val items: Int,
    val chunks: Int,
)

/**
 * Parses the input of a batch job piece by piece and cuts it into chunks.
 *
 * It holds one line, one chunk and eight bytes for each item, whatever the size of the input.
 */
public class BatchInput(
    private val rules: BatchRules,
    target: String,
    deadline: String,
) {
    private val digest = MessageDigest.getInstance("SHA-256")
    private val line = ByteArrayOutputStream()
    private val chunk = ByteArrayOutputStream()
    private val chunkIds = mutableSetOf<ItemId>()
    private val earlierIds = FingerprintSet()
    private var lines = 0
    private var items = 0
    private var chunks = 0

    init {
        digest.update("$target\n$deadline\n".encodeToByteArray())
    }

    /** Takes the next piece of the input and returns the chunks that it completed. */
    public fun add(bytes: ByteArray): Outcome<List<InputChunk>> {
        digest.update(bytes)
        val ready = mutableListOf<InputChunk>()
        var start = 0
        for (i in bytes.indices) {
            if (bytes[i] != LINE_END) continue
            line.write(bytes, start, i - start)
            start = i + 1
            endLine(ready).getOrElse { return Outcome.Failed(it) }
        }
        line.write(bytes, start, bytes.size - start)
        if (line.size() > rules.chunkBytes) return tooLong()
        return ready.toOk()
    }

    /** Ends the input and returns its last chunk. */
    public fun finish(): Outcome<List<InputChunk>> {
        val ready = mutableListOf<InputChunk>()
        endLine(ready).getOrElse { return Outcome.Failed(it) }
        if (items == 0) return ErrorKind.MALFORMED_REQUEST.toFailed("the input holds no item")
        if (chunkIds.isNotEmpty()) ready += cut()
        return ready.toOk()
    }

    /** Returns what the input came to; call it after [finish]. */
    public fun summary(): InputSummary = InputSummary(HexFormat.of().formatHex(digest.digest()), items, chunks)

    private fun endLine(ready: MutableList<InputChunk>): Outcome<Unit> {
        lines++
        if (line.size() > rules.chunkBytes) return tooLong()
        val text = line.toString(Charsets.UTF_8)
        line.reset()
        if (text.isBlank()) return Unit.toOk()
        val item = BatchItem.parseInput(text, lines, rules).getOrElse { return Outcome.Failed(it) }
        if (item.id in chunkIds || item.id in earlierIds) {
            return ErrorKind.DUPLICATE_ITEM.toFailed("line $lines repeats the id of an earlier item")
        }
        if (items == rules.jobItems) {
            return ErrorKind.BODY_TOO_LARGE.toFailed("the input holds more than ${rules.jobItems} items")
        }
        append(item, ready)
        return Unit.toOk()
    }

    private fun append(
        item: BatchItem,
        ready: MutableList<InputChunk>,
    ) {
        val bytes = (item.toLine() + "\n").encodeToByteArray()
        val full = chunkIds.size == rules.chunkItems || chunk.size() + bytes.size > rules.chunkBytes
        if (full && chunkIds.isNotEmpty()) ready += cut()
        chunk.write(bytes)
        chunkIds += item.id
        items++
    }

    private fun cut(): InputChunk {
        val cut = InputChunk(chunks, chunk.toByteArray())
        chunks++
        chunk.reset()
        earlierIds.addAll(chunkIds)
        chunkIds.clear()
        return cut
    }

    private fun tooLong(): Outcome.Failed =
        ErrorKind.BODY_TOO_LARGE.toFailed("line ${lines.coerceAtLeast(1)} exceeds ${rules.chunkBytes} bytes")

    private companion object {
        const val LINE_END = '\n'.code.toByte()
    }
}
