package org.agatestream.core

import kotlin.time.Duration
import kotlin.time.Duration.Companion.seconds

/**
 * What this VM knows of the other VMs: the platform's list, and which of them answer.
 *
 * Silence makes a VM suspected, which by itself takes nothing from it. Only the list says that a VM is gone.
 */
public data class Membership(
    val self: VmId,
    val listed: List<ListedVm> = emptyList(),
    /** VMs that the list showed once, to this VM or to one that planned them, and shows no more. */
    val gone: Set<VmId> = emptySet(),
    /** When the last ask that each VM answered was sent. */
    val answered: Map<VmId, MonotonicTime> = emptyMap(),
    /** When the first of the asks was sent that each silent VM has not answered since. */
    val silentSince: Map<VmId, MonotonicTime> = emptyMap(),
) {
    /** The listed VMs other than this one, in a fixed order. */
    public val peers: List<VmId> get() = listed.map { it.id }.filter { it != self }.sortedBy { it.value }

    /**
     * Applies a read of the platform's list.
     *
     * [planned] are the VMs of the plan that was known before the read was sent. Whoever planned them saw them in the
     * list, which never goes back, so those absent are gone. A list that does not show this VM proves nothing.
     */
    public fun onList(
        vms: List<ListedVm>,
        planned: Set<VmId>,
    ): Membership {
        val ids = vms.mapTo(HashSet()) { it.id }
        val known = if (self in ids) listed.map { it.id } + planned else emptyList()
        val absent = known.filter { it !in ids }
        return copy(
            listed = vms.sortedBy { it.id.value },
            gone = (gone + absent - ids).toList().takeLast(MAX_GONE).toSet(),
            answered = answered.filterKeys { it in ids },
            silentSince = silentSince.filterKeys { it in ids },
        )
    }

    /** Applies the answer of [vm] to an ask sent at [sentAt]. */
    public fun onAnswer(
        vm: VmId,
        sentAt: MonotonicTime,
    ): Membership = copy(answered = answered + (vm to sentAt), silentSince = silentSince - vm)

    /** Applies the lack of an answer of [vm] to an ask sent at [sentAt]. */
    public fun onSilence(
        vm: VmId,
        sentAt: MonotonicTime,
    ): Membership {
        val last = answered[vm]
        if (last != null && last > sentAt) return this
        return copy(silentSince = silentSince + (vm to (silentSince[vm] ?: sentAt)))
    }

    /** Returns the VMs that have not answered for at least [span]. */
    public fun suspects(
        now: MonotonicTime,
        span: Duration = SUSPICION_SPAN,
    ): Set<VmId> = silentSince.filterValues { now - it >= span }.keys

    /**
     * Returns the VMs that this one sends heartbeats to.
     *
     * They stand 1, 2, 4, 8… places before and after it in the order of ids, so that their number grows with the
     * logarithm of the fleet and news crosses the fleet in as many steps.
     */
    public fun neighbors(): List<VmId> {
        val ring = (peers + self).sortedBy { it.value }
        val at = ring.indexOf(self)
        val spans = generateSequence(1) { it * 2 }.takeWhile { it < ring.size }
        return spans
            .flatMap { sequenceOf(at + it, at - it) }
            .map { ring[it.mod(ring.size)] }
            .filter { it != self }
            .distinct()
            .toList()
    }

    public companion object {
        /** How long a VM is silent before it is suspected. */
        public val SUSPICION_SPAN: Duration = 3.seconds
        private const val MAX_GONE = 4096
    }
}
