package org.agatestream.core

import kotlinx.serialization.SerialName
import kotlinx.serialization.Serializable
import kotlinx.serialization.SerializationException
import kotlinx.serialization.json.Json
import kotlinx.serialization.json.JsonElement

/** The final status of an item. */
@Serializable
public enum class ItemStatus {
    @SerialName("done")
    DONE,

    @SerialName("failed")
    FAILED,

    @SerialName("cancelled")
    CANCELLED,
}

/** Why an item failed. */
@Serializable
public data class ItemError(
    val code: String,
    val message: String,
)

/** One line of a batch job's results. */
@Serializable
public data class ItemResult(
    val id: ItemId,
    val status: ItemStatus,
    val body: JsonElement? = null,
    val error: ItemError? = null,
) {
    /** Converts this result to a line, including the line terminator. */
    public fun toLine(): String = Json.encodeToString(serializer(), this) + "\n"

    public companion object {
        /**
         * Creates the result of an item whose response is the JSON text [body].
         *
         * The item fails if [body] is invalid or nested deeper than [depth] levels.
         */
        public fun done(
            id: ItemId,
            body: String,
            depth: Int,
        ): ItemResult {
            if (body.isJsonDeeperThan(depth)) return failed(id, "invalid_answer", "the answer is nested too deep")
            val element =
                try {
                    Json.parseToJsonElement(body)
                } catch (_: SerializationException) {
                    return failed(id, "invalid_answer", "the answer is no valid JSON")
                }
            return ItemResult(id, ItemStatus.DONE, body = element)
        }

        /** Creates the result of a failed item. */
        public fun failed(
            id: ItemId,
            code: String,
            message: String,
        ): ItemResult = ItemResult(id, ItemStatus.FAILED, error = ItemError(code, message))

        /** Creates the result of an item that was unfinished when its job was cancelled. */
        public fun cancelled(id: ItemId): ItemResult = ItemResult(id, ItemStatus.CANCELLED)

        /** Parses a line of results. */
        public fun parse(line: String): ItemResult = Json.decodeFromString(serializer(), line)
    }
}
