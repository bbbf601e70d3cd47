package org.agatestream.core

import io.kotest.core.spec.style.FunSpec
import io.kotest.matchers.comparables.shouldBeGreaterThanOrEqualTo
import io.kotest.matchers.comparables.shouldBeLessThanOrEqualTo
import io.kotest.matchers.nulls.shouldBeNull
import io.kotest.matchers.nulls.shouldNotBeNull
import io.kotest.matchers.shouldBe
import kotlin.random.Random
import kotlin.time.Duration
import kotlin.time.Duration.Companion.milliseconds
import kotlin.time.Duration.Companion.minutes
import kotlin.time.Duration.Companion.seconds

private val RULES = JobRules(completionTarget = 18.seconds, retention = 36.seconds, maxWaitingTokens = 0)
private val ACCEPTED = StoreTime(5_000_000)

/** A monotonic clock that starts anywhere, runs up to 1% fast or slow, and stands still while its VM is suspended. */
private class DriftingClock(
    random: Random,
) {
    private val rate = 1 + random.nextDouble(-0.01, 0.01)
    private var reading = MonotonicTime.ZERO + random.nextLong(0, 1_000_000).milliseconds

    fun advance(
        span: Duration,
        isSuspended: Boolean,
    ): MonotonicTime {
        if (!isSuspended) reading += span * rate
        return reading
    }
}

class JobLifetimeTest :
    FunSpec({
        test("a job's deadline and expiry count from its acceptance by the store's clock") {
            val now = MonotonicTime.ZERO + 90.seconds
            val lifetime = JobLifetime.of(ACCEPTED, ACCEPTED + 9.seconds, RULES, now)
            lifetime.deadline shouldBe now + 9.seconds
            lifetime.expiresAt.shouldNotBeNull() shouldBeGreaterThanOrEqualTo now + 27.seconds
        }

        test("a job whose age is not known counts as new and does not expire") {
            val now = MonotonicTime.ZERO + 90.seconds
            for ((acceptedAt, readAt) in listOf(null to ACCEPTED, ACCEPTED to null, null to null)) {
                val lifetime = JobLifetime.of(acceptedAt, readAt, RULES, now)
                lifetime.deadline shouldBe now + RULES.completionTarget
                lifetime.expiresAt.shouldBeNull()
            }
        }

        test("a job whose rules are not known does not expire") {
            val now = MonotonicTime.ZERO
            JobLifetime.of(ACCEPTED, ACCEPTED + 30.minutes, rules = null, now).expiresAt.shouldBeNull()
        }

        test("a job that seems to be accepted in the future counts as new") {
            val now = MonotonicTime.ZERO
            JobLifetime.of(ACCEPTED, StoreTime(0), RULES, now).deadline shouldBe now + RULES.completionTarget
        }

        test("no coordinator lets a job expire early, whatever its clock does and whoever accepted the job") {
            repeat(2_000) { seed ->
                val random = Random(seed)
                val clock = DriftingClock(random)
                val rules = RULES.copy(retention = random.nextLong(10, 3_600).seconds)
                val age = random.nextLong(0, 60_000).milliseconds
                val answerDelay = random.nextLong(0, 3_000).milliseconds
                val receivedAt = clock.advance(answerDelay, isSuspended = random.nextBoolean())
                val lifetime = JobLifetime.of(ACCEPTED, ACCEPTED + age, rules, receivedAt)
                var trueAge = age + answerDelay
                var now = receivedAt
                val expiresAt = lifetime.expiresAt.shouldNotBeNull()
                while (now < expiresAt) {
                    val span = random.nextLong(1, (expiresAt - now).inWholeMilliseconds + 2).milliseconds
                    now = clock.advance(span, isSuspended = random.nextInt(8) == 0)
                    trueAge += span
                }
                trueAge shouldBeGreaterThanOrEqualTo rules.retention
            }
        }

        test("coordinators that take over one after another agree on the deadline within the delay of their reads") {
            repeat(200) { seed ->
                val random = Random(seed)
                val age = random.nextLong(0, 17_000).milliseconds
                val now = DriftingClock(random).advance(Duration.ZERO, isSuspended = false)
                val left = JobLifetime.of(ACCEPTED, ACCEPTED + age, RULES, now).deadline - now
                left shouldBeLessThanOrEqualTo RULES.completionTarget - age
            }
        }
    })
