package org.agatestream.core

import kotlinx.serialization.Serializable

/** Identifies one share of an owned limit; [count] is how many shares the limit has. */
@Serializable
public data class ShareKey(
    val key: String,
    val share: Int,
    val count: Int,
)

/** The owner of a share under a plan, and its owner under the plan before; null where a plan has no VM. */
public data class ShareOwners(
    val owner: VmId?,
    val before: VmId?,
)

/** Returns who owns [share] under this plan and who did under the plan before. */
public fun Plan.toShareOwners(share: ShareKey): ShareOwners = ShareOwners(vms.ownerOf(share), previous.ownerOf(share))

/** Whether this VM may act as the owner of a share. */
public sealed interface OwnerStanding {
    /** It may; [origin] says what it may know of the share's state. */
    public data class Owner(
        val origin: OwnerOrigin,
    ) : OwnerStanding

    /** Another VM is the owner, or none if [owner] is null. */
    public data class OtherOwner(
        val owner: VmId?,
    ) : OwnerStanding

    /** It will be the owner once the owner before it can't act any more. */
    public data object Waiting : OwnerStanding

    /** It knows too little of the fleet to act. */
    public data object NotCurrent : OwnerStanding
}

/** How the owner of a share came by it. */
public enum class OwnerOrigin {
    /** The VM owned the share under the plan before, or nobody did. */
    KEPT,

    /** The owner before handed the share's state over. */
    HANDED_OVER,

    /** The owner before is gone or its lease ran out; its state is lost. */
    TAKEN_OVER,
}

/** What a VM knows of the plan and of the owners before it. */
public data class PlanStanding(
    val plan: Plan = Plan(),
    /** When this VM learned that a majority had applied the plan, or null if it hasn't. */
    val effectiveSince: MonotonicTime? = null,
    /** VMs that the platform's list showed and shows no more. */
    val gone: Set<VmId> = emptySet(),
    /** Shares that their owners under the plan before handed over under this plan. */
    val conceded: Set<ShareKey> = emptySet(),
) {
    /** Returns whether the owners under the plan before have surely stopped. */
    public fun isSettled(
        now: MonotonicTime,
        policy: FreshnessPolicy,
    ): Boolean = plan.previous.isEmpty() || (effectiveSince != null && now - effectiveSince >= policy.takeoverWait)

    /** Applies a newer plan; an older one changes nothing. */
    public fun onPlan(next: Plan): PlanStanding = if (next.epoch > plan.epoch) PlanStanding(next, gone = gone) else this

    /** Applies the news that the plan of [epoch] is in force. */
    public fun onEffective(
        epoch: PlanEpoch,
        now: MonotonicTime,
    ): PlanStanding = if (epoch >= plan.epoch && effectiveSince == null) copy(effectiveSince = now) else this

    /** Applies the message of [from] that it stopped acting as owner of [share] when it applied the plan of [epoch]. */
    public fun onConcession(
        share: ShareKey,
        epoch: PlanEpoch,
        from: VmId,
    ): PlanStanding {
        val isFromOwner = epoch == plan.epoch && plan.previous.ownerOf(share) == from
        return if (isFromOwner) copy(conceded = conceded + share) else this
    }

    /**
     * Returns whether [self] may act as owner of [share] at [now].
     *
     * A VM that was paused asks this again with the present time and finds that it is not current.
     */
    public fun standing(
        self: VmId,
        share: ShareKey,
        isCurrent: Boolean,
        now: MonotonicTime,
        policy: FreshnessPolicy,
        owners: ShareOwners = plan.toShareOwners(share),
    ): OwnerStanding {
        if (!isCurrent) return OwnerStanding.NotCurrent
        if (owners.owner != self) return OwnerStanding.OtherOwner(owners.owner)
        val before = owners.before
        return when {
            before == null || before == self -> OwnerStanding.Owner(OwnerOrigin.KEPT)
            share in conceded -> OwnerStanding.Owner(OwnerOrigin.HANDED_OVER)
            before in gone || isSettled(now, policy) -> OwnerStanding.Owner(OwnerOrigin.TAKEN_OVER)
            else -> OwnerStanding.Waiting
        }
    }
}

/** Returns the VM that owns [share], or null if there is no VM. */
public fun List<PlannedVm>.ownerOf(share: ShareKey): VmId? = owners(share.key, share.count).getOrNull(share.share)?.id
