package org.agatestream.server

import org.agatestream.core.Plan
import org.agatestream.core.ShareKey
import org.agatestream.core.ShareOwners
import org.agatestream.core.VmId
import org.agatestream.core.owners
import org.agatestream.core.toShareOwners
import java.util.concurrent.ConcurrentHashMap

/** Caches share owners under the latest plan, since computing one hashes every VM of a failure domain. */
internal class OwnerCache {
    @Volatile
    private var generation = Generation(Plan())

    /** Returns the owner of each of the [count] shares of [key] under [plan]. */
    fun owners(
        plan: Plan,
        key: String,
        count: Int,
    ): List<VmId> {
        val cache = generationOf(plan).owners
        return cache.computeIfAbsent(ShareKey(key, 0, count)) { plan.owners(key, count).map { vm -> vm.id } }
    }

    /** Returns the owner of [share] under [plan] and under the previous plan. */
    fun shareOwners(
        plan: Plan,
        share: ShareKey,
    ): ShareOwners = generationOf(plan).shareOwners.computeIfAbsent(share) { plan.toShareOwners(it) }

    private fun generationOf(plan: Plan): Generation {
        val known = generation
        if (known.plan === plan || known.plan == plan) return known
        return Generation(plan).also { if (plan.epoch > known.plan.epoch) generation = it }
    }

    private class Generation(
        val plan: Plan,
    ) {
        val owners = ConcurrentHashMap<ShareKey, List<VmId>>()
        val shareOwners = ConcurrentHashMap<ShareKey, ShareOwners>()
    }
}
