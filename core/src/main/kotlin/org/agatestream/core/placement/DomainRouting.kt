package org.agatestream.core.placement

import org.agatestream.core.FailureDomainId
import org.agatestream.core.MonotonicTime
import org.agatestream.core.ServiceId
import kotlin.time.Duration.Companion.seconds

/** What the best server of a domain offers to a request. */
internal class DomainOffer(
    /** The expected time to the first event in milliseconds, with the way and the wait for a slot. */
    val firstEventMillis: Double,
    /** The cost of the choice in milliseconds, with the price of the way. */
    val costMillis: Double,
    /** The prompt tokens that must be read there. */
    val tokensRead: Int,
)

/** Whether a request stays in its failure domain. */
internal sealed interface DomainDecision {
    /** The request runs in its own domain. */
    data object Stay : DomainDecision

    /** The request runs in another domain. */
    data class Leave(
        val reason: LeaveReason,
    ) : DomainDecision
}

/**
 * Decides for each request of a service whether it leaves its failure domain.
 *
 * A request stays while its own domain serves it in time, and only the surplus leaves. A domain that requests leave
 * must be faster than one that serves all of its own to get them back, so that traffic does not swing.
 */
internal class DomainRouting(
    private val service: ServiceId,
) {
    private class Origin {
        var isLeaving = false
        var lastLeftAt = MonotonicTime.ZERO
    }

    private val origins = HashMap<FailureDomainId, Origin>()
    private val pendingChanges = ArrayList<DomainChange>()

    /**
     * Returns whether a request of [origin] with [own] and [other] as best offers stays; at least one must be a server.
     *
     * [own] is the expected offer after a wait if there is no free slot ([isOwnFull]), and null if the domain has no
     * server. The first event is due in [dueMillis], null if none is due.
     */
    fun decide(
        origin: FailureDomainId,
        own: DomainOffer?,
        isOwnFull: Boolean,
        other: DomainOffer?,
        dueMillis: Double?,
        now: MonotonicTime,
    ): DomainDecision {
        val state = origins.getOrPut(origin) { Origin() }
        val reason = if (other == null) null else reasonToLeave(state, own, isOwnFull, other, dueMillis)
        if (reason == null) {
            val isBack = state.isLeaving && now - state.lastLeftAt >= RETURN_AFTER
            if (isBack) change(state, origin, isLeaving = false, null, own, other)
            return DomainDecision.Stay
        }
        if (reason != LeaveReason.PROMPT) {
            state.lastLeftAt = now
            if (!state.isLeaving) change(state, origin, isLeaving = true, reason, own, other)
        }
        return DomainDecision.Leave(reason)
    }

    /** Removes and returns the changes since the last call. */
    fun takeChanges(): List<DomainChange> {
        if (pendingChanges.isEmpty()) return emptyList()
        return pendingChanges.toList().also { pendingChanges.clear() }
    }

    private fun reasonToLeave(
        state: Origin,
        own: DomainOffer?,
        isOwnFull: Boolean,
        other: DomainOffer,
        dueMillis: Double?,
    ): LeaveReason? {
        if (own == null) return LeaveReason.ONLY_THERE
        val gain = own.costMillis + lateness(own, dueMillis) - other.costMillis - lateness(other, dueMillis)
        if (isOwnFull) return LeaveReason.OWN_FULL
        if (other.tokensRead < own.tokensRead && gain > PROMPT_GAIN_MILLIS) return LeaveReason.PROMPT
        val usable = if (state.isLeaving) RETURN_SHARE else LEAVE_SHARE
        val limit = if (dueMillis != null) dueMillis * usable else other.firstEventMillis * UNDUE_FACTOR
        val isInTime = own.firstEventMillis <= limit
        return if (!isInTime && gain > SLOW_GAIN_MILLIS) LeaveReason.OWN_SLOW else null
    }

    private fun lateness(
        offer: DomainOffer,
        dueMillis: Double?,
    ): Double = if (dueMillis != null && offer.firstEventMillis > dueMillis) LATE_MILLIS else 0.0

    private fun change(
        state: Origin,
        origin: FailureDomainId,
        isLeaving: Boolean,
        reason: LeaveReason?,
        own: DomainOffer?,
        other: DomainOffer?,
    ) {
        state.isLeaving = isLeaving
        if (pendingChanges.size < MAX_PENDING_CHANGES) {
            pendingChanges += DomainChange(service, origin, isLeaving, reason, own?.costMillis, other?.costMillis)
        }
    }

    private companion object {
        // The share of the time to the due first event that a domain may be expected to need. The rest covers errors of
        // the estimate; the difference between the two keeps traffic from swinging.
        const val LEAVE_SHARE = 0.3
        const val RETURN_SHARE = 0.25

        // Without a due time, as for items, a domain may take this many times as long as another.
        const val UNDUE_FACTOR = 2.0

        // What a late first event costs beyond its delay; a caller repeats a late request.
        const val LATE_MILLIS = 1_000.0

        // Smaller gains are within the error of the estimate.
        const val SLOW_GAIN_MILLIS = 10.0

        // About 600 prompt tokens; less is not worth traffic between domains.
        const val PROMPT_GAIN_MILLIS = 30.0

        // Half of the shortest known period of waves.
        val RETURN_AFTER = 1.seconds
        const val MAX_PENDING_CHANGES = 100
    }
}
