package org.agatestream.core

/** A claim that [head] contains all changes accepted before [at]. */
public data class FreshnessClaim(
    val head: FleetHead,
    val at: MonotonicTime,
)

/** A peer's response about its knowledge of the fleet, with ages converted to times on the requester's clock. */
public data class PeerEvidence(
    val peer: VmId,
    val head: FleetHead,
    /** True if the peer has been current at some time since its process started. */
    val initialised: Boolean,
    /** When the request was sent. */
    val sentAt: MonotonicTime,
    /** The peer's own claim, or null if it has none. */
    val knownSince: MonotonicTime?,
    /** When other VMs were last known to have applied no more than [head]. */
    val contacts: Map<VmId, MonotonicTime> = emptyMap(),
)

/**
 * Tracks the age of this VM's knowledge of the fleet on its own monotonic clock.
 *
 * Times are those of sending a request, not of receiving its response, so that delays make knowledge older, not newer.
 * A claim for a head that this VM has not applied yet is kept until the head is applied.
 */
public data class Freshness(
    val self: VmId,
    val startedAt: MonotonicTime,
    val applied: FleetHead = FleetHead.NONE,
    /** All changes accepted before this time are applied on this VM; null until first known. */
    val knownSince: MonotonicTime? = null,
    /** Claims for heads that are not applied yet. */
    val pendingClaims: List<FreshnessClaim> = emptyList(),
    /** When each VM was last known to have applied no more than this one. */
    val contacts: Map<VmId, MonotonicTime> = emptyMap(),
) {
    /** Returns whether this VM knows every change that was accepted before [now] minus the freshness bound. */
    public fun isCurrent(
        now: MonotonicTime,
        policy: FreshnessPolicy,
    ): Boolean = knownSince != null && now - knownSince < policy.maxAge

    /**
     * Applies a read of the table's head that was sent at [sentAt].
     *
     * A head before the applied one proves nothing: responses were reordered, or the table returned a stale row.
     */
    public fun onTableHead(
        head: FleetHead,
        sentAt: MonotonicTime,
    ): Freshness = if (head.covers(applied)) onClaim(FreshnessClaim(head, sentAt)) else this

    /** Applies a peer's response; [plan] is the plan of [applied]. */
    public fun onPeerEvidence(
        evidence: PeerEvidence,
        plan: Plan,
        policy: FreshnessPolicy,
    ): Freshness {
        val floor = earliestPeerEvidence(policy)
        val claimedSince = evidence.knownSince?.takeIf { it >= floor }
        val updated = if (claimedSince == null) this else onClaim(FreshnessClaim(evidence.head, claimedSince))
        if (!applied.covers(evidence.head)) return updated
        return updated.withContacts(evidence.toContacts().filterValues { it >= floor }).withMajority(plan, policy)
    }

    /** Records that this VM has applied [head], whose plan is [plan]. */
    public fun onApplied(
        head: FleetHead,
        plan: Plan,
        policy: FreshnessPolicy,
    ): Freshness {
        invariant("applied-head-never-reverts", head.covers(applied)) { "$self went from $applied to $head" }
        val (covered, uncovered) = pendingClaims.partition { head.covers(it.head) }
        val planned = plan.vms.mapTo(HashSet()) { it.id }
        val next = copy(applied = head, pendingClaims = uncovered, contacts = contacts.filterKeys { it in planned })
        return covered.fold(next) { f, c -> f.withKnownSince(c.at) }.withMajority(plan, policy)
    }

    private fun onClaim(claim: FreshnessClaim): Freshness {
        if (applied.covers(claim.head)) return withKnownSince(claim.at)
        val remaining =
            pendingClaims.filterNot {
                claim.head.covers(it.head) && claim.head == it.head &&
                    claim.at >= it.at
            }
        return copy(pendingClaims = (remaining + claim).takeLast(MAX_PENDING_CLAIMS))
    }

    private fun withKnownSince(at: MonotonicTime): Freshness =
        if (knownSince == null || at > knownSince) copy(knownSince = at) else this

    private fun withContacts(newer: Map<VmId, MonotonicTime>): Freshness {
        val merged = contacts.toMutableMap()
        for ((vm, at) in newer) merged.merge(vm, at, ::maxOf)
        merged.remove(self)
        return copy(contacts = merged)
    }

    private fun withMajority(
        plan: Plan,
        policy: FreshnessPolicy,
    ): Freshness {
        val isSelfCounted = knownSince != null && self in plan
        val own = if (isSelfCounted) 1 else 0
        val times = plan.vms.mapNotNull { contacts[it.id] }.sortedDescending()
        val at = times.indices.firstOrNull { policy.isMajority(it + 1 + own, plan.vms.size) } ?: return this
        return withKnownSince(times[at])
    }

    /**
     * Returns the time before which evidence from peers is ignored.
     *
     * A VM that restarted may have confirmed a change and lost it. Until the confirmation has expired, responses of
     * peers do not prove that no change is missing.
     */
    private fun earliestPeerEvidence(policy: FreshnessPolicy): MonotonicTime =
        if (knownSince != null) startedAt else startedAt + policy.restartWait

    private fun PeerEvidence.toContacts(): Map<VmId, MonotonicTime> =
        if (initialised) contacts + (peer to sentAt) else contacts

    private companion object {
        const val MAX_PENDING_CLAIMS = 8
    }
}
