package org.agatestream.core

import kotlinx.serialization.Serializable
import kotlin.jvm.JvmInline

/** The number of a plan; each change of the planned VMs makes the next one. */
@Serializable
@JvmInline
public value class PlanEpoch(
    public val number: Long,
) : Comparable<PlanEpoch> {
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
)
