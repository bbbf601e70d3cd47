package org.agatestream.core

import kotlinx.serialization.Serializable
import kotlin.jvm.JvmInline

/** The number of a plan, incremented by each change of the planned VMs. */
@Serializable
@JvmInline
public value class PlanEpoch(
    public val number: Long,
) : Comparable<PlanEpoch> {
    /** Returns the epoch of the plan that replaces this one. */
    public fun next(): PlanEpoch = PlanEpoch(number + 1)

    override fun compareTo(other: PlanEpoch): Int = number.compareTo(other.number)

    override fun toString(): String = number.toString()
}

/** A VM that may own limits. */
@Serializable
public data class PlannedVm(
    val id: VmId,
    val failureDomain: FailureDomainId,
)

/** The VMs that may own limits; rendezvous hashing over them assigns each share to its owner. */
@Serializable
public data class Plan(
    val epoch: PlanEpoch = PlanEpoch(0),
    val vms: List<PlannedVm> = emptyList(),
    /** The VMs of the previous plan; empty for the first plan. */
    val previous: List<PlannedVm> = emptyList(),
    /** The configuration revision at which the plan was made; a VM applies the plan only at or after that revision. */
    val revision: Revision = Revision.NONE,
) {
    /** Returns whether [vm] may own limits under this plan. */
    public operator fun contains(vm: VmId): Boolean = vms.any { it.id == vm }
}
