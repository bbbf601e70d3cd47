package org.agatestream.core

/**
 * The VMs that confirmed to have applied at least [head], each with the time when it was asked.
 *
 * A confirmation counts for [FreshnessPolicy.ackWindow] only, because the VM may restart and forget.
 */
public data class AppliedTally(
    val head: FleetHead,
    val askedAt: Map<VmId, MonotonicTime> = emptyMap(),
) {
    /** Adds the answer of [vm], which was asked at [sentAt], if it has applied the head. */
    public fun onAnswer(
        vm: VmId,
        applied: FleetHead,
        sentAt: MonotonicTime,
    ): AppliedTally = if (applied.covers(head)) copy(askedAt = askedAt + (vm to sentAt)) else this

    /**
     * Returns whether a majority of the planned VMs, and of those of the plan before, applied the head or are [gone].
     *
     * Both majorities are needed because some VMs may still act under the plan before.
     */
    public fun isInForce(
        plan: Plan,
        gone: Set<VmId>,
        now: MonotonicTime,
        policy: FreshnessPolicy,
    ): Boolean {
        val counted = askedAt.filterValues { now - it <= policy.ackWindow }.keys
        return plan.epoch <= head.epoch &&
            listOf(plan.vms, plan.previous)
                .filter { it.isNotEmpty() }
                .all { vms -> policy.isMajority(vms.count { it.id in counted || it.id in gone }, vms.size) }
    }
}
