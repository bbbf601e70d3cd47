package org.agatestream.core

import kotlinx.serialization.json.Json
import kotlin.time.Duration
import kotlin.time.Duration.Companion.milliseconds
import kotlin.time.Duration.Companion.seconds

/** The inputs of a VM's decision whether to change the plan. */
public data class PlanInput(
    val self: VmId,
    val ownership: PlanOwnership,
    val membership: Membership,
    /** VMs that this VM and several others can't reach. */
    val unreachable: Set<VmId>,
    val isCurrent: Boolean,
)

/**
 * Decides when this VM proposes a new plan.
 *
 * All VMs detect the need for a change at about the same time. Each waits by its rank for the next epoch before it
 * proposes, so that usually one VM writes and the others learn of its plan first. The table accepts only one write.
 */
public data class PlanChange(
    val neededSince: MonotonicTime? = null,
) {
    /** Records at [now] whether a change is needed. */
    public fun onInput(
        input: PlanInput,
        now: MonotonicTime,
    ): PlanChange =
        when {
            input.findNeededVms() == null -> PlanChange()
            neededSince == null -> PlanChange(now)
            else -> this
        }

    /** Returns the plan to propose at [now], or null if it is not this VM's turn or no change is needed. */
    public fun toProposal(
        input: PlanInput,
        now: MonotonicTime,
        policy: FreshnessPolicy,
    ): Plan? {
        val plan = input.ownership.plan
        val since = neededSince ?: return null
        val needed = input.findNeededVms() ?: return null
        val isSettled = plan.epoch.number == 0L || input.ownership.isSettledForChange(now, policy)
        val isProposalDue = now - since >= INITIAL_DELAY + DELAY_PER_RANK * input.proposalRank()
        if (!input.isCurrent || !isSettled || !isProposalDue) return null
        return Plan(plan.epoch.next(), needed, plan.vms)
    }

    private companion object {
        val INITIAL_DELAY: Duration = 500.milliseconds
        val DELAY_PER_RANK: Duration = 200.milliseconds
    }
}

/** The maximum time from the need for a new plan to the proposal of any VM that detects it. */
public val MAX_PLAN_DELAY: Duration = 5.seconds

private const val MAX_RANK = 20

private fun PlanOwnership.isSettledForChange(
    now: MonotonicTime,
    policy: FreshnessPolicy,
): Boolean = effectiveSince != null && now - effectiveSince >= policy.takeoverWait

private fun PlanInput.proposalRank(): Int {
    val roundKey = "plan#${ownership.plan.epoch.next()}"
    val ownRank = rendezvousRank(roundKey, self.value)
    return membership.peers.count { rendezvousRank(roundKey, it.value) > ownRank }.coerceAtMost(MAX_RANK)
}

/** Returns the VMs of the plan that is needed, or null if the current plan needs no change. */
private fun PlanInput.findNeededVms(): List<PlannedVm>? {
    val planned = ownership.plan.vms.mapTo(HashSet()) { it.id }
    val needed =
        membership.listed
            .filter { !it.leaving && it.id !in unreachable }
            .filter { it.id == self || it.id in planned || it.id in membership.answered }
            .filter { it.id !in membership.unreachableSince || it.id in planned }
            .map { PlannedVm(it.id, it.failureDomain) }
    val isUnchanged = needed.size == planned.size && needed.all { it.id in planned }
    return needed.takeUnless { isUnchanged || it.isEmpty() }
}

/**
 * Returns the transaction that stores this plan if nothing changed since [headRow] and [planRow] were read.
 *
 * The stored plan contains the revision of the head, because a VM may apply the plan only at or after that revision.
 */
public fun Plan.toTransaction(
    headRow: Row?,
    planRow: Row?,
): Transaction {
    val head = headRow.toFleetHead().copy(epoch = epoch)
    val plan = copy(revision = head.revision)
    return Transaction(
        conditions =
            listOf(
                RowCondition(HEAD_KEY, headRow?.version ?: RowVersion.ABSENT),
                RowCondition(PLAN_KEY, planRow?.version ?: RowVersion.ABSENT),
            ),
        writes =
            listOf(
                RowWrite(PLAN_KEY, Json.encodeToString(plan)),
                RowWrite(HEAD_KEY, Json.encodeToString(head)),
            ),
    )
}
