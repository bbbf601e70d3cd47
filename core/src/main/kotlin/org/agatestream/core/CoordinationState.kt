package org.agatestream.core

/**
 * All that one VM knows of the fleet, with the transitions that events make.
 *
 * It holds no I/O: the shell reads the table, asks peers, and feeds the answers in with the times of asking.
 */
public data class CoordinationState(
    val self: VmId,
    val policy: FreshnessPolicy,
    val freshness: Freshness,
    val standing: PlanStanding = PlanStanding(),
    val membership: Membership = Membership(self),
    val config: ConfigState = ConfigState(),
    /** The newest plan that this VM knows to be in force. */
    val effective: PlanEpoch = PlanEpoch(0),
) {
    public val plan: Plan get() = standing.plan

    /** How far this VM has come. */
    public val head: FleetHead get() = FleetHead(config.revision, plan.epoch)

    /** Returns whether this VM knows every change that was accepted longer ago than the bound. */
    public fun isCurrent(now: MonotonicTime): Boolean = freshness.isCurrent(now, policy)

    /** Applies a read of the table's head that was sent at [sentAt]. */
    public fun onTableHead(
        head: FleetHead,
        sentAt: MonotonicTime,
    ): CoordinationState = copy(freshness = freshness.onTableHead(head, sentAt))

    /** Applies the answer of [peer] to a heartbeat that was sent at [sentAt] and answered at [now]. */
    public fun onAnswer(
        peer: VmId,
        status: PeerStatus,
        sentAt: MonotonicTime,
        now: MonotonicTime,
    ): CoordinationState {
        val evidence = status.toEvidence(peer, sentAt, plan)
        return copy(
            freshness = freshness.onPeer(evidence, plan, policy),
            membership = membership.onAnswer(peer, sentAt),
        ).onEffective(status.effective, now)
    }

    /** Applies the lack of an answer of [peer] to an ask sent at [sentAt]. */
    public fun onSilence(
        peer: VmId,
        sentAt: MonotonicTime,
    ): CoordinationState = copy(membership = membership.onSilence(peer, sentAt))

    /** Applies a read of the platform's VM list that was sent while [plan] was known. */
    public fun onList(
        vms: List<ListedVm>,
        plan: Plan,
    ): CoordinationState {
        val next = membership.onList(vms, (plan.vms + plan.previous).mapTo(HashSet()) { it.id })
        return copy(membership = next, standing = standing.copy(gone = next.gone))
    }

    /**
     * Applies settings and plan as read from the table or a peer; older ones change nothing.
     *
     * A plan is applied only along with the settings that it was made at, so that no VM knows a plan and lacks a
     * change from before it.
     */
    public fun onUpdate(
        delta: ConfigDelta,
        plan: Plan,
    ): CoordinationState {
        val nextConfig = config.apply(delta)
        val nextStanding = if (nextConfig.revision >= plan.revision) standing.onPlan(plan) else standing
        if (nextConfig === config && nextStanding === standing) return this
        val next = copy(config = nextConfig, standing = nextStanding)
        return next.copy(freshness = freshness.onApplied(next.head, next.plan, policy))
    }

    /** Applies the news that the plan of [epoch] is in force. */
    public fun onEffective(
        epoch: PlanEpoch,
        now: MonotonicTime,
    ): CoordinationState =
        copy(
            effective = maxOf(effective, epoch),
            standing = standing.onEffective(maxOf(effective, epoch), now),
        )

    /** Returns what this VM tells of itself at [now]. */
    public fun toStatus(now: MonotonicTime): PeerStatus {
        val age = freshness.knownSince?.let { now - it }
        val isAgeing = age == null || age > policy.bound / AGEING_FRACTION
        return PeerStatus(
            head = head,
            effective = effective,
            initialised = age != null,
            ageMillis = age?.let { it.inWholeMilliseconds + 1 },
            contactAges = if (isAgeing) plan.toContactAges(freshness.contacts, now) else ByteArray(0),
        )
    }

    /** Returns whether this VM may act as owner of [share] at [now]. */
    public fun standing(
        share: ShareKey,
        now: MonotonicTime,
        owners: ShareOwners = plan.toShareOwners(share),
    ): OwnerStanding = standing.standing(self, share, isCurrent(now), now, policy, owners)

    public companion object {
        private const val AGEING_FRACTION = 3

        /** Makes the state of a VM whose process started at [now]. */
        public fun start(
            self: VmId,
            now: MonotonicTime,
            policy: FreshnessPolicy = FreshnessPolicy(),
        ): CoordinationState = CoordinationState(self, policy, Freshness(self, now))
    }
}
