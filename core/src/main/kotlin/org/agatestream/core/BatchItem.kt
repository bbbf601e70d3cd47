package org.agatestream.core

import kotlinx.serialization.Serializable
import kotlinx.serialization.SerializationException
import kotlinx.serialization.json.Json
import kotlinx.serialization.json.JsonObject

/** One line of a batch job's input. */
@Serializable
public data class BatchItem(
    val id: ItemId,
    val body: JsonObject,
) {
    /** Converts this item to a JSON line without the line terminator. */
    public fun toLine(): String = Json.encodeToString(serializer(), this)

    public companion object {
        /** Parses a line of a stored chunk. */
        public fun parse(line: String): BatchItem = Json.decodeFromString(serializer(), line)

        /** Parses and validates line [number] of a caller's input; fails with `MALFORMED_REQUEST`. */
        public fun parseInput(
            line: String,
            number: Int,
            rules: BatchRules,
        ): Outcome<BatchItem> {
            if (line.isJsonDeeperThan(rules.maxBodyDepth)) return malformed(number, "is nested too deep")
            val item =
                try {
                    parse(line)
                } catch (_: SerializationException) {
                    return malformed(number, "is not of the form {\"id\":\"...\",\"body\":{...}}")
                }
            return when {
                item.id.value.isEmpty() -> malformed(number, "has an empty id")
                item.id.value.length > rules.maxItemIdLength -> malformed(number, "has an id that is too long")
                else -> item.toOk()
            }
        }

        private fun malformed(
            number: Int,
            what: String,
        ): Outcome.Failed = ErrorKind.MALFORMED_REQUEST.toFailed("line $number $what")
    }
}

/** Parses the items of a stored chunk. */
public fun parseStoredItems(bytes: ByteArray): List<BatchItem> =
    bytes
        .decodeToString()
        .lineSequence()
        .filter { it.isNotEmpty() }
        .map { BatchItem.parse(it) }
        .toList()
