package org.agatestream.server

import org.agatestream.core.FreshnessPolicy
import org.agatestream.core.MonotonicTime
import org.agatestream.core.OwnerOrigin
import org.agatestream.core.OwnerStanding
import org.agatestream.core.Plan
import org.agatestream.core.PlanStanding
import org.agatestream.core.ShareKey
import org.agatestream.core.VmId
import org.agatestream.core.ownerOf
import java.util.concurrent.ConcurrentHashMap

/**
 * The rights to shares that follow from the plan.
 *
 * Call [onPlan] for each plan that this VM applies, in order; after a plan that was missed every share starts anew.
 */
public class PlannedShareRights(
    private val self: VmId,
    private val standing: () -> PlanStanding,
    private val isCurrent: (MonotonicTime) -> Boolean,
    private val policy: FreshnessPolicy,
) : ShareRights {
    private val cache = OwnerCache()
    private val tenures = ConcurrentHashMap<OwnedShare, Tenure>()

    @Volatile
    private var applied: List<AppliedPlan> = emptyList()

    /** Takes down that this VM applied [plan] at [now]. */
    @Synchronized
    public fun onPlan(
        plan: Plan,
        now: MonotonicTime,
    ) {
        val last = applied.lastOrNull()?.plan
        if (last != null && plan.epoch <= last.epoch) return
        val follows = last != null && plan.epoch.number == last.epoch.number + 1
        applied = (if (follows) applied else emptyList()).takeLast(MOST_PLANS - 1) + AppliedPlan(plan, now)
    }

    override fun owners(
        key: String,
        count: Int,
    ): List<VmId> = cache.owners(standing().plan, key, count)

    override fun ownedSince(
        share: OwnedShare,
        now: MonotonicTime,
    ): MonotonicTime? {
        val present = standing()
        val key = share.toShareKey()
        val owners = cache.shareOwners(present.plan, key)
        return when (val right = present.standing(self, key, isCurrent(now), now, policy, owners)) {
            is OwnerStanding.Owner -> {
                tenure(share, present, right.origin, now).since
            }

            OwnerStanding.NotCurrent -> {
                null
            }

            is OwnerStanding.OtherOwner, OwnerStanding.Waiting -> {
                tenures.remove(share)
                null
            }
        }
    }

    override fun isGone(vm: VmId): Boolean = vm in standing().gone

    private fun tenure(
        share: OwnedShare,
        present: PlanStanding,
        origin: OwnerOrigin,
        now: MonotonicTime,
    ): Tenure {
        val epoch = present.plan.epoch.number
        return tenures.compute(share) { _, old ->
            val key = share.toShareKey()
            when {
                old == null -> Tenure(if (origin == OwnerOrigin.KEPT) ownedByPlansSince(key, now) else now, epoch)
                old.epoch == epoch -> old
                ownedThrough(key, old.epoch, epoch) -> Tenure(old.since, epoch)
                else -> Tenure(now, epoch)
            }
        }!!
    }

    /** Returns since when plans without a gap have named this VM, if nobody owned the share before; else [now]. */
    private fun ownedByPlansSince(
        key: ShareKey,
        now: MonotonicTime,
    ): MonotonicTime {
        val owned = applied.takeLastWhile { it.plan.vms.ownerOf(key) == self }
        val first = owned.firstOrNull() ?: return now
        val before = first.plan.previous.ownerOf(key)
        return if (before == null || before == self) first.at else now
    }

    private fun ownedThrough(
        key: ShareKey,
        from: Long,
        to: Long,
    ): Boolean {
        val between = applied.filter { it.plan.epoch.number in from..to }
        return between.size.toLong() == to - from + 1 && between.all { it.plan.vms.ownerOf(key) == self }
    }

    private class AppliedPlan(
        val plan: Plan,
        val at: MonotonicTime,
    )

    private class Tenure(
        val since: MonotonicTime,
        val epoch: Long,
    )

    private companion object {
        const val MOST_PLANS = 16
    }
}

private fun OwnedShare.toShareKey(): ShareKey = ShareKey(key, share, count)
