package org.agatestream.core

import kotlinx.serialization.Serializable
import kotlin.math.max
import kotlin.math.min
import kotlin.time.Duration

/** Request counts by class. */
@Serializable
public data class ClassCounts(
    val online: Int = 0,
    val batch: Int = 0,
) {
    /** Requests of both classes. */
    val total: Int get() = online + batch

    /** Adds the counts class by class. */
    public operator fun plus(other: ClassCounts): ClassCounts = ClassCounts(online + other.online, batch + other.batch)

    public companion object {
        public val NONE: ClassCounts = ClassCounts()
    }
}

/** The maximum number of concurrent requests. */
public data class QuotaCap(
    val total: Int,
    /** Batch items allowed within [total]. */
    val batch: Int = total,
) {
    /** Returns the part of share [share] (from 0) out of [shares]; the parts of all shares add up to this cap. */
    public fun split(
        share: Int,
        shares: Int,
    ): QuotaCap = QuotaCap(total.portion(share, shares), batch.portion(share, shares))

    private fun Int.portion(
        share: Int,
        shares: Int,
    ): Int = this / shares + if (share < this % shares) 1 else 0
}

/** A VM's lease on part of a quota. */
public data class QuotaLease(
    val counts: ClassCounts,
    /** The holder starts no request after this time unless it renews the lease. */
    val expiresAt: MonotonicTime,
    /** Sequence number of the holder's request that set [counts]; late requests with lower numbers are ignored. */
    val sequence: Long,
)

/** A VM's request to the owner of a quota; it replaces all earlier requests of that VM. */
public data class QuotaRequest(
    val holder: VmId,
    /** Increases with each request of the holder. */
    val sequence: Long,
    /** Quota that the holder uses or retains; the owner reclaims the rest. */
    val keeps: ClassCounts,
    /** Quota that the holder requests in addition to [keeps]. */
    val wants: ClassCounts = ClassCounts.NONE,
)

/** The owner's response to a [QuotaRequest]. */
public data class QuotaResponse(
    val granted: ClassCounts,
    /** Batch items that the holder may keep running; it cancels the rest for online requests or a lowered cap. */
    val mayKeepBatch: Int = 0,
    /** True if little quota is free, so that holders should return unused quota at once. */
    val scarce: Boolean = false,
)

/** Online requests that got no quota; free quota is reserved for them until [until]. */
public data class WaitingOnline(
    val count: Int,
    val until: MonotonicTime,
)

/**
 * An owner's exact account of a concurrency quota over all VMs.
 *
 * An expired lease stays counted, since its holder may be paused with requests running; it is dropped when the VM list
 * no longer shows the holder or when the longest request must have ended. Until [opensAt] a new owner grants nothing
 * and only records what holders report.
 */
public data class QuotaLedger(
    val opensAt: MonotonicTime,
    val leases: Map<VmId, QuotaLease> = emptyMap(),
    val waiting: WaitingOnline? = null,
    /** Running requests that no holder has reported. */
    val unaccounted: Int = 0,
    /** Until when a new owner waits for a load report before it grants, or null if it needs none. */
    val awaitsReportUntil: MonotonicTime? = null,
) {
    /** Sum of the quota of all leases. */
    val held: ClassCounts get() = leases.values.fold(ClassCounts.NONE) { sum, lease -> sum + lease.counts }

    /**
     * Applies [request] and grants what is free under [cap].
     *
     * Batch items get no quota while online requests wait.
     */
    public fun request(
        request: QuotaRequest,
        cap: QuotaCap,
        times: QuotaTimes,
        now: MonotonicTime,
    ): Pair<QuotaLedger, QuotaResponse> {
        val previousLease = leases[request.holder]
        if (previousLease != null && previousLease.sequence >= request.sequence) {
            return this to QuotaResponse(ClassCounts.NONE)
        }
        val current = expire(times, now).reconcileUnaccounted(request, previousLease)
        val retained = current.withLease(request, request.keeps, now + times.lease)
        val granted = retained.grantable(request.wants, cap, now)
        val unmetOnline = request.wants.online - granted.online
        val after =
            retained
                .withLease(request, request.keeps + granted, now + times.lease)
                .recordUnmetOnline(unmetOnline, now + times.onlineWait, now)
        invariant("quota-granted", granted.total == 0 || after.held.total <= cap.total) {
            "granted $granted, so that ${after.held} are held of $cap"
        }
        val answer =
            QuotaResponse(
                granted = granted,
                mayKeepBatch = request.keeps.batch - min(request.keeps.batch, after.excessBatch(cap, now)),
                scarce = cap.total - after.held.total - unaccounted <= cap.total * SCARCE_FRACTION,
            )
        return after to answer
    }

    /** Returns how many batch items must be cancelled at [now] for waiting online requests or a lowered cap. */
    public fun excessBatch(
        cap: QuotaCap,
        now: MonotonicTime,
    ): Int {
        val heldNow = held
        val excess = max(heldNow.total + waitingOnlineAt(now) - cap.total, heldNow.batch - cap.batch)
        return excess.coerceIn(0, heldNow.batch)
    }

    /** Returns how many batch items each holder that must cancel some may keep; the largest holders cancel first. */
    public fun batchLimitsByHolder(
        cap: QuotaCap,
        now: MonotonicTime,
    ): Map<VmId, Int> {
        var remaining = excessBatch(cap, now)
        val keeps = LinkedHashMap<VmId, Int>()
        for ((vm, lease) in leases.entries.sortedByDescending { it.value.counts.batch }) {
            val reclaimed = min(remaining, lease.counts.batch)
            if (reclaimed > 0) keeps[vm] = lease.counts.batch - reclaimed
            remaining -= reclaimed
        }
        return keeps
    }

    /**
     * Reconciles the account with a load report that [running] requests ran at [takenAt].
     *
     * The first report after [opensAt] reveals the requests of paused holders, which can't report them. Such requests
     * can only end, so later reports only lower [unaccounted].
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

    /** Drops the lease of [vm], which the VM list no longer shows. */
    public fun withoutHolder(vm: VmId): QuotaLedger = copy(leases = leases - vm)

    /** Drops leases that expired so long ago that no request of their holders can still run. */
    public fun expire(
        times: QuotaTimes,
        now: MonotonicTime,
    ): QuotaLedger {
        if (leases.values.none { now > it.expiresAt + times.longestRequest }) return this
        return copy(leases = leases.filterValues { now <= it.expiresAt + times.longestRequest })
    }

    private fun grantable(
        wants: ClassCounts,
        cap: QuotaCap,
        now: MonotonicTime,
    ): ClassCounts {
        if (now < opensAt || (awaitsReportUntil != null && now < awaitsReportUntil)) return ClassCounts.NONE
        val heldNow = held
        val free = (cap.total - heldNow.total - unaccounted).coerceAtLeast(0)
        val online = min(wants.online, free)
        val batchFree =
            if (waitingOnlineAt(now) > 0 || wants.online > online) {
                0
            } else {
                min(free - online, cap.batch - heldNow.batch)
            }
        return ClassCounts(online, min(wants.batch, batchFree).coerceAtLeast(0))
    }

    /** Removes from [unaccounted] what a holder reports for the first time. */
    private fun reconcileUnaccounted(
        request: QuotaRequest,
        previousLease: QuotaLease?,
    ): QuotaLedger = if (previousLease != null) this else copy(unaccounted = max(0, unaccounted - request.keeps.total))

    private fun waitingOnlineAt(now: MonotonicTime): Int = waiting?.takeIf { now < it.until }?.count ?: 0

    private fun recordUnmetOnline(
        unmetOnline: Int,
        until: MonotonicTime,
        now: MonotonicTime,
    ): QuotaLedger =
        when {
            unmetOnline > 0 -> copy(waiting = WaitingOnline(unmetOnline, until))
            waitingOnlineAt(now) == 0 -> copy(waiting = null)
            else -> this
        }

    private fun withLease(
        request: QuotaRequest,
        counts: ClassCounts,
        expiresAt: MonotonicTime,
    ): QuotaLedger = copy(leases = leases + (request.holder to QuotaLease(counts, expiresAt, request.sequence)))

    private companion object {
        // Quota is scarce if at most this fraction of the cap is free.
        const val SCARCE_FRACTION = 0.25
    }
}

/** Durations that govern quota leases. */
public data class QuotaTimes(
    /** How long a holder may start requests after its last renewal. */
    val lease: Duration,
    /** The longest time that a request can run. */
    val longestRequest: Duration,
    /** How long free quota is reserved for online requests that got none. */
    val onlineWait: Duration,
)
