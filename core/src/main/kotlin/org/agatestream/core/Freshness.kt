package org.agatestream.core

/** A statement that all changes accepted before [at] are contained in [head]. */
public data class FreshnessClaim(
    val head: FleetHead,
    val at: MonotonicTime,
)

/** What a peer's answer says about its knowledge, with ages turned into times of the asking VM's clock. */
public data class PeerEvidence(
    val peer: VmId,
    val head: FleetHead,
    /** True once the peer has been current since its process started. */
    val initialised: Boolean,
    /** When the ask was sent. */
    val sentAt: MonotonicTime,
    /** The peer's own claim, or null if it has none. */
    val knownSince: MonotonicTime?,
    /** When other VMs were last known to have applied no more than [head]. */
    val contacts: Map<VmId, MonotonicTime> = emptyMap(),
)

/**
 * Tracks how recent this VM's knowledge of the fleet is, by its own monotonic clock.
 *
 * Times are always those of sending an ask, never of its answer, so that delay makes knowledge older, not newer.
 * A claim of a head that this VM has not applied yet is kept until it has.
 */
public data class Freshness(
    val self: VmId,
    val startedAt: MonotonicTime,
    val applied: FleetHead = FleetHead.NONE,
    /** All changes accepted before this time are applied here; null until first known. */
    val knownSince: MonotonicTime? = null,
    /** Claims of heads not applied yet. */
    val ahead: List<FreshnessClaim> = emptyList(),
    /** When each VM was last known to have applied no more than this one. */
    val contacts: Map<VmId, MonotonicTime> = emptyMap(),
) {
    /** Returns whether this VM knows every change that was accepted longer ago than the bound. */
    public fun isCurrent(
        now: MonotonicTime,
        policy: FreshnessPolicy,
    ): Boolean = knownSince != null && now - knownSince < policy.bound

    /**
     * Applies a read of the table's head that was sent at [sentAt].
     *
     * A head before the applied one proves nothing: the read was overtaken, or the table answered with an old row.
     */
    public fun onTableHead(
        head: FleetHead,
        sentAt: MonotonicTime,
    ): Freshness = if (head.covers(applied)) onClaim(FreshnessClaim(head, sentAt)) else this

    /** Applies a peer's answer; [plan] is the plan of [applied]. */
    public fun onPeer(
        evidence: PeerEvidence,
        plan: Plan,
        policy: FreshnessPolicy,
    ): Freshness {
        val floor = peerFloor(policy)
        val claimed = evidence.knownSince?.takeIf { it >= floor }
        val told = if (claimed == null) this else onClaim(FreshnessClaim(evidence.head, claimed))
        if (!applied.covers(evidence.head)) return told
        return told.withContacts(evidence.toContacts().filterValues { it >= floor }).withMajority(plan, policy)
    }

    /** Applies the event that this VM has applied [head], whose plan is [plan]. */
    public fun onApplied(
        head: FleetHead,
        plan: Plan,
        policy: FreshnessPolicy,
    ): Freshness {
        invariant("applied-head-never-reverts", head.covers(applied)) { "$self went from $applied to $head" }
        val (covered, uncovered) = ahead.partition { head.covers(it.head) }
        val planned = plan.vms.mapTo(HashSet()) { it.id }
        val next = copy(applied = head, ahead = uncovered, contacts = contacts.filterKeys { it in planned })
        return covered.fold(next) { f, c -> f.withKnownSince(c.at) }.withMajority(plan, policy)
    }

    private fun onClaim(claim: FreshnessClaim): Freshness {
        if (applied.covers(claim.head)) return withKnownSince(claim.at)
        val kept = ahead.filterNot { claim.head.covers(it.head) && claim.head == it.head && claim.at >= it.at }
        return copy(ahead = (kept + claim).takeLast(MAX_AHEAD))
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
        val selfCounts = knownSince != null && self in plan
        val own = if (selfCounts) 1 else 0
        val times = plan.vms.mapNotNull { contacts[it.id] }.sortedDescending()
        val at = times.indices.firstOrNull { policy.isMajority(it + 1 + own, plan.vms.size) } ?: return this
        return withKnownSince(times[at])
    }

    /**
     * Returns the earliest time of peers' evidence that counts.
     *
     * A VM that restarted may have confirmed a change that it forgot. Until the confirmation has run out, peers'
     * answers don't prove that no change is missing.
     */
    private fun peerFloor(policy: FreshnessPolicy): MonotonicTime =
        if (knownSince != null) startedAt else startedAt + policy.restartWait

    private fun PeerEvidence.toContacts(): Map<VmId, MonotonicTime> =
        if (initialised) contacts + (peer to sentAt) else contacts

    private companion object {
        const val MAX_AHEAD = 8
    }
}
