package org.agatestream.core

import kotlinx.serialization.Serializable
import kotlinx.serialization.json.Json
import kotlinx.serialization.json.JsonArray
import kotlinx.serialization.json.JsonElement
import kotlinx.serialization.json.JsonNull
import kotlinx.serialization.json.JsonObject
import kotlinx.serialization.json.JsonPrimitive

/** One server-sent event of a completion stream. */
public sealed interface CompletionEvent {
    /** A part of the completion. */
    public data class Piece(
        /** The JSON object of the event, in the prompt form. */
        val data: String,
        /** The id of the completion, or null. */
        val id: String?,
        /** The text of the first choice; empty for an event without text. */
        val text: String,
    ) : CompletionEvent

    /** The terminating event of a complete stream. */
    public data object Done : CompletionEvent

    /** An event that is not part of the completion, such as a comment. */
    public data object Ignored : CompletionEvent

    /** A malformed event. */
    public data object Invalid : CompletionEvent

    public companion object {
        /** Parses one event, without its terminating blank line. */
        public fun parse(frame: String): CompletionEvent {
            val data = frame.dataLines()
            if (data.isEmpty()) return Ignored
            if (data == DONE_MARK) return Done
            val fields =
                runCatching { json.decodeFromString(PieceFields.serializer(), data) }.getOrNull() ?: return Invalid
            return Piece(
                data,
                fields.id,
                fields.choices
                    .firstOrNull()
                    ?.text
                    .orEmpty(),
            )
        }

        private fun String.dataLines(): String {
            if (startsWith(DATA_FIELD) && '\n' !in this) return substring(DATA_FIELD.length).removePrefix(" ")
            val lines = lineSequence().filter { it.startsWith(DATA_FIELD) }
            return lines.joinToString("\n") { it.removePrefix(DATA_FIELD).removePrefix(" ") }
        }

        private const val DATA_FIELD = "data:"
        private val json = Json { ignoreUnknownKeys = true }
    }
}

/** The fields of an event that the relay uses. */
@Serializable
private class PieceFields(
    val id: String? = null,
    val choices: List<PieceChoice>,
)

@Serializable
private class PieceChoice(
    val text: String? = null,
)

/** Converts this event to the event data for the caller, in the conversation form if [chat] is set. */
public fun CompletionEvent.Piece.toEventData(chat: Boolean): String {
    if (!chat) return data
    val body = Json.parseToJsonElement(data) as JsonObject
    val choice = body.firstChoice()
    val delta = JsonObject(if (text.isEmpty()) emptyMap() else mapOf("content" to JsonPrimitive(text)))
    val converted = choice - "text" + ("delta" to delta)
    val fields = mapOf("object" to JsonPrimitive("chat.completion.chunk"), "choices" to listOfChoice(converted))
    return JsonObject(body + fields).toString()
}

/** Converts a complete response from the prompt form to the conversation form. */
public fun JsonObject.toChatCompletion(): JsonObject {
    val choice = firstChoice()
    val fields =
        mapOf("role" to JsonPrimitive("assistant"), "content" to JsonPrimitive(choice["text"].contentOrEmpty()))
    val converted = choice - "text" + ("message" to JsonObject(fields))
    return JsonObject(this + mapOf("object" to JsonPrimitive("chat.completion"), "choices" to listOfChoice(converted)))
}

/** The data of the event that terminates a complete stream. */
public const val DONE_MARK: String = "[DONE]"

private fun listOfChoice(choice: Map<String, JsonElement>): JsonArray = JsonArray(listOf(JsonObject(choice)))

private fun JsonObject.firstChoice(): JsonObject =
    (this["choices"] as? JsonArray)?.firstOrNull() as? JsonObject ?: JsonObject(emptyMap())

private fun JsonElement?.contentOrEmpty(): String =
    (this as? JsonPrimitive)?.takeIf { it !is JsonNull }?.content.orEmpty()
