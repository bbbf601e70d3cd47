package org.agatestream.server

import io.kotest.core.spec.style.FunSpec
import io.kotest.matchers.shouldBe
import org.agatestream.core.ItemId
import org.agatestream.core.ItemRef
import org.agatestream.core.JobId
import org.agatestream.core.JobRef
import org.agatestream.core.MonotonicTime
import kotlin.time.Duration.Companion.seconds

private val JOB = JobRef(null, JobId("j"))
private val FIRST = ItemRef(JOB, ItemId("i1"))
private val SECOND = ItemRef(JOB, ItemId("i2"))

private fun outputUpTo(event: Long) = PartialOutput(event, List(event.toInt()) { "event" })

// Guards against memory that finished items and ended jobs keep for as long as the process runs.
class PartialOutputsTest :
    FunSpec({
        test("the output with the most events is kept until the item is finished, and none is taken afterwards") {
            val outputs = PartialOutputs()
            outputs.onJob(JOB, listOf(FIRST.item, SECOND.item))
            for (event in listOf(3L, 2L)) outputs.offer(FIRST, outputUpTo(event))
            outputs[FIRST]?.lastEvent shouldBe 3
            outputs.onListed(FIRST)
            outputs.offer(FIRST, outputUpTo(4))
            outputs.size shouldBe 0
            outputs.offer(SECOND, outputUpTo(1))
            outputs.size shouldBe 1
        }

        test("an ended job's outputs are dropped, also those that its stopped runs report afterwards") {
            val outputs = PartialOutputs()
            outputs.onJob(JOB, listOf(FIRST.item, SECOND.item))
            outputs.offer(FIRST, outputUpTo(1))
            outputs.onJobEnded(JOB)
            outputs.offer(SECOND, outputUpTo(2))
            outputs.size shouldBe 0
        }

        test("a job ends with its last item") {
            val outputs = PartialOutputs()
            outputs.onJob(JOB, listOf(FIRST.item))
            outputs.onListed(FIRST)
            outputs.offer(SECOND, outputUpTo(2))
            outputs.size shouldBe 0
        }

        test("a new coordinator keeps what it hears before it has read the jobs, except of finished items") {
            val outputs = PartialOutputs()
            for (item in listOf(FIRST, SECOND)) outputs.offer(item, outputUpTo(1))
            outputs.onJob(JOB, listOf(SECOND.item))
            outputs[FIRST] shouldBe null
            outputs[SECOND]?.lastEvent shouldBe 1
        }

        test("entries are dropped once they have been idle for the retention, not while they are used") {
            val map = IdleMap<String, Int>(retention = 10.seconds)
            val start = MonotonicTime.ZERO
            map.use("a") { 1 }
            map.use("b") { 2 }
            map.onIdle("a", start)
            map.onIdle("other", start + 9.seconds)
            map["a"] shouldBe 1
            map.onIdle("other", start + 10.seconds)
            map["a"] shouldBe null
            map["b"] shouldBe 2
            map.onIdle("b", start)
            map.use("b") { 3 } shouldBe 2
            map.onIdle("other", start + 60.seconds)
            map["b"] shouldBe 2
        }
    })
