package org.agatestream.core.placement

import io.kotest.core.spec.style.FunSpec
import io.kotest.matchers.collections.shouldBeEmpty
import io.kotest.matchers.shouldBe
import org.agatestream.core.BackendServerId
import org.agatestream.core.CHAT
import org.agatestream.core.DispatchAction
import org.agatestream.core.FailureDomainId
import org.agatestream.core.MonotonicTime
import org.agatestream.core.START
import org.agatestream.core.UsableServer
import org.agatestream.core.VM_A
import org.agatestream.core.VM_B
import org.agatestream.core.dispatcherOf
import org.agatestream.core.jobOf
import org.agatestream.core.manifestOf
import org.agatestream.core.requestOf
import org.agatestream.core.serverOf
import org.agatestream.core.started
import kotlin.time.Duration.Companion.milliseconds
import kotlin.time.Duration.Companion.seconds

/** Guards against traffic that leaves its failure domain needlessly, does not leave it in need, or swings. */
class DomainRoutingTest :
    FunSpec({
        val home = FailureDomainId("home")
        val away = FailureDomainId("away")

        fun offer(
            millis: Double,
            price: Double = 0.0,
            tokensRead: Int = 0,
        ): DomainOffer = DomainOffer(millis, millis + price, tokensRead)

        fun DomainRouting.decide(
            own: DomainOffer?,
            other: DomainOffer?,
            isOwnFull: Boolean = false,
            now: MonotonicTime = START,
        ): DomainDecision = decide(home, own, isOwnFull, other, dueMillis = 300.0, now)

        test("a request stays while its domain serves in time, though another is faster") {
            DomainRouting(CHAT).decide(offer(70.0), offer(50.0)) shouldBe DomainDecision.Stay
        }

        test("a request leaves a slow, full or empty domain unless that costs more than it gains") {
            val routing = DomainRouting(CHAT)
            routing.decide(offer(290.0), offer(60.0)) shouldBe DomainDecision.Leave(LeaveReason.OWN_SLOW)
            routing.decide(offer(290.0), offer(60.0, price = 400.0)) shouldBe DomainDecision.Stay
            routing.decide(offer(150.0), offer(60.0), isOwnFull = true) shouldBe
                DomainDecision.Leave(LeaveReason.OWN_FULL)
            // Waiting beside a free server would hold up the requests behind it.
            routing.decide(offer(150.0), offer(60.0, price = 100.0), isOwnFull = true) shouldBe
                DomainDecision.Leave(LeaveReason.OWN_FULL)
            routing.decide(null, offer(60.0, price = 9_000.0)) shouldBe DomainDecision.Leave(LeaveReason.ONLY_THERE)
            routing.decide(offer(290.0), null) shouldBe DomainDecision.Stay
        }

        test("a request leaves for a cached prompt only if reading it again takes long") {
            val routing = DomainRouting(CHAT)
            val cached = offer(60.0, tokensRead = 100)
            routing.decide(offer(100.0, tokensRead = 900), cached) shouldBe DomainDecision.Leave(LeaveReason.PROMPT)
            routing.decide(offer(70.0, tokensRead = 500), cached) shouldBe DomainDecision.Stay
            routing.takeChanges().shouldBeEmpty()
        }

        test("around the limit, traffic does not swing, and both costs are reported") {
            val routing = DomainRouting(CHAT)
            var leaving = 0
            for (step in 0 until 400) {
                val now = START + (step * 10).milliseconds
                val own = offer(if (step % 2 == 0) 110.0 else 95.0, price = 0.0)
                if (routing.decide(own, offer(60.0), now = now) is DomainDecision.Leave) leaving++
            }
            leaving shouldBe 400
            routing.takeChanges() shouldBe
                listOf(DomainChange(CHAT, home, isLeaving = true, LeaveReason.OWN_SLOW, 110.0, 60.0))
            for (millis in 4_000..6_000 step 10) {
                routing.decide(offer(55.0), offer(45.0), now = START + millis.milliseconds) shouldBe DomainDecision.Stay
            }
            routing.takeChanges().map { it.isLeaving } shouldBe listOf(false)
        }

        fun serverIn(
            domain: FailureDomainId,
            name: String,
            isCold: Boolean = false,
        ): UsableServer {
            val server = serverOf(name, slots = 4, coldTimeLeft = if (isCold) 3.seconds else 0.seconds)
            return server.copy(entry = server.entry.copy(failureDomain = domain))
        }

        test("requests beyond a domain's slots, or beyond what its cold servers bear, go elsewhere") {
            for (isCold in listOf(false, true)) {
                val servers = arrayOf(serverIn(home, "s1", isCold), serverIn(away, "s2"))
                val dispatcher = dispatcherOf(manifestOf(coldRate = 2.0), *servers)
                val places =
                    (1L..6L).flatMap { dispatcher.place(requestOf(it).copy(origin = home), START) }.map {
                        (it as DispatchAction.Place).server.value
                    }
                places.count { it == "s1" } shouldBe (if (isCold) 2 else 4)
                dispatcher.takeDomainFlows().keys shouldBe setOf(DomainFlow(home, away, LeaveReason.OWN_FULL))
            }
        }

        test("an item runs in the domain of its job's bodies, at a VM there, if that has a free slot") {
            val dispatcher = dispatcherOf(manifestOf(), serverIn(home, "s1"), serverIn(away, "s2"))
            val domains = mapOf(VM_A to home, VM_B to away)
            dispatcher.onFollowers(listOf(VM_A, VM_B), 2, domains = domains)
            val started = dispatcher.onJob(jobOf("j", 7), emptySet(), START).started()
            started.take(4).map { it.server to it.call.vm } shouldBe List(4) { BackendServerId("s1") to VM_A }
            started.drop(4).map { it.server to it.call.vm }.toSet() shouldBe setOf(BackendServerId("s2") to VM_B)
        }
    })
