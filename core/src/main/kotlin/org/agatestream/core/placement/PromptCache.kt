package org.agatestream.core.placement

import org.agatestream.core.MonotonicTime
import org.agatestream.core.PromptPart
import kotlin.time.Duration.Companion.seconds

/**
 * The shared prompt parts that a server presumably has cached.
 *
 * The server's own eviction is not known: the least recently used parts beyond [capacityTokens] and parts unused for
 * [RETENTION] count as evicted.
 */
internal class PromptCache(
    var capacityTokens: Int = DEFAULT_CAPACITY_TOKENS,
) {
    private class Entry(
        val tokens: Int,
        val usedAt: MonotonicTime,
    )

    private val entries = LinkedHashMap<PromptPart, Entry>()
    private var tokens = 0L

    /** Returns the tokens of the leading [parts] that are cached; a part is cached only if all before it are. */
    fun heldTokens(
        parts: List<SizedPart>,
        now: MonotonicTime,
    ): Int {
        var held = 0
        for (index in parts.indices) {
            val entry = entries[parts[index].part] ?: break
            if (now - entry.usedAt > RETENTION) break
            held += entry.tokens
        }
        return held
    }

    /** Records a run whose prompt begins with [parts]. */
    fun onRun(
        parts: List<SizedPart>,
        now: MonotonicTime,
    ) {
        for (sized in parts) {
            entries.remove(sized.part)?.let { tokens -= it.tokens }
            entries[sized.part] = Entry(sized.tokens, now)
            tokens += sized.tokens
        }
        val oldest = entries.values.iterator()
        while ((tokens > capacityTokens || entries.size > MAX_PARTS) && oldest.hasNext()) {
            tokens -= oldest.next().tokens
            oldest.remove()
        }
    }

    /** Forgets all parts, as after a restart of the server. */
    fun clear() {
        entries.clear()
        tokens = 0
    }

    private companion object {
        // Half of the memory of the smallest known engines; running requests occupy the rest.
        const val DEFAULT_CAPACITY_TOKENS = 50_000
        const val MAX_PARTS = 1_000
        val RETENTION = 30.seconds
    }
}
