package org.agatestream.core

import kotlinx.serialization.Serializable

/** A validation error in a setting or in a settings file. */
@Serializable
public data class SettingFault(
    /** The path of the setting, or the name of the file. */
    val path: String,
    /** The field, as in `models[2]`; empty if the fault concerns the whole setting. */
    val field: String,
    /** What was found. */
    val found: String,
    /** What is allowed. */
    val allowed: String,
) {
    override fun toString(): String {
        val place = if (field.isEmpty()) path else "$path: $field"
        return "$place: found $found; allowed: $allowed"
    }
}
