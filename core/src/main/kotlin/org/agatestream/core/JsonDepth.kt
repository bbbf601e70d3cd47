package org.agatestream.core

/**
 * Returns whether objects and arrays are nested deeper than [limit] in this JSON text.
 *
 * The JSON parser recurses for each level, so untrusted text is checked first to prevent a stack overflow.
 */
public fun String.isJsonDeeperThan(limit: Int): Boolean {
    var depth = 0
    var inString = false
    var escaped = false
    for (char in this) {
        when {
            escaped -> escaped = false
            inString && char == '\\' -> escaped = true
            char == '"' -> inString = !inString
            inString -> Unit
            char == '{' || char == '[' -> depth++
            char == '}' || char == ']' -> depth--
        }
        if (depth > limit) return true
    }
    return false
}
