package org.agatestream.standin

/** Returns whether this is the complete and correct response to [spec]. */
internal fun CallResult.isCorrectFor(spec: CallSpec.Complete): Boolean {
    if (status != STATUS_OK || !isComplete) return false
    val expected = EngineTokens(spec.prompt).text(spec.tokens)
    val text = if (spec.stream) streamedText(body) else wholeText(body)
    return text == expected
}

private fun wholeText(body: String): String? = parseCompletion(body)?.choices?.joinToString("") { it.text }

/** Concatenates the texts of a stream's events; returns null if the stream has no finish reason or no end marker. */
private fun streamedText(body: String): String? {
    val events = body.lines().filter { it.startsWith(DATA_PREFIX) }.map { it.removePrefix(DATA_PREFIX).trim() }
    if (events.lastOrNull() != "[DONE]") return null
    val parsed = events.dropLast(1).map { parseCompletion(it) ?: return null }
    if (parsed.none { event -> event.choices.any { it.finishReason != null } }) return null
    return parsed.joinToString("") { event -> event.choices.joinToString("") { it.text } }
}

private fun parseCompletion(json: String): Completion? =
    runCatching { standInJson.decodeFromString(Completion.serializer(), json) }.getOrNull()

private const val DATA_PREFIX = "data:"
