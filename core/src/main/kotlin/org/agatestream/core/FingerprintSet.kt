package org.agatestream.core

import java.nio.ByteBuffer
import java.security.MessageDigest

/**
 * A probabilistic set of item ids that stores 64 bits of the SHA-256 digest of each.
 *
 * There are no false negatives. The probability of a false positive among `n` ids is `n / 2^64`.
 */
internal class FingerprintSet {
    private val digest = MessageDigest.getInstance("SHA-256")

    // Sorted runs, each at least twice as long as the next, so that a lookup searches few of them.
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
