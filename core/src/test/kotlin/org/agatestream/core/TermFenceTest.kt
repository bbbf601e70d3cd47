package org.agatestream.core

import io.kotest.core.spec.style.FunSpec
import io.kotest.matchers.shouldBe

class TermFenceTest :
    FunSpec({
        // Guards against orders of a replaced coordinator that are carried out, in whichever order messages arrive.
        test("an order of an older term than any known one is refused") {
            val fence = TermFence()
            fence.admits(CoordinatorTerm(9)) shouldBe true
            fence.raise(CoordinatorTerm(95))
            fence.admits(CoordinatorTerm(9)) shouldBe false
            fence.admits(CoordinatorTerm(95)) shouldBe true
        }

        test("an order of a term that the store has not told of yet ends the terms before it") {
            val fence = TermFence()
            fence.raise(CoordinatorTerm(9))
            fence.admits(CoordinatorTerm(95)) shouldBe true
            fence.raise(CoordinatorTerm(9))
            fence.admits(CoordinatorTerm(9)) shouldBe false
        }
    })
