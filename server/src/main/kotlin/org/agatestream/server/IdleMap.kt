package org.agatestream.server

import org.agatestream.core.MonotonicTime
import kotlin.time.Duration

/** A map whose entries are dropped once they have been idle for [retention]. */
internal class IdleMap<K, V>(
    private val retention: Duration,
) {
    private class Entry<V>(
        val value: V,
        /** Since when nothing uses the entry; null while it is in use. */
        var idleSince: MonotonicTime? = null,
    )

    private val entries = HashMap<K, Entry<V>>()

    operator fun get(key: K): V? = entries[key]?.value

    /** Returns the value of [key], which [create] makes if there is none, and marks it as in use. */
    fun use(
        key: K,
        create: () -> V,
    ): V {
        val entry = entries.getOrPut(key) { Entry(create()) }
        entry.idleSince = null
        return entry.value
    }

    /** Marks [key] as idle from [now] on, and drops what has been idle for too long. */
    fun onIdle(
        key: K,
        now: MonotonicTime,
    ) {
        entries[key]?.idleSince = now
        entries.values.removeAll { entry -> entry.idleSince?.let { now - it >= retention } == true }
    }

    operator fun minusAssign(key: K) {
        entries.remove(key)
    }
}
