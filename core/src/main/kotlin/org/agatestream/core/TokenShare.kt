package org.agatestream.core

import kotlin.math.ceil
import kotlin.math.floor
import kotlin.math.max
import kotlin.math.min
import kotlin.time.Duration
import kotlin.time.Duration.Companion.seconds
import kotlin.time.DurationUnit

/** The part of a workspace's rate (tokens per second) and burst (tokens) that one owner grants. */
public data class ShareSetting(
    val ratePerSecond: Double,
    val burst: Double,
) {
    /** Returns the smaller rate with the smaller burst. */
    public fun coerceAtMost(other: ShareSetting): ShareSetting =
        ShareSetting(min(ratePerSecond, other.ratePerSecond), min(burst, other.burst))
}

/** Bounds on the number of shares that a workspace's rate and burst are split into. */
public data class ShareSplit(
    /** Number of shares at a low rate; a small burst allows fewer. */
    val minShares: Int = 8,
    /** Largest number of shares. */
    val maxShares: Int = 64,
    /** Tokens per second of one share; a higher rate adds shares, so that no owner's load grows with the fleet. */
    val maxRatePerShare: Double = 100.0,
)

/**
 * Returns the number of shares that the workspace's rate and burst are split into, at least 1.
 *
 * A small burst yields fewer shares: the limit is exact only if each share's burst holds one token more than accrues
 * while responses are in flight.
 */
public fun WorkspaceSetting.shareCount(split: ShareSplit = ShareSplit()): Int {
    val byRate = ceil(ratePerSecond / split.maxRatePerShare).toInt().coerceIn(split.minShares, split.maxShares)
    val byBurst = floor(burst - ratePerSecond * TWICE_MAX_ANSWER_DELAY_SECONDS).toInt()
    return minOf(byRate, byBurst, burst / MIN_BURST_PER_SHARE).coerceAtLeast(1)
}

private const val MIN_BURST_PER_SHARE = 2

// Twice the longest time that a response may be in flight.
private const val TWICE_MAX_ANSWER_DELAY_SECONDS = 0.306

/** Returns one of [count] equal shares of the workspace's rate and burst. */
public fun WorkspaceSetting.toShare(count: Int): ShareSetting =
    ShareSetting(ratePerSecond / count, burst.toDouble() / count)

/** A number of tokens that expire at [until]. */
public data class ExpiringTokens(
    val count: Int,
    val until: MonotonicTime,
)

/** A request of an entry VM for tokens of a share. */
public data class TokenRequest(
    /** Tokens for requests that are waiting now. */
    val needed: Int,
    /** Further tokens to prefetch for the VM's next requests; the share may grant fewer. */
    val prefetchCount: Int = 0,
    /** Longest time until a needed token becomes usable. */
    val maxWait: Duration = Duration.ZERO,
    /** How long prefetched tokens may stay unused. */
    val prefetchValidity: Duration = Duration.ZERO,
    /** How long the response may be in flight; the VM drops a later one. */
    val responseTimeout: Duration = Duration.ZERO,
)

/**
 * The response to a [TokenRequest].
 *
 * The first [ready] tokens are usable at once, the next one after [firstWait] and each later one [spacing] after the
 * one before it.
 */
public data class TokenGrant(
    val ready: Int,
    val delayed: Int = 0,
    val firstWait: Duration = Duration.ZERO,
    val spacing: Duration = Duration.ZERO,
    /** Prefetched tokens for the VM's next requests. */
    val prefetchCount: Int = 0,
    /** Time until the share's next token is usable; zero if it granted all that was needed. */
    val nextTokenIn: Duration = Duration.ZERO,
) {
    /** The number of needed tokens that were granted. */
    val granted: Int get() = ready + delayed

    /** Returns the time until the granted token at [index] is usable, extended for a clock that may run fast. */
    public fun waitOf(index: Int): Duration =
        if (index < ready) Duration.ZERO else (firstWait + spacing * (index - ready)) * CLOCK_DRIFT_FACTOR

    /** Returns when the token at [index] expires, by the clock of the VM that sent the request at [sentAt]. */
    public fun expiryOf(
        index: Int,
        sentAt: MonotonicTime,
        responseTimeout: Duration,
    ): MonotonicTime = sentAt + waitOf(index) + responseTimeout
}

/** A changed setting whose higher rate or burst takes effect at [at]. */
public data class PendingIncrease(
    val setting: ShareSetting,
    val at: MonotonicTime,
)

/**
 * One owner's share of a workspace's token bucket.
 *
 * The level may fall below zero: such a token is usable only once the level is back at zero, so usable tokens never
 * exceed the rate and burst over any interval. Granted tokens take up capacity in the bucket until they must have been
 * used or lost, so that a late use can't add to a refilled bucket. Tokens in flight take up at most half of the burst
 * or one token, whichever is more; the limit is therefore exact if the burst is at least one token and at least twice
 * what accrues while a response is in flight.
 */
public data class TokenShare(
    val setting: ShareSetting,
    val level: Double,
    val at: MonotonicTime,
    /** Tokens that entry VMs prefetched. */
    val prefetched: List<ExpiringTokens> = emptyList(),
    /** Tokens whose responses may be in flight. */
    val inFlight: List<ExpiringTokens> = emptyList(),
    val pendingIncrease: PendingIncrease? = null,
) {
    /** Returns the share as of [now]; a time before the last update changes nothing. */
    public fun advance(now: MonotonicTime): TokenShare {
        var share = this
        while (share.at < now) share = share.advanceTo(minOf(now, share.nextChangeAt() ?: now))
        return share
    }

    /** Returns the share after [request] at [now], with the tokens that it granted. */
    public fun take(
        request: TokenRequest,
        now: MonotonicTime,
    ): Pair<TokenShare, TokenGrant> {
        val share = advance(now)
        val ready = min(request.needed, share.wholeTokens())
        val afterReady = share.copy(level = share.level - ready)
        val delayed = min(request.needed - ready, afterReady.delayableTokens(request.maxWait))
        val ahead = if (ready == request.needed) afterReady.prefetchableTokens(request) else 0
        val lastWait = if (delayed > 0) afterReady.waitForTokens(delayed) else Duration.ZERO
        val remaining =
            afterReady
                .copy(level = afterReady.level - delayed - ahead)
                .withPrefetched(ahead, now + request.prefetchValidity * CLOCK_DRIFT_FACTOR)
                .withInFlight(
                    ready + delayed,
                    now + (lastWait * CLOCK_DRIFT_FACTOR + request.responseTimeout) * CLOCK_DRIFT_FACTOR,
                )
        val grant =
            TokenGrant(
                ready = ready,
                delayed = delayed,
                firstWait = if (delayed > 0) afterReady.waitForTokens(1) else Duration.ZERO,
                spacing = if (delayed > 0) setting.spacing() else Duration.ZERO,
                prefetchCount = ahead,
                nextTokenIn = if (ready + delayed < request.needed) remaining.waitForTokens(1) else Duration.ZERO,
            )
        return remaining to grant
    }

    /**
     * Applies a changed setting at [now]: a lower rate or burst at once, a higher one at [increaseAt].
     *
     * The delay keeps the sum of the shares within the workspace's limit while owners learn a changed number of shares.
     */
    public fun change(
        changed: ShareSetting,
        now: MonotonicTime,
        increaseAt: MonotonicTime = now,
    ): TokenShare {
        val share = advance(now)
        val lowered = share.setting.coerceAtMost(changed)
        val pending = PendingIncrease(changed, increaseAt).takeIf { lowered != changed }
        val reduced = share.copy(setting = lowered, pendingIncrease = pending, level = min(share.level, lowered.burst))
        return if (increaseAt <= now) reduced.copy(setting = changed, pendingIncrease = null) else reduced
    }

    private fun advanceTo(to: MonotonicTime): TokenShare {
        val maxInFlight = max(setting.burst * MAX_IN_FLIGHT_FRACTION, 1.0)
        val capacity = setting.burst - prefetched.total() - min(inFlight.total().toDouble(), maxInFlight)
        val accrued = setting.ratePerSecond * (to - at).toDouble(DurationUnit.SECONDS)
        val refilledLevel = if (level >= capacity) level else min(capacity, level + accrued)
        val appliedIncrease = pendingIncrease?.takeIf { it.at <= to }
        return copy(
            setting = appliedIncrease?.setting ?: setting,
            level = refilledLevel,
            at = to,
            prefetched = prefetched.filter { it.until > to },
            inFlight = inFlight.filter { it.until > to },
            pendingIncrease = pendingIncrease.takeIf { appliedIncrease == null },
        )
    }

    private fun nextChangeAt(): MonotonicTime? {
        val ends = (prefetched + inFlight).map { it.until } + listOfNotNull(pendingIncrease?.at)
        return ends.filter { it > at }.minOrNull()
    }

    private fun wholeTokens(): Int = floor(level + ROUNDING_TOLERANCE).toInt().coerceAtLeast(0)

    private fun delayableTokens(maxWait: Duration): Int =
        floor(
            level + ROUNDING_TOLERANCE + setting.ratePerSecond * maxWait.toDouble(DurationUnit.SECONDS),
        ).toInt().coerceAtLeast(0)

    private fun prefetchableTokens(request: TokenRequest): Int {
        val capacity = floor(setting.burst * MAX_PREFETCHED_FRACTION - prefetched.total()).toInt()
        val spare = floor(level - setting.burst * MIN_REMAINING_FRACTION).toInt()
        return minOf(request.prefetchCount, spare, capacity).coerceAtLeast(0)
    }

    private fun waitForTokens(tokens: Int): Duration =
        if (setting.ratePerSecond <= 0) {
            Duration.INFINITE
        } else {
            ((tokens - level) / setting.ratePerSecond).coerceAtLeast(0.0).seconds
        }

    private fun withPrefetched(
        count: Int,
        until: MonotonicTime,
    ): TokenShare = if (count == 0) this else copy(prefetched = prefetched + ExpiringTokens(count, until))

    private fun withInFlight(
        count: Int,
        until: MonotonicTime,
    ): TokenShare = if (count == 0) this else copy(inFlight = inFlight + ExpiringTokens(count, until))

    private fun List<ExpiringTokens>.total(): Int = sumOf { it.count }

    public companion object {
        // Absorbs rounding errors in sums of fractions; grants less than one extra token in a million.
        private const val ROUNDING_TOLERANCE = 1e-9

        // Largest fraction of the burst that prefetched tokens may take up.
        private const val MAX_PREFETCHED_FRACTION = 0.25

        // Fraction of the burst that prefetching leaves, so that no token sits unused while demand is near the rate.
        private const val MIN_REMAINING_FRACTION = 0.5

        // Largest fraction of the burst that tokens in flight may take up.
        private const val MAX_IN_FLIGHT_FRACTION = 0.5

        /** Returns a share with an empty bucket, as a new owner must start. */
        public fun empty(
            setting: ShareSetting,
            now: MonotonicTime,
        ): TokenShare = TokenShare(setting, level = 0.0, at = now)

        /** Returns a share with the level that its former owner handed over of its ownership. */
        public fun handedOver(
            setting: ShareSetting,
            level: Double,
            now: MonotonicTime,
        ): TokenShare = TokenShare(setting, min(level, setting.burst), now)
    }
}

private fun ShareSetting.spacing(): Duration =
    if (ratePerSecond <= 0) {
        Duration.INFINITE
    } else {
        (1 / ratePerSecond).seconds
    }

// Extends a duration on one clock so that it lasts at least as long as the same duration on the slowest other clock.
private const val CLOCK_DRIFT_FACTOR = 1.02
