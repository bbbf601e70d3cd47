package org.agatestream.core.drain

import io.kotest.core.spec.style.FunSpec
import io.kotest.matchers.shouldBe
import org.agatestream.core.BackendServerId
import org.agatestream.core.START
import org.agatestream.core.ServerIncarnation
import org.agatestream.core.ServerRegistry
import org.agatestream.core.incarnation
import org.agatestream.core.serverOf
import kotlin.time.Duration.Companion.milliseconds
import kotlin.time.Duration.Companion.seconds

private const val BORN = 1_000L

// Guards against requests to servers that said that they are leaving, and against sound servers that get none.
class LeavingServersTest :
    FunSpec({
        val entry = serverOf("s1").entry.copy(startedAtMillis = BORN)
        val other = serverOf("s2").entry
        val known = ServerRegistry().onEntry(entry, START).onEntry(other, START)
        val leaving = known.onLeaving(entry.incarnation, START)

        test("a server that said that it is leaving gets no work, and others do") {
            leaving.usable().map { it.entry } shouldBe listOf(other)
            leaving.usable(entry.id) shouldBe null
            leaving.draining(START + 1.seconds) shouldBe
                listOf(DrainingServer(entry.incarnation, DrainSource.HEADER, 1.seconds))
        }

        test("a row that says ready after the header does not cancel it") {
            leaving.onEntry(entry.copy(slots = 9), START + 1.seconds).usable(entry.id) shouldBe null
        }

        test("a server that has started again under the same id is used, whatever is heard late of its former start") {
            val restarted = leaving.onEntry(entry.copy(startedAtMillis = BORN + 1), START + 1.seconds)
            restarted.usable(entry.id)?.entry?.startedAtMillis shouldBe BORN + 1
            val late = restarted.onLeaving(entry.incarnation, START + 2.seconds)
            late.usable(entry.id)?.entry?.startedAtMillis shouldBe BORN + 1
            val merged = restarted.mergeLeaving(leaving.leavingFacts(START), START + 2.seconds)
            merged.usable(entry.id)?.entry?.startedAtMillis shouldBe BORN + 1
        }

        test("a row that the store lost for a moment does not bring a leaving server back") {
            val lost = leaving.onStoreRegained(START + 1.seconds).onRemoved(entry.id, START + 1.seconds)
            lost.find(entry.id) shouldBe null
            val back = lost.expire(START + 3.seconds).onEntry(entry, START + 3.seconds)
            back.expire(START + 60.seconds).usable(entry.id) shouldBe null
        }

        test("the state ends with the row") {
            val gone = leaving.onRemoved(entry.id, START + 1.seconds)
            gone.leavingFacts(START + 1.seconds) shouldBe emptyList()
            gone.isLeaving(entry.incarnation) shouldBe true
            val expired = gone.expire(START + 11.seconds)
            expired.isLeaving(entry.incarnation) shouldBe false
            expired.onEntry(entry, START + 12.seconds).usable(entry.id)?.entry shouldBe entry
        }

        test("without a start time the state ends with the row at once") {
            val unknown = known.onLeaving(other.incarnation, START).onRemoved(other.id, START)
            unknown.onEntry(other, START).usable(other.id)?.entry shouldBe other
        }

        test("what another VM heard counts as if heard here, also before the row is known") {
            val facts = leaving.leavingFacts(START + 200.milliseconds)
            facts shouldBe listOf(LeavingFact(entry.incarnation, 200))
            val early = ServerRegistry().mergeLeaving(facts, START).onEntry(entry, START + 1.seconds)
            early.usable(entry.id) shouldBe null
            early.draining(START).single().source shouldBe DrainSource.PEER
            early.leavingFingerprint shouldBe leaving.leavingFingerprint
            known.leavingFingerprint shouldBe 0
        }

        test("announcements of servers without a row are bounded") {
            val facts = (1..5_000).map { LeavingFact(ServerIncarnation(BackendServerId("x$it"), BORN), 0) }
            val full = leaving.mergeLeaving(facts, START)
            facts.count { full.isLeaving(it.server) } shouldBe 1023
            full.usable(entry.id) shouldBe null
            facts.count { full.expire(START + 10.seconds).isLeaving(it.server) } shouldBe 0
        }
    })
