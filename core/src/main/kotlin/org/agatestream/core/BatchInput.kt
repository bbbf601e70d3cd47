package org.agatestream.core

import java.io.ByteArrayOutputStream
import java.security.MessageDigest
import java.util.HexFormat

/** A complete chunk of input, to be written to the object store. */
public class InputChunk(
    public val index: Int,
    public val bytes: ByteArray,
)

/** The digest (SHA-256, hexadecimal) and the counts of a complete input. */
public data class InputSummary(
    val digest: String,
    val items: Int,
    val chunks: Int,
)

/**
 * Parses the input of a batch job incrementally and splits it into chunks.
 *
 * Holds one line, one chunk and eight bytes for each item in memory, independent of the size of the input.
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

    /** Parses the next part of the input and returns the chunks that it completed. */
    public fun add(bytes: ByteArray): Outcome<List<InputChunk>> {
        digest.update(bytes)
        val completedChunks = mutableListOf<InputChunk>()
        var start = 0
        for (i in bytes.indices) {
            if (bytes[i] != LINE_END) continue
            line.write(bytes, start, i - start)
            start = i + 1
            finishLine(completedChunks).getOrElse { return Outcome.Failed(it) }
        }
        line.write(bytes, start, bytes.size - start)
        if (line.size() > rules.maxChunkBytes) return lineTooLong()
        return completedChunks.toOk()
    }

    /** Parses the end of the input and returns its last chunks. */
    public fun finish(): Outcome<List<InputChunk>> {
        val completedChunks = mutableListOf<InputChunk>()
        finishLine(completedChunks).getOrElse { return Outcome.Failed(it) }
        if (items == 0) return ErrorKind.MALFORMED_REQUEST.toFailed("the input holds no item")
        if (chunkIds.isNotEmpty()) completedChunks += flushChunk()
        return completedChunks.toOk()
    }

    /** Returns the summary of the input; call it after [finish]. */
    public fun summary(): InputSummary = InputSummary(HexFormat.of().formatHex(digest.digest()), items, chunks)

    private fun finishLine(completedChunks: MutableList<InputChunk>): Outcome<Unit> {
        lines++
        if (line.size() > rules.maxChunkBytes) return lineTooLong()
        val text = line.toString(Charsets.UTF_8)
        line.reset()
        if (text.isBlank()) return Unit.toOk()
        val item = BatchItem.parseInput(text, lines, rules).getOrElse { return Outcome.Failed(it) }
        if (item.id in chunkIds || item.id in earlierIds) {
            return ErrorKind.DUPLICATE_ITEM.toFailed("line $lines repeats the id of an earlier item")
        }
        if (items == rules.maxJobItems) {
            return ErrorKind.BODY_TOO_LARGE.toFailed("the input holds more than ${rules.maxJobItems} items")
        }
        append(item, completedChunks)
        return Unit.toOk()
    }

    private fun append(
        item: BatchItem,
        completedChunks: MutableList<InputChunk>,
    ) {
        val bytes = (item.toLine() + "\n").encodeToByteArray()
        val full = chunkIds.size == rules.maxChunkItems || chunk.size() + bytes.size > rules.maxChunkBytes
        if (full && chunkIds.isNotEmpty()) completedChunks += flushChunk()
        chunk.write(bytes)
        chunkIds += item.id
        items++
    }

    private fun flushChunk(): InputChunk {
        val completed = InputChunk(chunks, chunk.toByteArray())
        chunks++
        chunk.reset()
        earlierIds.addAll(chunkIds)
        chunkIds.clear()
        return completed
    }

    private fun lineTooLong(): Outcome.Failed =
        ErrorKind.BODY_TOO_LARGE.toFailed("line ${lines.coerceAtLeast(1)} exceeds ${rules.maxChunkBytes} bytes")

    private companion object {
        const val LINE_END = '\n'.code.toByte()
    }
}
