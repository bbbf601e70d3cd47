package org.agatestream.core

import kotlin.time.Duration

/**
 * What one VM holds of a quota and uses of it.
 *
 * Starts are local while the VM has idle quota under a valid lease; everything else goes to the owner in asks that
 * state the whole of what is kept, so that a lost or late ask can't leave a wrong account behind.
 */
public data class QuotaUse(
    val running: ClassCounts = ClassCounts.NONE,
    val idle: ClassCounts = ClassCounts.NONE,
    /** When idle quota lapses. */
    val validUntil: MonotonicTime? = null,
    val sequence: Long = 0,
) {
    /** Starts a request of [requestClass], or returns null if there is no idle quota for it. */
    public fun start(
        requestClass: RequestClass,
        now: MonotonicTime,
    ): QuotaUse? {
        if (validUntil == null || now >= validUntil) return null
        val one = requestClass.one()
        val left = idle - one
        if (left.online < 0 || left.batch < 0) return null
        return copy(running = running + one, idle = left)
    }

    /** Starts a request that no quota is needed for, so that it is counted when one becomes needed. */
    public fun startUncounted(requestClass: RequestClass): QuotaUse = copy(running = running + requestClass.one())

    /** Ends a request and keeps its quota idle if [keep]. */
    public fun end(
        requestClass: RequestClass,
        keep: Boolean,
    ): QuotaUse {
        val one = requestClass.one()
        return copy(running = running - one, idle = if (keep) idle + one else idle)
    }

    /** Gives up all idle quota. */
    public fun dropIdle(): QuotaUse = copy(idle = ClassCounts.NONE)

    /** Numbers the next ask to the owner. */
    public fun ask(
        self: VmId,
        wants: ClassCounts,
        now: MonotonicTime,
    ): Pair<QuotaUse, QuotaAsk> {
        val valid = if (validUntil != null && now < validUntil) this else dropIdle()
        val next = valid.copy(sequence = sequence + 1)
        return next to QuotaAsk(self, next.sequence, next.running + next.idle, wants)
    }

    /** Takes what the owner granted to the ask sent at [sentAt]; an answer past the lease brings nothing. */
    public fun answered(
        granted: ClassCounts,
        sentAt: MonotonicTime,
        lease: Duration,
        now: MonotonicTime,
    ): QuotaUse {
        val until = sentAt + lease
        if (now >= until) return this
        return copy(idle = idle + granted, validUntil = until)
    }
}

private operator fun ClassCounts.minus(other: ClassCounts): ClassCounts =
    ClassCounts(online - other.online, batch - other.batch)

/** Returns the count of a single request of this class. */
public fun RequestClass.one(): ClassCounts =
    when (this) {
        RequestClass.ONLINE -> ClassCounts(online = 1)
        RequestClass.BATCH -> ClassCounts(batch = 1)
    }
