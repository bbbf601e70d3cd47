package org.agatestream.core

import kotlinx.serialization.Serializable
import kotlin.jvm.JvmInline

/** The absolute path of a setting, as in `/teams/clinic/keys/desk`. */
@Serializable
@JvmInline
public value class SettingPath private constructor(
    public val text: String,
) : Comparable<SettingPath> {
    /** The segments between the slashes. */
    public val segments: List<String>
        get() = text.drop(1).split('/')

    /** Returns whether this path is [subtree] or below it; the subtree `/` contains every path. */
    public fun isWithin(subtree: String): Boolean = text == subtree || text.startsWith(subtree.trimEnd('/') + "/")

    override fun compareTo(other: SettingPath): Int = text.compareTo(other.text)

    override fun toString(): String = text

    public companion object {
        private val SEGMENT = Regex("[A-Za-z0-9][A-Za-z0-9._-]{0,62}")

        /** Parses [text]; returns null unless it is a sequence of `/` and a name of letters, digits, `.`, `_`, `-`. */
        public fun parse(text: String): SettingPath? {
            val valid = text.startsWith("/") && text.drop(1).split('/').all { SEGMENT.matches(it) }
            return if (valid) SettingPath(text) else null
        }
    }
}
