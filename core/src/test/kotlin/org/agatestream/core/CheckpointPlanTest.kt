package org.agatestream.core

import io.kotest.core.spec.style.FunSpec
import io.kotest.matchers.collections.shouldBeEmpty
import io.kotest.matchers.collections.shouldContainExactly

class CheckpointPlanTest :
    FunSpec({
        val item = ItemRef(JobId("j"), ItemId("i"))
        val other = ItemRef(JobId("j"), ItemId("k"))

        test("an output is stored once it has grown by some events since it was stored") {
            val plan = CheckpointPlan()
            plan.due(mapOf(item to 10L)).shouldBeEmpty()
            plan.due(mapOf(item to 30L, other to 3L)) shouldContainExactly setOf(item)
            plan.onStored(item, 30)
            plan.due(mapOf(item to 40L)).shouldBeEmpty()
            plan.due(mapOf(item to 50L)) shouldContainExactly setOf(item)
        }

        test("a store that does not answer is asked again") {
            val plan = CheckpointPlan()
            plan.due(mapOf(item to 30L)) shouldContainExactly setOf(item)
            plan.due(mapOf(item to 30L)) shouldContainExactly setOf(item)
        }

        test("the stored output of an item that is done is named once") {
            val plan = CheckpointPlan()
            plan.onStored(item, 30)
            plan.takeObsolete(setOf(item, other)).shouldBeEmpty()
            plan.takeObsolete(setOf(other)) shouldContainExactly setOf(item)
            plan.takeObsolete(emptySet()).shouldBeEmpty()
        }
    })
