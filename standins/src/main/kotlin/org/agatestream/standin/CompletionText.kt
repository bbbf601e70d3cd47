package org.agatestream.standin

/** Returns whether the answer is the whole completion that [spec] asks for. */
internal fun CallResult.isWhole(spec: CallSpec.Complete): Boolean {
    if (status != STATUS_OK || !complete) return false
    val expected = EngineTokens(spec.prompt).text(spec.tokens)
    val text = if (spec.stream) streamedText(body) else wholeText(body)
    return text == expected
}

private fun wholeText(body: String): String? = parseCompletion(body)?.choices?.joinToString("") { it.text }

/** Joins the texts of the events of a stream; returns null if it does not end as it should. */
private fun streamedText(body: String): String? {
    val events = body.lines().filter { it.startsWith(DATA) }.map { it.removePrefix(DATA).trim() }
    if (events.lastOrNull() != "[DONE]") return null
    val parsed = events.dropLast(1).map { parseCompletion(it) ?: return null }
    if (parsed.none { event -> event.choices.any { it.finishReason != null } }) return null
    return parsed.joinToString("") { event -> event.choices.joinToString("") { it.text } }
}

private fun parseCompletion(json: String): Completion? =
    runCatching { standInJson.decodeFromString(Completion.serializer(), json) }.getOrNull()

private const val DATA = "data:"
