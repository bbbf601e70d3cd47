package org.agatestream.core

import kotlinx.serialization.SerializationException
import kotlinx.serialization.json.Json
import kotlinx.serialization.json.JsonArray
import kotlinx.serialization.json.JsonElement
import kotlinx.serialization.json.JsonObject
import kotlinx.serialization.json.JsonPrimitive
import kotlinx.serialization.json.booleanOrNull
import kotlinx.serialization.json.contentOrNull
import kotlinx.serialization.json.intOrNull
import java.util.zip.CRC32C

/** A validated completion request, ready to be sent to an engine. */
public data class CompletionRequest(
    val model: ModelId,
    val stream: Boolean,
    /** True if the caller used the conversation form and expects a response in that form. */
    val chat: Boolean,
    /** The body for the engine, in the prompt form. */
    val body: JsonObject,
) {
    /** A hash of the prompt's prefix, the same on all VMs. */
    public val prefixHash: Long
        get() {
            val prompt =
                body
                    .getValue("prompt")
                    .jsonText()
                    .orEmpty()
                    .take(PREFIX_CHARS)
            return CRC32C().apply { update(prompt.encodeToByteArray()) }.value
        }

    public companion object {
        private const val PREFIX_CHARS = 256

        /** Parses and validates the body of a completion request; fails with `MALFORMED_REQUEST`. */
        public fun parse(
            text: String,
            chat: Boolean,
        ): Outcome<CompletionRequest> {
            val body = parseJsonObject(text).getOrElse { return Outcome.Failed(it) }
            val model = body["model"]?.jsonText() ?: return malformed("model must be a string")
            val prompt = if (chat) joinMessages(body["messages"]) else body["prompt"]?.jsonText()
            if (prompt == null) return malformed(if (chat) MESSAGES_ERROR else "prompt must be a string")
            val stream = body.booleanField("stream") ?: return malformed("stream must be true or false")
            val maxTokens = body["max_tokens"]
            val limit = if (maxTokens == null) DEFAULT_MAX_TOKENS else (maxTokens as? JsonPrimitive)?.intOrNull
            if (limit == null || limit < 1) return malformed("max_tokens must be a whole number of at least 1")
            val engineBody = JsonObject(body - "messages" + engineFields(prompt, limit))
            return CompletionRequest(ModelId(model), stream, chat, engineBody).toOk()
        }

        private fun engineFields(
            prompt: String,
            maxTokens: Int,
        ): Map<String, JsonElement> = mapOf("prompt" to JsonPrimitive(prompt), "max_tokens" to JsonPrimitive(maxTokens))
    }
}

/** Fails with `MALFORMED_REQUEST` if the request exceeds the token limit of [setting]. */
public fun CompletionRequest.checkLimits(setting: ModelSetting): Outcome<Unit> {
    val requested = (body.getValue("max_tokens") as JsonPrimitive).intOrNull ?: 0
    if (requested > setting.maxTokens) return malformed("max_tokens is at most ${setting.maxTokens} for this model")
    return Unit.toOk()
}

/** Parses a JSON object that is not nested too deeply; fails with `MALFORMED_REQUEST`. */
public fun parseJsonObject(text: String): Outcome<JsonObject> {
    if (text.isJsonDeeperThan(MAX_JSON_DEPTH)) return malformed("the body is nested deeper than $MAX_JSON_DEPTH levels")
    val element =
        try {
            Json.parseToJsonElement(text)
        } catch (_: SerializationException) {
            return malformed("the body is no valid JSON")
        }
    return (element as? JsonObject)?.toOk() ?: malformed("the body must be a JSON object")
}

/** Converts a conversation to a prompt: one line per message, then the assistant's prefix. */
private fun joinMessages(messages: JsonElement?): String? {
    if (messages !is JsonArray || messages.isEmpty()) return null
    val lines =
        messages.map { message ->
            val fields = message as? JsonObject ?: return null
            val role = fields["role"]?.jsonText() ?: return null
            val content = fields["content"]?.jsonText() ?: return null
            "$role: $content\n"
        }
    return lines.joinToString("") + "assistant:"
}

private fun JsonObject.booleanField(name: String): Boolean? {
    val value = this[name] ?: return false
    return (value as? JsonPrimitive)?.takeIf { !it.isString }?.booleanOrNull
}

private fun JsonElement.jsonText(): String? = (this as? JsonPrimitive)?.takeIf { it.isString }?.contentOrNull

private fun malformed(message: String): Outcome.Failed = ErrorKind.MALFORMED_REQUEST.toFailed(message)

private const val MAX_JSON_DEPTH = 64
private const val DEFAULT_MAX_TOKENS = 256
private const val MESSAGES_ERROR = "messages must be a list of objects with the strings role and content"
