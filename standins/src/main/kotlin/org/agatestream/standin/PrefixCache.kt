package org.agatestream.standin

/** LRU cache of the prompt prefixes of an engine. */
internal class PrefixCache(
    private val capacity: Int,
) {
    private val prefixes = LinkedHashMap<String, Unit>(INITIAL_SIZE, LOAD_FACTOR, true)

    /** Adds the prefix of [prompt] and returns whether it was already cached. */
    fun touch(prompt: String): Boolean {
        val wasCached = prefixes.put(prompt.take(PREFIX_CHARS), Unit) != null
        if (prefixes.size > capacity) prefixes.remove(prefixes.keys.first())
        return wasCached
    }

    fun clear() {
        prefixes.clear()
    }

    companion object {
        /** Prompts that share this many leading characters share a cache entry. */
        const val PREFIX_CHARS = 64
        private const val INITIAL_SIZE = 16
        private const val LOAD_FACTOR = 0.75f
    }
}
