package org.agatestream.standin

import java.security.MessageDigest

/** The tokens generated for a prompt: `t<index>.<prefix of the prompt's hash>` followed by a space. */
internal class EngineTokens(
    prompt: String,
) {
    private val hash =
        MessageDigest
            .getInstance("SHA-256")
            .digest(prompt.encodeToByteArray())
            .take(HASH_BYTES)
            .joinToString("") { "%02x".format(it) }

    fun token(index: Int): String = "t$index.$hash "

    /** Returns the text of the first [count] tokens. */
    fun text(count: Int): String = (0 until count).joinToString("") { token(it) }

    private companion object {
        const val HASH_BYTES = 4
    }
}
