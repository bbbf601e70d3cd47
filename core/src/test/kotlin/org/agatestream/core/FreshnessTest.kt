package org.agatestream.core

import io.kotest.assertions.throwables.shouldThrow
import io.kotest.core.spec.style.FunSpec
import io.kotest.matchers.shouldBe
import io.kotest.property.Arb
import io.kotest.property.arbitrary.int
import io.kotest.property.arbitrary.list
import io.kotest.property.checkAll
import kotlin.time.Duration
import kotlin.time.Duration.Companion.milliseconds
import kotlin.time.Duration.Companion.seconds

private val self = VmId("a")
private val policy = FreshnessPolicy()
private val plan = Plan(PlanEpoch(1), listOf("a", "b", "c", "d", "e").map { PlannedVm(VmId(it), FailureDomainId(it)) })
private val head = FleetHead(Revision(1), PlanEpoch(1))
private val start = MonotonicTime.ZERO

private fun at(millis: Int) = start + millis.milliseconds

private fun answer(
    peer: String,
    sentAt: MonotonicTime,
    applied: FleetHead = head,
    knownSince: MonotonicTime? = null,
    isInitialised: Boolean = true,
) = PeerEvidence(VmId(peer), applied, isInitialised, sentAt, knownSince)

class FreshnessTest :
    FunSpec({
        val fresh = Freshness(self, start).onApplied(head, plan, policy)
        val known = fresh.onTableHead(head, at(0))

        test("a read of the table counts from when it was sent, up to the bound") {
            checkAll(Arb.int(0..6000)) { known.isCurrent(at(it), policy) shouldBe (it < 3000) }
        }

        test("a head that is not applied makes a VM current only once it is") {
            val next = head.copy(revision = Revision(2))
            val told = fresh.onTableHead(next, at(1000))
            told.isCurrent(at(1000), policy) shouldBe false
            told.onApplied(next, plan, policy).isCurrent(at(1000), policy) shouldBe true
        }

        test("a head before the applied one proves nothing") {
            known.onTableHead(FleetHead.NONE, at(2000)).isCurrent(at(3500), policy) shouldBe false
        }

        test("a peer's age counts, and two of five VMs besides this one are a majority") {
            val told = known.onPeer(answer("b", at(5000), knownSince = at(4000)), plan, policy)
            told.isCurrent(at(6999), policy) shouldBe true
            told.isCurrent(at(7000), policy) shouldBe false
            val one = known.onPeer(answer("b", at(5000)), plan, policy)
            one.isCurrent(at(5000), policy) shouldBe false
            one.onPeer(answer("c", at(6000)), plan, policy).knownSince shouldBe at(5000)
        }

        test("peers that are ahead or never were current don't count towards a majority") {
            val ahead = answer("c", at(5000), head.copy(revision = Revision(2)))
            val started = answer("c", at(5000), isInitialised = false)
            for (other in listOf(ahead, started)) {
                val told = known.onPeer(answer("b", at(5000)), plan, policy).onPeer(other, plan, policy)
                told.knownSince shouldBe at(0)
            }
        }

        test("a restarted VM does not rely on peers before confirmations of its past have run out") {
            val early =
                listOf(
                    "b",
                    "c",
                    "d",
                ).fold(fresh) { f, p -> f.onPeer(answer(p, at(2000), knownSince = at(1900)), plan, policy) }
            early.knownSince shouldBe null
            val late = listOf("b", "c", "d").fold(fresh) { f, p -> f.onPeer(answer(p, at(2500)), plan, policy) }
            late.isCurrent(at(2600), policy) shouldBe true
        }

        test("knowledge never gets older") {
            checkAll(Arb.list(Arb.int(0..9999), 1..30)) { times ->
                times.fold(known) { before, millis ->
                    val after = before.onPeer(answer("bcde"[millis % 4].toString(), at(millis)), plan, policy)
                    (after.knownSince!! >= before.knownSince!!) shouldBe true
                    after
                }
            }
        }

        test("an applied head that reverts is a violation") {
            shouldThrow<InvariantViolation> { fresh.onApplied(FleetHead.NONE, plan, policy) }
        }

        test("the takeover wait outlasts the bound on clocks that err by the assumed drift") {
            val slowHolder = policy.bound / (1 - policy.drift)
            val fastWaiter = policy.takeoverWait / (1 + policy.drift)
            (fastWaiter > slowHolder) shouldBe true
            val shortest = policy.restartWait / (1 + policy.drift)
            (shortest >= policy.ackWindow / (1 - policy.drift) - 1.milliseconds) shouldBe true
            policy.bound shouldBe 3.seconds
        }

        test("the takeover wait holds for clocks that err by 4.9% and no longer for 5%") {
            fun holds(drift: Double) = policy.takeoverWait / (1 + drift) >= policy.bound / (1 - drift)
            holds(0.049) shouldBe true
            holds(0.05) shouldBe false
        }

        test("without the restart wait a VM would be current without an accepted change") {
            isCurrentWithoutChange(policy.copy(restartWait = Duration.ZERO)) shouldBe true
            isCurrentWithoutChange(policy) shouldBe false
        }
    })

/**
 * Has `c` confirm a change, restart and forget it before a majority has applied it; returns whether `d`, which asks
 * `c` and `e` after the change was accepted, takes itself to be current without it.
 */
private fun isCurrentWithoutChange(policy: FreshnessPolicy): Boolean {
    val next = head.copy(revision = Revision(2))
    val confirmed = AppliedTally(next).onAnswer(VmId("a"), next, at(1000)).onAnswer(VmId("c"), next, at(1000))
    val restarted =
        listOf("b", "d", "e").fold(Freshness(VmId("c"), at(1100)).onApplied(head, plan, policy)) { f, peer ->
            f.onPeer(answer(peer, at(1200)), plan, policy)
        }
    val accepted = confirmed.onAnswer(VmId("b"), next, at(1300))
    accepted.isInForce(plan, emptySet(), at(1300), policy) shouldBe true
    val asking = Freshness(VmId("d"), start - 60.seconds).onApplied(head, plan, policy)
    return asking
        .onTableHead(head, start - 10.seconds)
        .onPeer(answer("c", at(1400), isInitialised = restarted.knownSince != null), plan, policy)
        .onPeer(answer("e", at(1400)), plan, policy)
        .isCurrent(at(1500), policy)
}
