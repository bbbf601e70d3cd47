package org.agatestream.core

import kotlin.math.ceil
import kotlin.math.floor
import kotlin.math.max
import kotlin.math.min
import kotlin.time.Duration
import kotlin.time.Duration.Companion.seconds
import kotlin.time.DurationUnit

/** The rate and burst that one owner grants of a workspace's whole. */
public data class ShareSetting(
    val ratePerSecond: Double,
    val burst: Double,
) {
    /** Returns the smaller rate with the smaller burst. */
    public fun coerceAtMost(other: ShareSetting): ShareSetting =
        ShareSetting(min(ratePerSecond, other.ratePerSecond), min(burst, other.burst))
}

/** How a workspace's rate and burst are split. */
public data class ShareSplit(
    /** Shares of a workspace with a low rate. */
    val fewest: Int = 8,
    val most: Int = 64,
    /** The rate above which a workspace gets one more share, so that no owner's work grows with the fleet. */
    val mostRatePerShare: Double = 100.0,
)

/**
 * Returns how many shares the workspace's rate and burst are split into.
 *
 * A small burst makes fewer shares, so that each has room for one request more than accrues while answers are on their
 * way; only then is the limit exact.
 */
public fun WorkspaceSetting.shareCount(split: ShareSplit = ShareSplit()): Int {
    val byRate = ceil(ratePerSecond / split.mostRatePerShare).toInt().coerceIn(split.fewest, split.most)
    val byBurst = floor(burst - ratePerSecond * TWO_WAYS_SECONDS).toInt()
    return minOf(byRate, byBurst, burst / LEAST_SHARE_BURST).coerceAtLeast(1)
}

private const val LEAST_SHARE_BURST = 2

// Twice the longest time that an answer may be on its way.
private const val TWO_WAYS_SECONDS = 0.306

/** Returns one of [count] equal shares of the workspace's rate and burst. */
public fun WorkspaceSetting.toShare(count: Int): ShareSetting =
    ShareSetting(ratePerSecond / count, burst.toDouble() / count)

/** Tokens that may be used until [until]. */
public data class HeldTokens(
    val count: Int,
    val until: MonotonicTime,
)

/** What an entry VM takes from a share. */
public data class TokenTake(
    /** Tokens for requests that wait. */
    val needed: Int,
    /** Further tokens that the VM would hold for its next requests. */
    val ahead: Int = 0,
    /** Longest wait that a needed token may have before it counts. */
    val maxWait: Duration = Duration.ZERO,
    /** How long tokens taken ahead may stay unused. */
    val hold: Duration = Duration.ZERO,
    /** How long the answer may be on its way; a later one is dropped. */
    val answerWithin: Duration = Duration.ZERO,
)

/**
 * The tokens that a share granted.
 *
 * The first [ready] tokens count at once; each later one counts [spacing] after the one before it.
 */
public data class TokenGrant(
    val ready: Int,
    val delayed: Int = 0,
    val firstWait: Duration = Duration.ZERO,
    val spacing: Duration = Duration.ZERO,
    /** Tokens to hold for the next requests. */
    val ahead: Int = 0,
    /** How long until the share's next token counts; zero if it granted all that was needed. */
    val nextTokenIn: Duration = Duration.ZERO,
) {
    /** The number of needed tokens that were granted. */
    val granted: Int get() = ready + delayed

    /** Returns how long the token at [index] of the granted ones has to wait, by a clock that may be fast. */
    public fun waitOf(index: Int): Duration =
        if (index < ready) Duration.ZERO else (firstWait + spacing * (index - ready)) * CLOCK_DRIFT

    /** Returns when the token at [index] lapses, by the clock of the VM that sent the ask at [sentAt]. */
    public fun lapseOf(
        index: Int,
        sentAt: MonotonicTime,
        answerWithin: Duration,
    ): MonotonicTime = sentAt + waitOf(index) + answerWithin
}

/** A changed setting that takes effect at [at] where it is larger than the present one. */
public data class PendingRaise(
    val setting: ShareSetting,
    val at: MonotonicTime,
)

/**
 * One owner's share of a workspace's token bucket.
 *
 * The level may fall below zero: such a token counts only once the level is back at zero, so tokens count at no more
 * than the rate and burst over any interval. Granted tokens keep their room in the bucket until they must have been
 * used or lost, so that a late use can't add to a refilled bucket. The room that answers on their way keep is at most
 * half of the burst or one token, so it is exact if the burst is at least one and twice what accrues on the longest way.
 */
public data class TokenShare(
    val setting: ShareSetting,
    val level: Double,
    val at: MonotonicTime,
    /** Tokens that entry VMs took ahead. */
    val held: List<HeldTokens> = emptyList(),
    /** Tokens whose answers may be on their way. */
    val recent: List<HeldTokens> = emptyList(),
    val raise: PendingRaise? = null,
) {
    /** Returns the share as it is at [now]; a reading before the last one changes nothing. */
    public fun advance(now: MonotonicTime): TokenShare {
        var share = this
        while (share.at < now) share = share.step(minOf(now, share.nextChange() ?: now))
        return share
    }

    /** Takes tokens at [now]. */
    public fun take(
        take: TokenTake,
        now: MonotonicTime,
    ): Pair<TokenShare, TokenGrant> {
        val share = advance(now)
        val ready = min(take.needed, share.wholeTokens())
        val afterReady = share.copy(level = share.level - ready)
        val delayed = min(take.needed - ready, afterReady.delayable(take.maxWait))
        val ahead = if (ready == take.needed) afterReady.aheadOf(take) else 0
        val lastWait = if (delayed > 0) afterReady.waitFor(delayed) else Duration.ZERO
        val left =
            afterReady
                .copy(level = afterReady.level - delayed - ahead)
                .hold(ahead, now + take.hold * CLOCK_DRIFT)
                .sent(ready + delayed, now + (lastWait * CLOCK_DRIFT + take.answerWithin) * CLOCK_DRIFT)
        val grant =
            TokenGrant(
                ready = ready,
                delayed = delayed,
                firstWait = if (delayed > 0) afterReady.waitFor(1) else Duration.ZERO,
                spacing = if (delayed > 0) setting.spacing() else Duration.ZERO,
                ahead = ahead,
                nextTokenIn = if (ready + delayed < take.needed) left.waitFor(1) else Duration.ZERO,
            )
        return left to grant
    }

    /**
     * Applies a changed setting at [now]: a smaller rate or burst at once, a larger one at [raiseAt].
     *
     * The delay keeps the sum of the shares within the whole while owners learn of a changed number of shares.
     */
    public fun change(
        changed: ShareSetting,
        now: MonotonicTime,
        raiseAt: MonotonicTime = now,
    ): TokenShare {
        val share = advance(now)
        val lower = share.setting.coerceAtMost(changed)
        val pending = PendingRaise(changed, raiseAt).takeIf { lower != changed }
        val cut = share.copy(setting = lower, raise = pending, level = min(share.level, lower.burst))
        return if (raiseAt <= now) cut.copy(setting = changed, raise = null) else cut
    }

    private fun step(to: MonotonicTime): TokenShare {
        val room = setting.burst - held.total() - min(recent.total().toDouble(), max(setting.burst * MOST_RECENT, 1.0))
        val gained = setting.ratePerSecond * (to - at).toDouble(DurationUnit.SECONDS)
        val filled = if (level >= room) level else min(room, level + gained)
        val raised = raise?.takeIf { it.at <= to }
        return copy(
            setting = raised?.setting ?: setting,
            level = filled,
            at = to,
            held = held.filter { it.until > to },
            recent = recent.filter { it.until > to },
            raise = raise.takeIf { raised == null },
        )
    }

    private fun nextChange(): MonotonicTime? {
        val ends = (held + recent).map { it.until } + listOfNotNull(raise?.at)
        return ends.filter { it > at }.minOrNull()
    }

    private fun wholeTokens(): Int = floor(level + ROUNDING).toInt().coerceAtLeast(0)

    private fun delayable(maxWait: Duration): Int =
        floor(
            level + ROUNDING + setting.ratePerSecond * maxWait.toDouble(DurationUnit.SECONDS),
        ).toInt().coerceAtLeast(0)

    private fun aheadOf(take: TokenTake): Int {
        val room = floor(setting.burst * MOST_HELD - held.total()).toInt()
        val spare = floor(level - setting.burst * LEAST_LEFT).toInt()
        return minOf(take.ahead, spare, room).coerceAtLeast(0)
    }

    private fun waitFor(tokens: Int): Duration =
        if (setting.ratePerSecond <= 0) {
            Duration.INFINITE
        } else {
            ((tokens - level) / setting.ratePerSecond).coerceAtLeast(0.0).seconds
        }

    private fun hold(
        count: Int,
        until: MonotonicTime,
    ): TokenShare = if (count == 0) this else copy(held = held + HeldTokens(count, until))

    private fun sent(
        count: Int,
        until: MonotonicTime,
    ): TokenShare = if (count == 0) this else copy(recent = recent + HeldTokens(count, until))

    private fun List<HeldTokens>.total(): Int = sumOf { it.count }

    public companion object {
        // Lets sums of fractions that should be whole count as whole; less than one token in a million is given away.
        private const val ROUNDING = 1e-9

        // The part of the burst that tokens taken ahead may occupy.
        private const val MOST_HELD = 0.25

        // The part of the burst that tokens taken ahead leave, so that they are no loss near the rate.
        private const val LEAST_LEFT = 0.5

        // The part of the burst that tokens on their way may occupy.
        private const val MOST_RECENT = 0.5

        /** Returns a share that has granted nothing and holds nothing, as a new owner must start. */
        public fun empty(
            setting: ShareSetting,
            now: MonotonicTime,
        ): TokenShare = TokenShare(setting, level = 0.0, at = now)

        /** Returns a share with the level that its former owner handed over when it conceded the share. */
        public fun conceded(
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

// A span on one clock that lasts as long as one of the same length on the slowest other clock.
private const val CLOCK_DRIFT = 1.02
