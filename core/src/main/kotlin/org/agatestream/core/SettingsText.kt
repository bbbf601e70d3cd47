package org.agatestream.core

import kotlinx.serialization.ExperimentalSerializationApi
import kotlinx.serialization.KSerializer
import kotlinx.serialization.SerializationException
import kotlinx.serialization.json.Json
import kotlinx.serialization.json.JsonElement

/** The result of parsing settings. */
public sealed interface ParsedSettings<out T> {
    /** The text is valid. */
    public data class Valid<out T>(
        public val value: T,
    ) : ParsedSettings<T>

    /** The text has [faults]; all that could be found are listed. */
    public data class Invalid(
        public val faults: List<SettingFault>,
    ) : ParsedSettings<Nothing>
}

/** Deepest allowed nesting of a settings text, in levels. */
private const val MAX_DEPTH = 32

/** The format of settings: JSON that allows comments and trailing commas. */
@OptIn(ExperimentalSerializationApi::class)
internal val settingsJson: Json =
    Json {
        allowComments = true
        allowTrailingComma = true
    }

/** Parses [text] as a value of the type of [serializer]; faults name it by [path]. */
public fun <T> parseSettings(
    serializer: KSerializer<T>,
    path: String,
    text: String,
): ParsedSettings<T> {
    if (text.isJsonDeeperThan(MAX_DEPTH)) {
        return invalid(path, "nesting deeper than $MAX_DEPTH", "at most $MAX_DEPTH levels")
    }
    val element =
        try {
            settingsJson.decodeFromString(JsonElement.serializer(), text)
        } catch (e: SerializationException) {
            return invalid(path, "no valid JSON (${e.message?.lineSequence()?.first()})", "JSON with comments")
        }
    val faults = JsonShape(path).check(serializer.descriptor, element)
    if (faults.isNotEmpty()) return ParsedSettings.Invalid(faults)
    return try {
        ParsedSettings.Valid(settingsJson.decodeFromJsonElement(serializer, element))
    } catch (e: SerializationException) {
        invalid(
            path,
            e.message
                .orEmpty()
                .lineSequence()
                .first(),
            "a value of the documented type",
        )
    }
}

private fun invalid(
    path: String,
    found: String,
    allowed: String,
): ParsedSettings.Invalid = ParsedSettings.Invalid(listOf(SettingFault(path, "", found, allowed)))
