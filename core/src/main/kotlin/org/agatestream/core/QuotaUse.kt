package org.agatestream.core

import kotlin.time.Duration

/**
 * The quota that one VM holds and how much of it is in use.
 *
 * Requests start locally while the VM has idle quota under a valid lease. Each request to the owner states all retained
 * quota, so that a lost or late one can't leave the owner's account wrong.
 */
public data class QuotaUse(
    val running: ClassCounts = ClassCounts.NONE,
    val idle: ClassCounts = ClassCounts.NONE,
    /** When idle quota expires. */
    val validUntil: MonotonicTime? = null,
    val sequence: Long = 0,
) {
    /** Returns the state after starting a request of [requestClass], or null if there is no idle quota for it. */
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

    /** Starts a request that needs no quota now, so that it is counted once a quota applies. */
    public fun startUncounted(requestClass: RequestClass): QuotaUse = copy(running = running + requestClass.one())

    /** Ends a request; its quota becomes idle if [keep] and is returned otherwise. */
    public fun end(
        requestClass: RequestClass,
        keep: Boolean,
    ): QuotaUse {
        val one = requestClass.one()
        return copy(running = running - one, idle = if (keep) idle + one else idle)
    }

    /** Returns all idle quota to the owner. */
    public fun dropIdle(): QuotaUse = copy(idle = ClassCounts.NONE)

    /** Returns the next request to the owner, under a new sequence number. */
    public fun request(
        self: VmId,
        wants: ClassCounts,
        now: MonotonicTime,
    ): Pair<QuotaUse, QuotaRequest> {
        val valid = if (validUntil != null && now < validUntil) this else dropIdle()
        val numbered = valid.copy(sequence = sequence + 1)
        return numbered to QuotaRequest(self, numbered.sequence, numbered.running + numbered.idle, wants)
    }

    /** Adds what the owner [granted] to the request sent at [sentAt]; a response after the lease is ignored. */
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

/** Returns the counts for a single request of this class. */
public fun RequestClass.one(): ClassCounts =
    when (this) {
        RequestClass.ONLINE -> ClassCounts(online = 1)
        RequestClass.BATCH -> ClassCounts(batch = 1)
    }
