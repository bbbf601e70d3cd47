package org.agatestream.server

import io.kotest.assertions.nondeterministic.eventually
import io.kotest.core.spec.style.FunSpec
import io.kotest.matchers.shouldBe
import io.kotest.matchers.string.shouldContain
import kotlinx.coroutines.CompletableDeferred
import kotlinx.coroutines.async
import org.agatestream.core.OnceState
import kotlin.time.Duration.Companion.seconds

class ServiceCallsTest :
    FunSpec({
        timeout = 20_000

        suspend fun OnlineFixture.book(
            key: String? = "k1",
            body: String = "{}",
            via: FakeVm = vm,
        ): Reply {
            val headers = listOfNotNull(key?.let { "idempotency-key" to it }).toTypedArray()
            return send("POST", "/services/wheels/bookings", body, *headers, via = via)
        }

        fun OnlineFixture.runs() = first.bookings.get() + second.bookings.get()

        fun OnlineFixture.states() = table.records().map { it.state }

        test("a resend through another VM gets the stored answer and does not run again") {
            OnlineFixture().use {
                val other = it.addVm("vm2")
                val answer = it.book()
                answer.status shouldBe 200
                val again = it.book(via = other)
                again.text shouldBe answer.text
                again.head.header("x-agatestream-replayed") shouldBe "whole"
                it.book(body = "other", via = other).text shouldContain "idempotency_key_reused"
                it.book("k2").status shouldBe 200
                it.runs() shouldBe 2
            }
        }

        test("a resend while the call runs is told so, also when its first caller has gone") {
            OnlineFixture().use {
                val other = it.addVm("vm2")
                val go = CompletableDeferred<Unit>()
                it.first.scripts += Script.Late(go)
                val caller = async { it.book() }
                eventually(5.seconds) { it.runs() shouldBe 1 }
                it.book(via = other).text shouldContain "in_progress"
                caller.cancel()
                go.complete(Unit)
                eventually(5.seconds) { it.states() shouldBe listOf(OnceState.DONE) }
                it.book(via = other).status shouldBe 200
                it.runs() shouldBe 1
            }
        }

        test("a lost answer of the service is an unknown outcome for good") {
            OnlineFixture().use {
                it.first.scripts += Script.DropBeforeHead
                it.book().text shouldContain "outcome_unknown"
                eventually(5.seconds) { it.states() shouldBe listOf(OnceState.UNKNOWN) }
                val again = it.book(via = it.addVm("vm2"))
                again.text shouldContain "outcome_unknown"
                again.head.header("x-agatestream-run") shouldBe "unknown"
                it.runs() shouldBe 1
            }
        }

        test("the claim of a VM that is gone is an unknown outcome for good") {
            OnlineFixture().use {
                val lost = it.addVm("vm2")
                val go = CompletableDeferred<Unit>()
                it.first.scripts += Script.Late(go)
                val caller = async { it.book(via = lost) }
                eventually(5.seconds) { it.runs() shouldBe 1 }
                it.vms -= lost
                it.book().text shouldContain "in_progress"
                it.coordination.vms = it.coordination.vms.filter { vm -> vm.id != lost.self }
                it.book().text shouldContain "outcome_unknown"
                go.complete(Unit)
                caller.await().status shouldBe 200
                it.runs() shouldBe 1
            }
        }

        test("a call that no server took can be sent again") {
            OnlineFixture().use {
                it.first.scripts += Script.Refuse
                it.second.scripts += Script.Refuse
                val refused = it.book()
                refused.text shouldContain "no_capacity"
                refused.head.header("x-agatestream-run") shouldBe "no"
                it.book(via = it.addVm("vm2")).status shouldBe 200
                it.runs() shouldBe 1
            }
        }

        test("with the table down a call is refused as not run, and a lost commit answer is read back") {
            OnlineFixture().use {
                it.table.down = true
                val refused = it.book()
                refused.text shouldContain "platform_unavailable"
                refused.head.header("x-agatestream-run") shouldBe "no"
                it.runs() shouldBe 0
                it.table.down = false
                it.table.loseAnswers = 1
                it.book().status shouldBe 200
                it.runs() shouldBe 1
            }
        }

        test("an answer that can't be stored yet reaches its caller, and a resend gets it later") {
            OnlineFixture().use {
                val go = CompletableDeferred<Unit>()
                it.first.scripts += Script.Late(go)
                val caller = async { it.book() }
                eventually(5.seconds) { it.runs() shouldBe 1 }
                it.table.down = true
                go.complete(Unit)
                caller.await().status shouldBe 200
                it.table.down = false
                val other = it.addVm("vm2")
                eventually(5.seconds) { it.book(via = other).head.header("x-agatestream-replayed") shouldBe "whole" }
                it.runs() shouldBe 1
            }
        }

        test("without an idempotency key a lost answer is not retried, and a refusal is") {
            OnlineFixture().use {
                it.first.scripts += listOf(Script.DropBeforeHead, Script.Refuse)
                it.book(key = null).text shouldContain "outcome_unknown"
                it.runs() shouldBe 1
                it.book(key = null).status shouldBe 200
                it.second.bookings.get() shouldBe 1
            }
        }

        test("a call that may be repeated is repeated after a lost answer") {
            OnlineFixture().use {
                it.first.scripts += Script.DropBeforeHead
                it.send("POST", "/services/wheels/length", "{}").status shouldBe 200
                it.second.recorded.size shouldBe 1
            }
        }
    })
