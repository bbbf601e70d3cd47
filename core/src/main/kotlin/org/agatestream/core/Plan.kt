package org.agatestream.core

import kotlinx.serialization.Serializable
import kotlin.jvm.JvmInline

/** The number of a plan; each change of the planned VMs makes the next one. */
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

/** The VMs that may own limits; who owns what follows from it by rendezvous hashing. */
@Serializable
public data class Plan(
    val epoch: PlanEpoch = PlanEpoch(0),
    val vms: List<PlannedVm> = emptyList(),
    /** The VMs of the plan that this one replaced; empty for the first plan. */
    val previous: List<PlannedVm> = emptyList(),
    /** The revision of the configuration when the plan was made; a VM applies the plan only at or after it. */
    val revision: Revision = Revision.NONE,
) {
    /** Returns whether [vm] may own limits under this plan. */
    public operator fun contains(vm: VmId): Boolean = vms.any { it.id == vm }
}
