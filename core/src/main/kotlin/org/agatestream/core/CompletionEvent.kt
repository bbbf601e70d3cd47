package org.agatestream.core

import kotlinx.serialization.json.Json
import kotlinx.serialization.json.JsonArray
import kotlinx.serialization.json.JsonElement
import kotlinx.serialization.json.JsonNull
import kotlinx.serialization.json.JsonObject
import kotlinx.serialization.json.JsonPrimitive
import kotlinx.serialization.json.contentOrNull

/** One server-sent event of a completion stream. */
public sealed interface CompletionEvent {
    /** A piece of the answer, as a JSON object in the prompt form. */
    public data class Piece(
        val body: JsonObject,
    ) : CompletionEvent {
        /** The text of the first choice; empty for an event without text. */
        public val text: String
            get() = body.firstChoice()["text"].contentOrEmpty()

        /** The id of the answer, or null. */
        public val id: String?
            get() = (body["id"] as? JsonPrimitive)?.contentOrNull
    }

    /** The end of a whole stream. */
    public data object Done : CompletionEvent

    /** An event that is no part of an answer, such as a comment. */
    public data object Ignored : CompletionEvent

    /** An event that can't be read. */
    public data object Invalid : CompletionEvent

    public companion object {
        /** Parses one event, without the blank line that ends it. */
        public fun parse(frame: String): CompletionEvent {
            val lines = frame.lineSequence().filter { it.startsWith("data:") }
            val data = lines.joinToString("\n") { it.removePrefix("data:").removePrefix(" ") }
            if (data.isEmpty()) return Ignored
            if (data == DONE_MARK) return Done
            val body = runCatching { Json.parseToJsonElement(data) }.getOrNull() as? JsonObject ?: return Invalid
            return if (body["choices"] is JsonArray) Piece(body) else Invalid
        }
    }
}

/** Converts a piece in the prompt form to the data of an event in the form that the caller used. */
public fun CompletionEvent.Piece.toEventData(chat: Boolean): String {
    if (!chat) return body.toString()
    val choice = body.firstChoice()
    val delta = JsonObject(if (text.isEmpty()) emptyMap() else mapOf("content" to JsonPrimitive(text)))
    val converted = choice - "text" + ("delta" to delta)
    val fields = mapOf("object" to JsonPrimitive("chat.completion.chunk"), "choices" to listOfChoice(converted))
    return JsonObject(body + fields).toString()
}

/** Converts a whole answer in the prompt form to the conversation form. */
public fun JsonObject.toChatCompletion(): JsonObject {
    val choice = firstChoice()
    val fields =
        mapOf("role" to JsonPrimitive("assistant"), "content" to JsonPrimitive(choice["text"].contentOrEmpty()))
    val converted = choice - "text" + ("message" to JsonObject(fields))
    return JsonObject(this + mapOf("object" to JsonPrimitive("chat.completion"), "choices" to listOfChoice(converted)))
}

/** The data of the event that ends a whole stream. */
public const val DONE_MARK: String = "[DONE]"

private fun listOfChoice(choice: Map<String, JsonElement>): JsonArray = JsonArray(listOf(JsonObject(choice)))

private fun JsonObject.firstChoice(): JsonObject =
    (this["choices"] as? JsonArray)?.firstOrNull() as? JsonObject ?: JsonObject(emptyMap())

private fun JsonElement?.contentOrEmpty(): String =
    (this as? JsonPrimitive)?.takeIf { it !is JsonNull }?.content.orEmpty()
