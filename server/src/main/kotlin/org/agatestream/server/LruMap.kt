package org.agatestream.server

/** A map that evicts the least recently used entry when it exceeds [capacity] entries. */
internal class LruMap<K, V>(
    private val capacity: Int,
) : LinkedHashMap<K, V>(16, 0.75f, true) {
    override fun removeEldestEntry(eldest: MutableMap.MutableEntry<K, V>?): Boolean = size > capacity
}
