package org.agatestream.core

import kotlinx.serialization.Serializable
import kotlin.math.max
import kotlin.math.min
import kotlin.time.Duration

/** Numbers of requests by class. */
@Serializable
public data class ClassCounts(
    val online: Int = 0,
    val batch: Int = 0,
) {
    val total: Int get() = online + batch

    public operator fun plus(other: ClassCounts): ClassCounts = ClassCounts(online + other.online, batch + other.batch)

    public companion object {
        public val NONE: ClassCounts = ClassCounts()
    }
}

/** How many requests may run at once. */
public data class QuotaCap(
    val total: Int,
    /** How many of [total] may be batch items. */
    val batch: Int = total,
) {
    /** Returns the part of [share] out of [shares]; the parts of all shares add up to the whole. */
    public fun split(
        share: Int,
        shares: Int,
    ): QuotaCap = QuotaCap(total.part(share, shares), batch.part(share, shares))

    private fun Int.part(
        share: Int,
        shares: Int,
    ): Int = this / shares + if (share < this % shares) 1 else 0
}

/** What one VM holds of a quota. */
public data class QuotaLease(
    val counts: ClassCounts,
    /** The holder starts no request after this time unless it renews. */
    val expiresAt: MonotonicTime,
    /** The number of the holder's ask that set [counts]; older asks that come late are ignored. */
    val sequence: Long,
)

/** What a VM tells and asks the owner of a quota; the newest ask replaces all that older ones said. */
public data class QuotaAsk(
    val holder: VmId,
    val sequence: Long,
    /** What the holder uses or keeps; the owner takes the rest back. */
    val keeps: ClassCounts,
    val wants: ClassCounts = ClassCounts.NONE,
)

/** The owner's answer to a [QuotaAsk]. */
public data class QuotaAnswer(
    val granted: ClassCounts,
    /** Batch items that the holder may keep; it cancels the others for online requests or a lowered cap. */
    val mayKeepBatch: Int = 0,
    /** True if little is left, so that holders should give back at once what they don't use. */
    val scarce: Boolean = false,
)

/** Online requests that found no room and are waited for until [until]. */
public data class WaitingOnline(
    val count: Int,
    val until: MonotonicTime,
)

/**
 * An owner's exact account of a number of requests that may run at once over all VMs.
 *
 * A lease that isn't renewed stays counted, since its holder may be paused with requests running; it is dropped when the
 * VM list no longer shows the holder or when the longest request must have ended. Until [opensAt] a new owner only
 * takes down what holders report.
 */
public data class QuotaLedger(
    val opensAt: MonotonicTime,
    val leases: Map<VmId, QuotaLease> = emptyMap(),
    val waiting: WaitingOnline? = null,
    /** Requests that run but that no holder has reported. */
    val unaccounted: Int = 0,
    /** Until when a new owner grants nothing without a load report, or null if it doesn't need one. */
    val awaitsReportUntil: MonotonicTime? = null,
) {
    val held: ClassCounts get() = leases.values.fold(ClassCounts.NONE) { sum, lease -> sum + lease.counts }

    /**
     * Applies [ask] and grants what [cap] leaves.
     *
     * Batch items get nothing while online requests wait.
     */
    public fun ask(
        ask: QuotaAsk,
        cap: QuotaCap,
        times: QuotaTimes,
        now: MonotonicTime,
    ): Pair<QuotaLedger, QuotaAnswer> {
        val before = leases[ask.holder]
        if (before != null && before.sequence >= ask.sequence) return this to QuotaAnswer(ClassCounts.NONE)
        val known = expire(times, now).takeDown(ask, before)
        val kept = known.withLease(ask, ask.keeps, now + times.lease)
        val granted = kept.room(ask.wants, cap, now)
        val missed = ask.wants.online - granted.online
        val after =
            kept
                .withLease(ask, ask.keeps + granted, now + times.lease)
                .waitFor(missed, now + times.onlineWait, now)
        invariant("quota-granted", granted.total == 0 || after.held.total <= cap.total) {
            "granted $granted, so that ${after.held} are held of $cap"
        }
        val answer =
            QuotaAnswer(
                granted = granted,
                mayKeepBatch = ask.keeps.batch - min(ask.keeps.batch, after.excessBatch(cap, now)),
                scarce = cap.total - after.held.total - unaccounted <= cap.total * SCARCE_PART,
            )
        return after to answer
    }

    /** Returns how many batch items must give way at [now] for online requests that wait or for a lowered cap. */
    public fun excessBatch(
        cap: QuotaCap,
        now: MonotonicTime,
    ): Int {
        val sum = held
        val excess = max(sum.total + waitingAt(now) - cap.total, sum.batch - cap.batch)
        return excess.coerceIn(0, sum.batch)
    }

    /** Returns for each holder that must cancel batch items at [now] how many it may keep; large holders go first. */
    public fun giveWay(
        cap: QuotaCap,
        now: MonotonicTime,
    ): Map<VmId, Int> {
        var left = excessBatch(cap, now)
        val keeps = LinkedHashMap<VmId, Int>()
        for ((vm, lease) in leases.entries.sortedByDescending { it.value.counts.batch }) {
            val cut = min(left, lease.counts.batch)
            if (cut > 0) keeps[vm] = lease.counts.batch - cut
            left -= cut
        }
        return keeps
    }

    /**
     * Compares the account with a report that [running] requests ran at [takenAt].
     *
     * The first report after the opening shows the requests of holders that are paused and so can't report them;
     * such requests only end, so a later report can only lower their number.
     */
    public fun report(
        running: Int,
        takenAt: MonotonicTime,
    ): QuotaLedger =
        when {
            takenAt < opensAt -> this
            awaitsReportUntil != null -> copy(unaccounted = max(0, running - held.total), awaitsReportUntil = null)
            else -> copy(unaccounted = min(unaccounted, running))
        }

    /** Drops what [vm] held, because the VM list no longer shows it. */
    public fun gone(vm: VmId): QuotaLedger = copy(leases = leases - vm)

    /** Drops leases whose holders can't have a request running any more. */
    public fun expire(
        times: QuotaTimes,
        now: MonotonicTime,
    ): QuotaLedger {
        if (leases.values.none { now > it.expiresAt + times.longestRequest }) return this
        return copy(leases = leases.filterValues { now <= it.expiresAt + times.longestRequest })
    }

    private fun room(
        wants: ClassCounts,
        cap: QuotaCap,
        now: MonotonicTime,
    ): ClassCounts {
        if (now < opensAt || (awaitsReportUntil != null && now < awaitsReportUntil)) return ClassCounts.NONE
        val sum = held
        val free = (cap.total - sum.total - unaccounted).coerceAtLeast(0)
        val online = min(wants.online, free)
        val batchFree =
            if (waitingAt(now) > 0 ||
                wants.online > online
            ) {
                0
            } else {
                min(free - online, cap.batch - sum.batch)
            }
        return ClassCounts(online, min(wants.batch, batchFree).coerceAtLeast(0))
    }

    /** Counts what a holder reports for the first time no longer as unaccounted. */
    private fun takeDown(
        ask: QuotaAsk,
        before: QuotaLease?,
    ): QuotaLedger = if (before != null) this else copy(unaccounted = max(0, unaccounted - ask.keeps.total))

    private fun waitingAt(now: MonotonicTime): Int = waiting?.takeIf { now < it.until }?.count ?: 0

    private fun waitFor(
        missed: Int,
        until: MonotonicTime,
        now: MonotonicTime,
    ): QuotaLedger =
        when {
            missed > 0 -> copy(waiting = WaitingOnline(missed, until))
            waitingAt(now) == 0 -> copy(waiting = null)
            else -> this
        }

    private fun withLease(
        ask: QuotaAsk,
        counts: ClassCounts,
        expiresAt: MonotonicTime,
    ): QuotaLedger = copy(leases = leases + (ask.holder to QuotaLease(counts, expiresAt, ask.sequence)))

    private companion object {
        // Free room up to this part of the cap counts as little.
        const val SCARCE_PART = 0.25
    }
}

/** The spans by which quotas are leased. */
public data class QuotaTimes(
    /** How long a holder may start requests after its last renewal. */
    val lease: Duration,
    /** The longest time that a request runs. */
    val longestRequest: Duration,
    /** How long room is kept for online requests that found none. */
    val onlineWait: Duration,
)
