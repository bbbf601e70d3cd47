package org.agatestream.core

/**
 * The VMs that confirmed to have applied at least [head], each with the time when the request was sent.
 *
 * A confirmation is valid for [FreshnessPolicy.ackWindow] only, because the VM may restart and lose its state.
 */
public data class AppliedConfirmations(
    val head: FleetHead,
    val askedAt: Map<VmId, MonotonicTime> = emptyMap(),
) {
    /** Returns the tally with the response of [vm] to a request sent at [sentAt], if the VM has applied the head. */
    public fun onResponse(
        vm: VmId,
        applied: FleetHead,
        sentAt: MonotonicTime,
    ): AppliedConfirmations = if (applied.covers(head)) copy(askedAt = askedAt + (vm to sentAt)) else this

    /**
     * Returns whether a majority of the VMs of the plan, and one of the previous plan, applied the head or are [gone].
     *
     * Both majorities are needed because some VMs may still act under the previous plan.
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
