package org.agatestream.core

import java.nio.ByteBuffer
import java.security.MessageDigest

/**
 * A set of item ids that keeps 64 bits of the SHA-256 digest of each.
 *
 * An id that was added is always found. One that was not is found by mistake with a probability of
 * `n / 2^64` among `n` ids.
 */
internal class FingerprintSet {
    private val digest = MessageDigest.getInstance("SHA-256")

    // Sorted runs, each at least twice as long as the next, so that a search visits few of them.
    private val runs = ArrayDeque<LongArray>()

    operator fun contains(id: ItemId): Boolean {
        val fingerprint = fingerprint(id)
        return runs.any { it.binarySearch(fingerprint) >= 0 }
    }

    fun addAll(ids: Collection<ItemId>) {
        var run = ids.map { fingerprint(it) }.toLongArray()
        run.sort()
        while (runs.isNotEmpty() && runs.last().size < 2 * run.size) run = merge(runs.removeLast(), run)
        runs.addLast(run)
    }

    private fun fingerprint(id: ItemId): Long = ByteBuffer.wrap(digest.digest(id.value.encodeToByteArray())).long

    private fun merge(
        a: LongArray,
        b: LongArray,
    ): LongArray {
        val merged = a + b
        merged.sort()
        return merged
    }
}
