package org.agatestream.core

import kotlin.math.exp
import kotlin.math.floor
import kotlin.math.min
import kotlin.time.Duration
import kotlin.time.Duration.Companion.milliseconds
import kotlin.time.Duration.Companion.seconds
import kotlin.time.DurationUnit

/** The spans that bound the admission of a request. */
public data class AdmissionTimes(
    /** Answers that take longer are dropped and their tokens are lost. */
    val askTimeout: Duration = 150.milliseconds,
    /** Longest wait for a token to count. */
    val maxWait: Duration = 1.seconds,
    /** How long an owner that did not answer is asked last. */
    val silence: Duration = 1.seconds,
    /** Longest time that a request tries owners that don't answer. */
    val giveUp: Duration = 5.seconds,
    /** How long tokens taken ahead may be used; zero takes none. */
    val hold: Duration = 500.milliseconds,
) {
    /** The longest time from an owner's decision until all that it granted has counted, on any clock. */
    val grantSpan: Duration get() = (maxOf(maxWait, hold) + askTimeout) * CLOCK_MARGIN
}

private const val CLOCK_MARGIN = 1.05

/** The VM that owns one share of a workspace's rate. */
public data class ShareOwner(
    val share: Int,
    val vm: VmId,
)

/** What an entry VM remembers of one owner of a workspace's shares. */
public data class OwnerMemory(
    /** When the owner's next token counts, as of its last answer. */
    val emptyUntil: MonotonicTime? = null,
    val silentUntil: MonotonicTime? = null,
)

/** What an entry VM keeps of a workspace between requests. */
public data class AdmissionMemory(
    val owners: Map<ShareOwner, OwnerMemory> = emptyMap(),
    val held: HeldTokens? = null,
    val demand: DemandRate = DemandRate(),
) {
    /** Counts an arrival and uses a token taken ahead; the flag says whether there was one. */
    public fun arrive(now: MonotonicTime): Pair<AdmissionMemory, Boolean> {
        val counted = copy(demand = demand.count(now))
        val tokens = held?.takeIf { it.count > 0 && now < it.until } ?: return counted.copy(held = null) to false
        return counted.copy(held = tokens.copy(count = tokens.count - 1)) to true
    }

    /** Returns how many tokens to take ahead with the next ask. */
    public fun ahead(
        times: AdmissionTimes,
        now: MonotonicTime,
    ): Int = floor(demand.perSecond(now) * times.hold.toDouble(DurationUnit.SECONDS)).toInt()

    /** Takes down the answer of [owner] to an ask sent at [sentAt]. */
    public fun answered(
        owner: ShareOwner,
        grant: TokenGrant,
        sentAt: MonotonicTime,
        times: AdmissionTimes,
        now: MonotonicTime,
    ): AdmissionMemory {
        val emptyUntil = if (grant.nextTokenIn > Duration.ZERO) now + grant.nextTokenIn else null
        val until = sentAt + times.hold
        val kept = held?.takeIf { it.count > 0 && now < it.until }
        val more =
            if (grant.ahead > 0) {
                HeldTokens(grant.ahead + (kept?.count ?: 0), minOf(until, kept?.until ?: until))
            } else {
                kept
            }
        return copy(owners = owners + (owner to OwnerMemory(emptyUntil)), held = more)
    }

    /** Takes down that [owner] did not answer or does not own a share. */
    public fun silent(
        owner: ShareOwner,
        times: AdmissionTimes,
        now: MonotonicTime,
    ): AdmissionMemory = copy(owners = owners + (owner to OwnerMemory(silentUntil = now + times.silence)))

    internal fun silentUntil(owner: ShareOwner): MonotonicTime? = owners[owner]?.silentUntil

    internal fun emptyUntil(owner: ShareOwner): MonotonicTime? = owners[owner]?.emptyUntil
}

/** A rate of arrivals that decays with time. */
public data class DemandRate(
    private val level: Double = 0.0,
    private val at: MonotonicTime = MonotonicTime.ZERO,
) {
    /** Counts one arrival. */
    public fun count(now: MonotonicTime): DemandRate =
        DemandRate(decayed(now) + 1 / MEMORY.toDouble(DurationUnit.SECONDS), now)

    /** Returns the arrivals per second of the last seconds. */
    public fun perSecond(now: MonotonicTime): Double = decayed(now)

    private fun decayed(now: MonotonicTime): Double = if (now <= at) level else level * exp(-((now - at) / MEMORY))

    private companion object {
        val MEMORY = 2.seconds
    }
}

/** What to do next to admit a request. */
public sealed interface AdmissionStep {
    /** Ask [owner] for a token that counts within [maxWait]. */
    public data class Ask(
        val owner: ShareOwner,
        val maxWait: Duration,
    ) : AdmissionStep

    /** Try again at [at], when an owner may have come back. */
    public data class Wait(
        val at: MonotonicTime,
    ) : AdmissionStep

    /** Refuse the request; it has not run. */
    public data class Refuse(
        val kind: ErrorKind,
        val retryAfter: Duration,
    ) : AdmissionStep
}

/** What one request has tried so far. */
public data class AdmissionAttempt(
    /** Spreads requests over the owners. */
    val salt: Int,
    val giveUpAt: MonotonicTime,
    /** Owners that had no token at once. */
    val empty: Set<ShareOwner> = emptySet(),
    /** Owners that were asked for a token to wait for. */
    val waited: Set<ShareOwner> = emptySet(),
) {
    /** Takes down that an ask with [maxWait] of [owner] brought no token. */
    public fun refused(
        owner: ShareOwner,
        maxWait: Duration,
    ): AdmissionAttempt = if (maxWait > Duration.ZERO) copy(waited = waited + owner) else copy(empty = empty + owner)
}

/**
 * Decides whom to ask next: owners that may have a token in turn, then the one whose next token comes soonest.
 *
 * A workspace is over its rate only if every owner that answers has no token within the longest wait.
 */
public fun nextAdmissionStep(
    owners: List<ShareOwner>,
    memory: AdmissionMemory,
    attempt: AdmissionAttempt,
    times: AdmissionTimes,
    now: MonotonicTime,
): AdmissionStep {
    if (now >= attempt.giveUpAt) return attempt.giveUp(times)
    val answering = owners.filter { (memory.silentUntil(it) ?: now) <= now }
    val fresh = answering.rotate(attempt.salt).firstOrNull { memory.mayHaveToken(it, now) && it !in attempt.empty }
    if (fresh != null) return AdmissionStep.Ask(fresh, Duration.ZERO)
    val waits = answering.associateWith { memory.waitOf(it, now) }
    val soonest = waits.filterKeys { it !in attempt.waited }.minByOrNull { it.value }
    return when {
        soonest != null && soonest.value <= times.maxWait -> {
            AdmissionStep.Ask(soonest.key, times.maxWait)
        }

        waits.isNotEmpty() -> {
            AdmissionStep.Refuse(
                ErrorKind.RATE_EXCEEDED,
                waits.values.min().coerceAtLeast(times.maxWait),
            )
        }

        now >= attempt.giveUpAt -> {
            AdmissionStep.Refuse(ErrorKind.LIMIT_UNAVAILABLE, times.silence)
        }

        else -> {
            retrySilent(owners, memory, attempt, times, now)
        }
    }
}

private fun AdmissionAttempt.giveUp(times: AdmissionTimes): AdmissionStep {
    val answered = empty.isNotEmpty() || waited.isNotEmpty()
    return AdmissionStep.Refuse(if (answered) ErrorKind.RATE_EXCEEDED else ErrorKind.LIMIT_UNAVAILABLE, times.silence)
}

private fun retrySilent(
    owners: List<ShareOwner>,
    memory: AdmissionMemory,
    attempt: AdmissionAttempt,
    times: AdmissionTimes,
    now: MonotonicTime,
): AdmissionStep {
    val next = owners.mapNotNull { memory.silentUntil(it) }.minOrNull() ?: (now + times.askTimeout)
    return AdmissionStep.Wait(minOf(next, attempt.giveUpAt, now + times.askTimeout))
}

private fun AdmissionMemory.mayHaveToken(
    owner: ShareOwner,
    now: MonotonicTime,
): Boolean = (emptyUntil(owner) ?: now) <= now

private fun AdmissionMemory.waitOf(
    owner: ShareOwner,
    now: MonotonicTime,
): Duration = (emptyUntil(owner) ?: now).minus(now).coerceAtLeast(Duration.ZERO)

private fun List<ShareOwner>.rotate(salt: Int): List<ShareOwner> {
    if (size < 2) return this
    val start = salt.mod(size)
    return drop(start) + take(start)
}

/** Returns the ask for the tokens of [needed] requests. */
public fun AdmissionMemory.toTake(
    needed: Int,
    maxWait: Duration,
    times: AdmissionTimes,
    now: MonotonicTime,
): TokenTake = TokenTake(needed, min(ahead(times, now), MOST_AHEAD), maxWait, times.hold, times.askTimeout)

private const val MOST_AHEAD = 64
