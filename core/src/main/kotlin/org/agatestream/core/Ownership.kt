package org.agatestream.core

import java.nio.ByteBuffer
import java.security.MessageDigest

/** Returns the owners of the [count] shares of [key] under this plan. */
public fun Plan.owners(
    key: String,
    count: Int,
): List<PlannedVm> = vms.owners(key, count)

/**
 * Returns the owner of each of the [count] shares of [key], by rendezvous hashing.
 *
 * Owners are in different failure domains, or else on different VMs, as far as there are enough of them. The loss of
 * a VM moves the shares that it owned and rarely others. Returns an empty list if there are no VMs.
 */
public fun List<PlannedVm>.owners(
    key: String,
    count: Int,
): List<PlannedVm> {
    if (isEmpty()) return emptyList()
    val byDomain = groupBy { it.failureDomain }
    val owners = ArrayList<PlannedVm>(count)
    repeat(count) { share ->
        val rankKey = "$key#$share"
        val unused = byDomain.mapValues { (_, vms) -> vms - owners.toSet() }.filterValues { it.isNotEmpty() }
        val domains = unused.ifEmpty { byDomain }
        val minShares = domains.keys.minOf { owners.sharesIn(it) }
        val domain =
            domains.keys
                .filter {
                    owners.sharesIn(
                        it,
                    ) == minShares
                }.maxBy { rendezvousRank(rankKey, it.value) }
        owners += domains.getValue(domain).maxBy { rendezvousRank(rankKey, it.id.value) }
    }
    return owners
}

private fun List<PlannedVm>.sharesIn(domain: FailureDomainId): Int = count { it.failureDomain == domain }

/** Returns the rendezvous hash of [candidate] for [key]; the candidate with the highest rank is chosen. */
internal fun rendezvousRank(
    key: String,
    candidate: String,
): Long {
    val digest = MessageDigest.getInstance("SHA-256")
    digest.update(key.encodeToByteArray())
    digest.update(0)
    return ByteBuffer.wrap(digest.digest(candidate.encodeToByteArray())).getLong()
}
