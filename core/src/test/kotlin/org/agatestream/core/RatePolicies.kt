package org.agatestream.core

import kotlin.random.Random
import kotlin.time.Duration
import kotlin.time.Duration.Companion.milliseconds
import kotlin.time.Duration.Companion.seconds

/** How arrivals and faults of one measurement of rate policies are drawn. */
internal data class RateCase(
    val name: String,
    val load: Double,
    /** The part of the arrivals that comes to the first VM. */
    val uneven: Double = 1.0 / 12,
    /** When the first owner is lost, or null; its share begins anew after the takeover. */
    val lostAt: Duration? = null,
    val takeover: Duration = 7700.milliseconds,
)

internal class RateResult(
    val wrongful: Double,
    val excess: Double,
    val asksPerRequest: Double,
)

/** A way to split a workspace's rate over VMs. */
internal sealed class RatePolicy {
    /** Every VM has an equal share and asks nobody. */
    data object StaticShares : RatePolicy()

    /** Every VM has an equal share and gets tokens of others, a few at a time, when it has none. */
    data object MovedShares : RatePolicy()

    /** [count] VMs own the shares and every VM asks them. */
    data class Owners(
        val count: Int,
        val maxWait: Duration = 1.seconds,
        val hold: Duration = Duration.ZERO,
    ) : RatePolicy()
}

/** Runs one policy on one case by the pure code; an ask takes no time unless the asked VM is lost. */
internal class RatePolicyModel(
    private val policy: RatePolicy,
    private val case: RateCase,
    seed: Long,
) {
    private val random = Random(seed)
    private val setting = WorkspaceSetting(RATE, BURST)
    private val times =
        AdmissionTimes(
            maxWait = (policy as? RatePolicy.Owners)?.maxWait ?: 1.seconds,
            hold = (policy as? RatePolicy.Owners)?.hold ?: Duration.ZERO,
        )
    private val count = (policy as? RatePolicy.Owners)?.count ?: VMS
    private val shares =
        Array(count) { TokenShare(setting.toShare(count), BURST.toDouble() / count, MonotonicTime.ZERO) }
    private val memories = Array(VMS) { AdmissionMemory() }
    private val meter = RateMeter(setting)
    private var ideal = TokenShare(ShareSetting(RATE, BURST.toDouble()), BURST.toDouble(), MonotonicTime.ZERO)
    private var asks = 0
    private var replaced = false

    fun run(length: Duration): RateResult {
        var time = Duration.ZERO
        var arrived = 0
        var due = 0
        var admitted = 0
        var wrongful = 0
        while (time < length) {
            time += random.nextGap(RATE * case.load)
            replaceLost(time)
            val (next, grant) = ideal.take(TokenTake(1), MonotonicTime.ZERO + time)
            ideal = next
            val isAdmitted = admit(pickVm(time), time)
            arrived++
            due += grant.granted
            if (isAdmitted) admitted++
            if (grant.granted > 0 && !isAdmitted) wrongful++
        }
        // Over the rate it doesn't matter which request is refused, only how many.
        val missing = if (case.load > 1) (due - admitted).coerceAtLeast(0) else wrongful
        return RateResult(missing.toDouble() / due, meter.excess().first, asks.toDouble() / arrived)
    }

    private fun pickVm(time: Duration): Int {
        val vm = if (random.nextDouble() < case.uneven) 0 else random.nextInt(VMS)
        // Callers of a lost VM go to another.
        return if (isLost(time) && vm == LOST_VM) (vm + 1) % VMS else vm
    }

    private fun isLost(time: Duration): Boolean =
        case.lostAt != null && time >= case.lostAt && time < case.lostAt + case.takeover

    private fun replaceLost(time: Duration) {
        if (replaced || case.lostAt == null || time < case.lostAt + case.takeover) return
        replaced = true
        shares[LOST_SHARE % count] = TokenShare.empty(setting.toShare(count), MonotonicTime.ZERO + time)
    }

    private fun admit(
        vm: Int,
        time: Duration,
    ): Boolean =
        when (policy) {
            RatePolicy.StaticShares -> {
                takeOwn(vm, time, times.maxWait)
            }

            RatePolicy.MovedShares -> {
                takeOwn(vm, time, Duration.ZERO) || borrow(vm, time) ||
                    takeOwn(vm, time, times.maxWait)
            }

            is RatePolicy.Owners -> {
                askOwners(vm, time)
            }
        }

    private fun takeOwn(
        vm: Int,
        time: Duration,
        maxWait: Duration,
    ): Boolean {
        val (left, grant) = shares[vm].take(TokenTake(1, maxWait = maxWait), MonotonicTime.ZERO + time)
        shares[vm] = left
        if (grant.granted > 0) meter.count(time + grant.waitOf(0))
        return grant.granted > 0
    }

    /** Moves half of the level of up to three other VMs, one after the other, until there is a token. */
    private fun borrow(
        vm: Int,
        time: Duration,
    ): Boolean {
        val now = MonotonicTime.ZERO + time
        for (donor in (0..<VMS).filter { it != vm }.shuffled(random).take(3)) {
            asks++
            if (donor == LOST_VM && isLost(time)) continue
            val from = shares[donor].advance(now)
            val moved = from.level / 2
            if (moved <= 0) continue
            shares[donor] = from.copy(level = from.level - moved)
            shares[vm] = shares[vm].advance(now).let { it.copy(level = it.level + moved) }
            if (takeOwn(vm, time, Duration.ZERO)) return true
        }
        return false
    }

    private fun askOwners(
        vm: Int,
        time: Duration,
    ): Boolean {
        var now = MonotonicTime.ZERO + time
        val (counted, had) = memories[vm].arrive(now)
        memories[vm] = counted
        if (had) return true.also { meter.count(time) }
        val owners = List(count) { ShareOwner(it, VmId("owner$it")) }
        var attempt = AdmissionAttempt(random.nextInt(count), now + times.giveUp)
        while (true) {
            when (val step = nextAdmissionStep(owners, memories[vm], attempt, times, now)) {
                is AdmissionStep.Refuse -> {
                    return false
                }

                is AdmissionStep.Wait -> {
                    now = step.at
                }

                is AdmissionStep.Ask -> {
                    asks++
                    val share = step.owner.share
                    replaceLost(now - MonotonicTime.ZERO)
                    if (share == LOST_SHARE % count && isLost(now - MonotonicTime.ZERO)) {
                        now += times.askTimeout
                        memories[vm] = memories[vm].silent(step.owner, times, now)
                        continue
                    }
                    val (left, grant) = shares[share].take(memories[vm].toTake(1, step.maxWait, times, now), now)
                    shares[share] = left
                    memories[vm] = memories[vm].answered(step.owner, grant, now, times, now)
                    if (grant.granted > 0) return true.also { meter.count(now - MonotonicTime.ZERO + grant.waitOf(0)) }
                    attempt = attempt.refused(step.owner, step.maxWait)
                }
            }
        }
    }

    companion object {
        private const val RATE = 50.0
        private const val BURST = 50
        private const val VMS = 12
        private const val LOST_VM = 0
        private const val LOST_SHARE = 0

        val CASES =
            listOf(
                RateCase("even 0.6", 0.6),
                RateCase("even 0.95", 0.95),
                RateCase("uneven 0.6", 0.6, uneven = 0.8),
                RateCase("uneven 0.95", 0.95, uneven = 0.8),
                RateCase("4 times", 4.0),
                RateCase("lost, 0.6", 0.6, lostAt = 20.seconds),
                RateCase("lost, 0.95", 0.95, lostAt = 20.seconds),
                RateCase("lost, 4 times", 4.0, lostAt = 20.seconds),
                RateCase("frozen 12 s, 0.6", 0.6, lostAt = 20.seconds, takeover = 12.seconds),
            )
        val POLICIES =
            listOf(
                RatePolicy.StaticShares,
                RatePolicy.MovedShares,
                RatePolicy.Owners(1),
                RatePolicy.Owners(3, maxWait = Duration.ZERO),
                RatePolicy.Owners(3),
                RatePolicy.Owners(6),
                RatePolicy.Owners(8),
                RatePolicy.Owners(8, hold = 500.milliseconds),
                RatePolicy.Owners(12),
            )
    }
}
