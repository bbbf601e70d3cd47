package org.agatestream.core

import io.kotest.core.spec.style.FunSpec
import io.kotest.matchers.comparables.shouldBeGreaterThan
import io.kotest.matchers.longs.shouldBeGreaterThanOrEqual

class CoordinatorTermTest :
    FunSpec({
        test("a later term's runs have higher numbers than all of the terms before it") {
            val first = CoordinatorTerm(1).firstRunNumber
            CoordinatorTerm(2).firstRunNumber shouldBeGreaterThan first + 1_000_000
            CoordinatorTerm(1_000_000_000_000).firstRunNumber shouldBeGreaterThan
                CoordinatorTerm(999_999_999_999)
                    .firstRunNumber
        }

        test("item runs never have the number of an online request, which VMs count from zero") {
            CoordinatorTerm(0).firstRunNumber shouldBeGreaterThanOrEqual (1L shl 62)
        }
    })
