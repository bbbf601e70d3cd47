package org.agatestream.standin

/** The prompt prefixes that an engine holds; the least recently used one goes first. */
internal class PrefixCache(
    private val capacity: Int,
) {
    private val prefixes = LinkedHashMap<String, Unit>(INITIAL_SIZE, LOAD_FACTOR, true)

    /** Returns whether the prefix of [prompt] was cached, and caches it. */
    fun touch(prompt: String): Boolean {
        val known = prefixes.put(prompt.take(PREFIX_CHARS), Unit) != null
        if (prefixes.size > capacity) prefixes.remove(prefixes.keys.first())
        return known
    }

    fun clear() {
        prefixes.clear()
    }

    companion object {
        /** Characters at the start of a prompt that share one cache entry. */
        const val PREFIX_CHARS = 64
        private const val INITIAL_SIZE = 16
        private const val LOAD_FACTOR = 0.75f
    }
}
