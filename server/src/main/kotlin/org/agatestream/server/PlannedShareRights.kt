package org.agatestream.server

import org.agatestream.core.FreshnessPolicy
import org.agatestream.core.MonotonicTime
import org.agatestream.core.OwnerOrigin
import org.agatestream.core.OwnershipStatus
import org.agatestream.core.Plan
import org.agatestream.core.PlanOwnership
import org.agatestream.core.ShareKey
import org.agatestream.core.VmId
import org.agatestream.core.ownerOf
import java.util.concurrent.ConcurrentHashMap

/**
 * Derives the ownership of shares from the plan.
 *
 * Call [onPlan] for each plan that this VM applies, in order; a missed plan interrupts the ownership of every share.
 */
public class PlannedShareRights(
    private val self: VmId,
    private val planOwnership: () -> PlanOwnership,
    private val isCurrent: (MonotonicTime) -> Boolean,
    private val policy: FreshnessPolicy,
) : ShareRights {
    private val cache = OwnerCache()
    private val ownerships = ConcurrentHashMap<OwnedShare, Ownership>()

    @Volatile
    private var appliedPlans: List<AppliedPlan> = emptyList()

    /** Records that this VM applied [plan] at [now]. */
    @Synchronized
    public fun onPlan(
        plan: Plan,
        now: MonotonicTime,
    ) {
        val last = appliedPlans.lastOrNull()?.plan
        if (last != null && plan.epoch <= last.epoch) return
        val isConsecutive = last != null && plan.epoch.number == last.epoch.number + 1
        appliedPlans =
            (if (isConsecutive) appliedPlans else emptyList()).takeLast(MAX_APPLIED_PLANS - 1) + AppliedPlan(plan, now)
    }

    override fun owners(
        key: String,
        count: Int,
    ): List<VmId> = cache.owners(planOwnership().plan, key, count)

    override fun ownedSince(
        share: OwnedShare,
        now: MonotonicTime,
    ): MonotonicTime? {
        val current = planOwnership()
        val key = share.toShareKey()
        val owners = cache.shareOwners(current.plan, key)
        return when (val right = current.ownershipOf(self, key, isCurrent(now), now, policy, owners)) {
            is OwnershipStatus.Owner -> {
                ownership(share, current, right.origin, now).since
            }

            OwnershipStatus.NotCurrent -> {
                null
            }

            is OwnershipStatus.OtherOwner, OwnershipStatus.Waiting -> {
                ownerships.remove(share)
                null
            }
        }
    }

    override fun isGone(vm: VmId): Boolean = vm in planOwnership().gone

    private fun ownership(
        share: OwnedShare,
        current: PlanOwnership,
        origin: OwnerOrigin,
        now: MonotonicTime,
    ): Ownership {
        val epoch = current.plan.epoch.number
        return ownerships.compute(share) { _, old ->
            val key = share.toShareKey()
            when {
                old == null -> Ownership(if (origin == OwnerOrigin.KEPT) ownedByPlansSince(key, now) else now, epoch)
                old.epoch == epoch -> old
                ownedThroughout(key, old.epoch, epoch) -> Ownership(old.since, epoch)
                else -> Ownership(now, epoch)
            }
        }!!
    }

    /** Returns since when consecutive plans have named this VM, if nobody owned the share before; otherwise [now]. */
    private fun ownedByPlansSince(
        key: ShareKey,
        now: MonotonicTime,
    ): MonotonicTime {
        val owned = appliedPlans.takeLastWhile { it.plan.vms.ownerOf(key) == self }
        val first = owned.firstOrNull() ?: return now
        val before = first.plan.previous.ownerOf(key)
        return if (before == null || before == self) first.at else now
    }

    private fun ownedThroughout(
        key: ShareKey,
        from: Long,
        to: Long,
    ): Boolean {
        val between = appliedPlans.filter { it.plan.epoch.number in from..to }
        return between.size.toLong() == to - from + 1 && between.all { it.plan.vms.ownerOf(key) == self }
    }

    private class AppliedPlan(
        val plan: Plan,
        val at: MonotonicTime,
    )

    private class Ownership(
        val since: MonotonicTime,
        val epoch: Long,
    )

    private companion object {
        const val MAX_APPLIED_PLANS = 16
    }
}

private fun OwnedShare.toShareKey(): ShareKey = ShareKey(key, share, count)
