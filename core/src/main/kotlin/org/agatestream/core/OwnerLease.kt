package org.agatestream.core

import kotlinx.serialization.Serializable

/** Identifies one share of an owned limit; [count] is the number of shares of the limit. */
@Serializable
public data class ShareKey(
    val key: String,
    val share: Int,
    val count: Int,
)

/** The owners of a share under a plan and under the previous plan; null where a plan has no VMs. */
public data class ShareOwners(
    val owner: VmId?,
    val previousOwner: VmId?,
)

/** Returns the owners of [share] under this plan and under the previous plan. */
public fun Plan.toShareOwners(share: ShareKey): ShareOwners = ShareOwners(vms.ownerOf(share), previous.ownerOf(share))

/** Whether this VM may act as the owner of a share. */
public sealed interface OwnershipStatus {
    /** It may; [origin] determines what it knows about the share's state. */
    public data class Owner(
        val origin: OwnerOrigin,
    ) : OwnershipStatus

    /** Another VM is the owner; [owner] is null if there is none. */
    public data class OtherOwner(
        val owner: VmId?,
    ) : OwnershipStatus

    /** It becomes the owner once the previous owner can no longer act. */
    public data object Waiting : OwnershipStatus

    /** Its knowledge of the fleet is too old to act. */
    public data object NotCurrent : OwnershipStatus
}

/** How an owner acquired a share. */
public enum class OwnerOrigin {
    /** The VM owned the share under the previous plan, or there was no owner. */
    KEPT,

    /** The previous owner handed over the share's state. */
    HANDED_OVER,

    /** The previous owner is gone or its lease expired; the share's state is lost. */
    TAKEN_OVER,
}

/** A VM's view of the current plan and of the previous owners. */
public data class PlanOwnership(
    val plan: Plan = Plan(),
    /** When this VM learned that a majority had applied the plan; null if it is not known to have. */
    val effectiveSince: MonotonicTime? = null,
    /** VMs that were removed from the platform's list. */
    val gone: Set<VmId> = emptySet(),
    /** Shares that their previous owners handed over under the current plan. */
    val receivedHandovers: Set<ShareKey> = emptySet(),
) {
    /** Returns whether the owners under the previous plan are guaranteed to have stopped. */
    public fun isSettled(
        now: MonotonicTime,
        policy: FreshnessPolicy,
    ): Boolean = plan.previous.isEmpty() || (effectiveSince != null && now - effectiveSince >= policy.takeoverWait)

    /** Applies a newer plan; an older one changes nothing. */
    public fun onPlan(next: Plan): PlanOwnership =
        if (next.epoch > plan.epoch) PlanOwnership(next, gone = gone) else this

    /** Records that the plan of [epoch] is in force. */
    public fun onEffective(
        epoch: PlanEpoch,
        now: MonotonicTime,
    ): PlanOwnership = if (epoch >= plan.epoch && effectiveSince == null) copy(effectiveSince = now) else this

    /** Records that [from] stopped acting as owner of [share] when it applied the plan of [epoch]. */
    public fun onHandover(
        share: ShareKey,
        epoch: PlanEpoch,
        from: VmId,
    ): PlanOwnership {
        val isFromOwner = epoch == plan.epoch && plan.previous.ownerOf(share) == from
        return if (isFromOwner) copy(receivedHandovers = receivedHandovers + share) else this
    }

    /**
     * Returns whether [self] may act as owner of [share] at [now].
     *
     * After a pause, call this again with the current time: the VM is then no longer current.
     */
    public fun ownershipOf(
        self: VmId,
        share: ShareKey,
        isCurrent: Boolean,
        now: MonotonicTime,
        policy: FreshnessPolicy,
        owners: ShareOwners = plan.toShareOwners(share),
    ): OwnershipStatus {
        if (!isCurrent) return OwnershipStatus.NotCurrent
        if (owners.owner != self) return OwnershipStatus.OtherOwner(owners.owner)
        val previousOwner = owners.previousOwner
        return when {
            previousOwner == null || previousOwner == self -> OwnershipStatus.Owner(OwnerOrigin.KEPT)
            share in receivedHandovers -> OwnershipStatus.Owner(OwnerOrigin.HANDED_OVER)
            previousOwner in gone || isSettled(now, policy) -> OwnershipStatus.Owner(OwnerOrigin.TAKEN_OVER)
            else -> OwnershipStatus.Waiting
        }
    }
}

/** Returns the VM that owns [share], or null if there is no VM. */
public fun List<PlannedVm>.ownerOf(share: ShareKey): VmId? = owners(share.key, share.count).getOrNull(share.share)?.id
