package org.agatestream.core

/**
 * A VM's knowledge of the fleet, with its transitions on events.
 *
 * Performs no I/O: the caller reads the table, queries peers, and passes in the responses together with the times at
 * which the requests were sent.
 */
public data class CoordinationState(
    val self: VmId,
    val policy: FreshnessPolicy,
    val freshness: Freshness,
    val ownership: PlanOwnership = PlanOwnership(),
    val membership: Membership = Membership(self),
    val config: ConfigState = ConfigState(),
    /** The newest plan known to be in force. */
    val effectiveEpoch: PlanEpoch = PlanEpoch(0),
) {
    public val plan: Plan get() = ownership.plan

    /** The revision and the plan that this VM has applied. */
    public val head: FleetHead get() = FleetHead(config.revision, plan.epoch)

    /** Returns whether this VM knows every change that was accepted before [now] minus the freshness bound. */
    public fun isCurrent(now: MonotonicTime): Boolean = freshness.isCurrent(now, policy)

    /** Applies a read of the table's head that was sent at [sentAt]. */
    public fun onTableHead(
        head: FleetHead,
        sentAt: MonotonicTime,
    ): CoordinationState = copy(freshness = freshness.onTableHead(head, sentAt))

    /** Applies the response of [peer], received at [now], to a heartbeat sent at [sentAt]. */
    public fun onResponse(
        peer: VmId,
        status: PeerStatus,
        sentAt: MonotonicTime,
        now: MonotonicTime,
    ): CoordinationState {
        val evidence = status.toEvidence(peer, sentAt, plan)
        return copy(
            freshness = freshness.onPeerEvidence(evidence, plan, policy),
            membership = membership.onResponse(peer, sentAt),
        ).onEffective(status.effective, now)
    }

    /** Records that [peer] did not respond to a heartbeat sent at [sentAt]. */
    public fun onNoResponse(
        peer: VmId,
        sentAt: MonotonicTime,
    ): CoordinationState = copy(membership = membership.onNoResponse(peer, sentAt))

    /** Applies a read of the platform's VM list; [plan] is the plan known when the read was sent. */
    public fun onList(
        vms: List<ListedVm>,
        plan: Plan,
    ): CoordinationState {
        val next = membership.onList(vms, (plan.vms + plan.previous).mapTo(HashSet()) { it.id })
        return copy(membership = next, ownership = ownership.copy(gone = next.gone))
    }

    /**
     * Applies settings and a plan read from the table or a peer; older ones change nothing.
     *
     * A plan is applied only once the settings have reached the plan's revision, so that no VM applies a plan while
     * it lacks an earlier change.
     */
    public fun onUpdate(
        delta: ConfigDelta,
        plan: Plan,
    ): CoordinationState {
        val nextConfig = config.apply(delta)
        val nextOwnership = if (nextConfig.revision >= plan.revision) ownership.onPlan(plan) else ownership
        if (nextConfig === config && nextOwnership === ownership) return this
        val next = copy(config = nextConfig, ownership = nextOwnership)
        return next.copy(freshness = freshness.onApplied(next.head, next.plan, policy))
    }

    /** Records that the plan of [epoch] is in force. */
    public fun onEffective(
        epoch: PlanEpoch,
        now: MonotonicTime,
    ): CoordinationState =
        copy(
            effectiveEpoch = maxOf(effectiveEpoch, epoch),
            ownership = ownership.onEffective(maxOf(effectiveEpoch, epoch), now),
        )

    /** Returns the status that this VM sends to peers at [now]. */
    public fun toStatus(now: MonotonicTime): PeerStatus {
        val age = freshness.knownSince?.let { now - it }
        val reportsContacts = age == null || age > policy.maxAge / CONTACT_AGE_DIVISOR
        return PeerStatus(
            head = head,
            effective = effectiveEpoch,
            initialised = age != null,
            ageMillis = age?.let { it.inWholeMilliseconds + 1 },
            contactAges = if (reportsContacts) plan.toContactAges(freshness.contacts, now) else ByteArray(0),
        )
    }

    /** Returns whether this VM may act as owner of [share] at [now]. */
    public fun ownershipOf(
        share: ShareKey,
        now: MonotonicTime,
        owners: ShareOwners = plan.toShareOwners(share),
    ): OwnershipStatus = ownership.ownershipOf(self, share, isCurrent(now), now, policy, owners)

    public companion object {
        private const val CONTACT_AGE_DIVISOR = 3

        /** Creates the state of a VM whose process started at [now]. */
        public fun start(
            self: VmId,
            now: MonotonicTime,
            policy: FreshnessPolicy = FreshnessPolicy(),
        ): CoordinationState = CoordinationState(self, policy, Freshness(self, now))
    }
}
