package org.agatestream.core

import io.kotest.core.spec.style.FunSpec
import io.kotest.matchers.collections.shouldContainAll
import io.kotest.matchers.ints.shouldBeGreaterThan
import io.kotest.matchers.shouldBe
import io.kotest.matchers.shouldNotBe
import io.kotest.matchers.types.shouldBeInstanceOf
import kotlin.random.Random

/** Run alone with `-Donce.seed=<seed>`, longer with `-Donce.steps=<steps>`. */
class OnceLedgerTest :
    FunSpec({
        val claim = OnceClaim("once/w/k", ClaimId("a"), VmId("vm1"), "digest")
        val first = OnceLedger.begin(claim)
        val row = Row(claim.rowKey, claim.toRecord().toRowValue(), RowVersion(1))

        fun OnceStep.commit(result: CommitResult) = ledger.next(OnceInput.CommitAnswered(result))

        fun OnceStep.failure() = ((action as OnceAction.Answer).result as OnceResult.Refused).failure.kind

        test("a call is sent only after its claim is committed or was read back") {
            first.commit(CommitResult.Committed).action shouldBe OnceAction.Send
            val unknown = first.commit(CommitResult.Unknown)
            unknown.action shouldBe OnceAction.ReadRow
            unknown.ledger.next(OnceInput.RowRead(ReadResult.Found(row))).action shouldBe OnceAction.Send
            unknown.ledger.next(OnceInput.RowRead(ReadResult.Absent)).action shouldBe first.action
        }

        test("with the table down the call is refused as not run, and a doubtful claim is given back") {
            first.commit(CommitResult.Unavailable).failure() shouldBe ErrorKind.PLATFORM_UNAVAILABLE
            val doubtful = first.commit(CommitResult.Unknown).ledger.next(OnceInput.RowRead(ReadResult.Unavailable))
            doubtful.failure() shouldBe ErrorKind.PLATFORM_UNAVAILABLE
            (doubtful.action as OnceAction.Answer).settlement?.event shouldBe OnceEvent.RELEASE
        }

        test("a resend finds the call under way, its answer, its loss, or another call under its key") {
            val other = claim.copy(id = ClaimId("b"), vm = VmId("vm2"))
            val held = other.toRecord()

            fun meet(record: OnceRecord) =
                first.commit(CommitResult.Conflict(listOf(row.copy(value = record.toRowValue()))))
            val asking = meet(held)
            asking.action shouldBe OnceAction.AskHolder(VmId("vm2"), ClaimId("b"))
            asking.ledger.next(OnceInput.HolderAnswered(HolderWord.ACTIVE)).failure() shouldBe ErrorKind.IN_PROGRESS
            val lost = asking.ledger.next(OnceInput.HolderAnswered(HolderWord.LOST))
            lost.commit(CommitResult.Committed).failure() shouldBe ErrorKind.OUTCOME_UNKNOWN
            val taken = asking.ledger.next(OnceInput.HolderAnswered(HolderWord.NEVER_SENT))
            taken.commit(CommitResult.Committed).action shouldBe OnceAction.Send
            val done = checkNotNull(held.after(OnceEvent.COMPLETE, StoredAnswer(201, "text/plain", body = "x")))
            meet(done).action.shouldBeInstanceOf<OnceAction.Answer>().result shouldBe
                OnceResult.Answered(checkNotNull(done.answer), replayed = true)
            meet(done.copy(digest = "other")).failure() shouldBe ErrorKind.KEY_REUSED
            meet(checkNotNull(held.after(OnceEvent.LOSE))).failure() shouldBe ErrorKind.OUTCOME_UNKNOWN
        }

        test("a row belongs to workspace, route and key, a digest to method, target and body") {
            val key = onceRowKey(WorkspaceId("w"), RouteId("r"), "k")
            key shouldNotBe onceRowKey(WorkspaceId("w"), RouteId("rk"), "")
            key shouldNotBe onceRowKey(null, RouteId("r"), "k")
            val digest = onceDigest("POST", "/a", "b".encodeToByteArray())
            digest shouldNotBe onceDigest("POST", "/", "ab".encodeToByteArray())
        }

        test("no call runs twice and every not run is true, with a fault between any two steps") {
            val only = System.getProperty("once.seed")?.toLong()
            val steps = System.getProperty("once.steps")?.toInt() ?: STEPS
            val counts = mutableMapOf<String, Int>()
            for (seed in only?.let { it..it } ?: 1L..SEEDS) {
                val world = OnceWorld(Random(seed))
                try {
                    repeat(steps) { world.step() }
                } catch (e: InvariantViolation) {
                    world.trace.forEach(::println)
                    throw AssertionError("replay with -Donce.seed=$seed: ${e.message}", e)
                }
                world.counts.forEach { (what, count) -> counts.merge(what, count, Int::plus) }
            }
            println("once-ledger seeds=$SEEDS steps=$steps counts=$counts")
            val kinds = listOf("in_progress", "outcome_unknown", "idempotency_key_reused", "platform_unavailable")
            counts.keys shouldContainAll kinds + listOf("run", "answered", "replayed", "no_capacity", "crash")
            counts.getValue("replayed") shouldBeGreaterThan 0
        }
    }) {
    private companion object {
        const val SEEDS = 20L
        const val STEPS = 25_000
    }
}
