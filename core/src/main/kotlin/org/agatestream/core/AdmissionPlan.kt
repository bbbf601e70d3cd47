package org.agatestream.core

import kotlin.math.exp
import kotlin.math.floor
import kotlin.math.min
import kotlin.time.Duration
import kotlin.time.Duration.Companion.milliseconds
import kotlin.time.Duration.Companion.seconds
import kotlin.time.DurationUnit

/** The time limits for the admission of a request. */
public data class AdmissionTimes(
    /** The timeout of a request to an owner; tokens of later responses are lost. */
    val requestTimeout: Duration = 150.milliseconds,
    /** The maximum wait for a token. */
    val maxWait: Duration = 1.seconds,
    /** How long an owner that did not respond is deprioritized. */
    val unresponsivePenalty: Duration = 1.seconds,
    /** The maximum time that a request tries unresponsive owners. */
    val giveUpAfter: Duration = 5.seconds,
    /** How long prefetched tokens are valid; zero disables prefetching. */
    val prefetchValidity: Duration = 500.milliseconds,
) {
    /** The maximum time from an owner's decision until all tokens that it granted are used or expired, on any clock. */
    val grantSpan: Duration get() = (maxOf(maxWait, prefetchValidity) + requestTimeout) * CLOCK_DRIFT_FACTOR
}

private const val CLOCK_DRIFT_FACTOR = 1.05

/** The VM that owns one share of a workspace's rate. */
public data class ShareOwner(
    val share: Int,
    val vm: VmId,
)

/** An entry VM's state of one owner of a workspace's shares. */
public data class OwnerState(
    /** When the owner's next token is available, according to its last response. */
    val nextTokenAt: MonotonicTime? = null,
    val unresponsiveUntil: MonotonicTime? = null,
)

/** An entry VM's admission state of a workspace between requests. */
public data class AdmissionState(
    val owners: Map<ShareOwner, OwnerState> = emptyMap(),
    val prefetched: ExpiringTokens? = null,
    val demand: DemandRate = DemandRate(),
) {
    /** Records an arrival and uses a prefetched token; the flag is true if there was one. */
    public fun onArrival(now: MonotonicTime): Pair<AdmissionState, Boolean> {
        val counted = copy(demand = demand.count(now))
        val tokens =
            prefetched?.takeIf { it.count > 0 && now < it.until } ?: return counted.copy(prefetched = null) to false
        return counted.copy(prefetched = tokens.copy(count = tokens.count - 1)) to true
    }

    /** Returns the number of tokens to prefetch with the next request to an owner. */
    public fun prefetchCount(
        times: AdmissionTimes,
        now: MonotonicTime,
    ): Int = floor(demand.perSecond(now) * times.prefetchValidity.toDouble(DurationUnit.SECONDS)).toInt()

    /** Records the response of [owner] to a request sent at [sentAt]. */
    public fun onGrant(
        owner: ShareOwner,
        grant: TokenGrant,
        sentAt: MonotonicTime,
        times: AdmissionTimes,
        now: MonotonicTime,
    ): AdmissionState {
        val nextTokenAt = if (grant.nextTokenIn > Duration.ZERO) now + grant.nextTokenIn else null
        val until = sentAt + times.prefetchValidity
        val valid = prefetched?.takeIf { it.count > 0 && now < it.until }
        val nextHeld =
            if (grant.prefetchCount > 0) {
                ExpiringTokens(grant.prefetchCount + (valid?.count ?: 0), minOf(until, valid?.until ?: until))
            } else {
                valid
            }
        return copy(owners = owners + (owner to OwnerState(nextTokenAt)), prefetched = nextHeld)
    }

    /** Records that [owner] did not respond or does not own a share. */
    public fun onNoResponse(
        owner: ShareOwner,
        times: AdmissionTimes,
        now: MonotonicTime,
    ): AdmissionState =
        copy(
            owners =
                owners + (owner to OwnerState(unresponsiveUntil = now + times.unresponsivePenalty)),
        )

    internal fun unresponsiveUntil(owner: ShareOwner): MonotonicTime? = owners[owner]?.unresponsiveUntil

    internal fun nextTokenAt(owner: ShareOwner): MonotonicTime? = owners[owner]?.nextTokenAt
}

/** An exponentially decaying arrival rate. */
public data class DemandRate(
    private val rate: Double = 0.0,
    private val updatedAt: MonotonicTime = MonotonicTime.ZERO,
) {
    /** Counts one arrival. */
    public fun count(now: MonotonicTime): DemandRate =
        DemandRate(decayed(now) + 1 / DECAY_TIME.toDouble(DurationUnit.SECONDS), now)

    /** Returns the recent arrivals per second. */
    public fun perSecond(now: MonotonicTime): Double = decayed(now)

    private fun decayed(now: MonotonicTime): Double =
        if (now <= updatedAt) rate else rate * exp(-((now - updatedAt) / DECAY_TIME))

    private companion object {
        val DECAY_TIME = 2.seconds
    }
}

/** The next step in the admission of a request. */
public sealed interface AdmissionStep {
    /** Request a token from [owner] that is usable within [maxWait]. */
    public data class RequestToken(
        val owner: ShareOwner,
        val maxWait: Duration,
    ) : AdmissionStep

    /** Try again at [at], when an owner may respond again. */
    public data class Wait(
        val at: MonotonicTime,
    ) : AdmissionStep

    /** Refuse the request without running it. */
    public data class Refuse(
        val kind: ErrorKind,
        val retryAfter: Duration,
    ) : AdmissionStep
}

/** The owners that one request has tried so far. */
public data class AdmissionAttempt(
    /** Spreads requests over the owners. */
    val salt: Int,
    val giveUpAt: MonotonicTime,
    /** Owners that had no token available immediately. */
    val withoutToken: Set<ShareOwner> = emptySet(),
    /** Owners that had no token within the maximum wait. */
    val waited: Set<ShareOwner> = emptySet(),
) {
    /** Records that [owner] granted no token within [maxWait]. */
    public fun onRefusal(
        owner: ShareOwner,
        maxWait: Duration,
    ): AdmissionAttempt =
        if (maxWait > Duration.ZERO) {
            copy(waited = waited + owner)
        } else {
            copy(withoutToken = withoutToken + owner)
        }
}

/**
 * Returns the next step: owners that may have a token in turn, then the one whose next token is available first.
 *
 * A workspace exceeds its rate only if no responsive owner has a token within the maximum wait.
 */
public fun nextAdmissionStep(
    owners: List<ShareOwner>,
    state: AdmissionState,
    attempt: AdmissionAttempt,
    times: AdmissionTimes,
    now: MonotonicTime,
): AdmissionStep {
    if (now >= attempt.giveUpAt) return attempt.giveUp(times)
    val responsive = owners.filter { (state.unresponsiveUntil(it) ?: now) <= now }
    val candidate =
        responsive.rotated(attempt.salt).firstOrNull { state.mayHaveToken(it, now) && it !in attempt.withoutToken }
    if (candidate != null) return AdmissionStep.RequestToken(candidate, Duration.ZERO)
    val waits = responsive.associateWith { state.timeToToken(it, now) }
    val earliest = waits.filterKeys { it !in attempt.waited }.minByOrNull { it.value }
    return when {
        earliest != null && earliest.value <= times.maxWait -> {
            AdmissionStep.RequestToken(earliest.key, times.maxWait)
        }

        waits.isNotEmpty() -> {
            AdmissionStep.Refuse(
                ErrorKind.RATE_EXCEEDED,
                waits.values.min().coerceAtLeast(times.maxWait),
            )
        }

        now >= attempt.giveUpAt -> {
            AdmissionStep.Refuse(ErrorKind.LIMIT_UNAVAILABLE, times.unresponsivePenalty)
        }

        else -> {
            waitForOwner(owners, state, attempt, times, now)
        }
    }
}

private fun AdmissionAttempt.giveUp(times: AdmissionTimes): AdmissionStep {
    val answered = withoutToken.isNotEmpty() || waited.isNotEmpty()
    return AdmissionStep.Refuse(
        if (answered) ErrorKind.RATE_EXCEEDED else ErrorKind.LIMIT_UNAVAILABLE,
        times.unresponsivePenalty,
    )
}

private fun waitForOwner(
    owners: List<ShareOwner>,
    state: AdmissionState,
    attempt: AdmissionAttempt,
    times: AdmissionTimes,
    now: MonotonicTime,
): AdmissionStep {
    val next = owners.mapNotNull { state.unresponsiveUntil(it) }.minOrNull() ?: (now + times.requestTimeout)
    return AdmissionStep.Wait(minOf(next, attempt.giveUpAt, now + times.requestTimeout))
}

private fun AdmissionState.mayHaveToken(
    owner: ShareOwner,
    now: MonotonicTime,
): Boolean = (nextTokenAt(owner) ?: now) <= now

private fun AdmissionState.timeToToken(
    owner: ShareOwner,
    now: MonotonicTime,
): Duration = (nextTokenAt(owner) ?: now).minus(now).coerceAtLeast(Duration.ZERO)

private fun List<ShareOwner>.rotated(salt: Int): List<ShareOwner> {
    if (size < 2) return this
    val start = salt.mod(size)
    return drop(start) + take(start)
}

/** Returns the request to an owner for the tokens of [needed] requests, plus prefetched ones. */
public fun AdmissionState.toTokenRequest(
    needed: Int,
    maxWait: Duration,
    times: AdmissionTimes,
    now: MonotonicTime,
): TokenRequest =
    TokenRequest(
        needed,
        min(prefetchCount(times, now), MAX_PREFETCHED_TOKENS),
        maxWait,
        times.prefetchValidity,
        times.requestTimeout,
    )

private const val MAX_PREFETCHED_TOKENS = 64
