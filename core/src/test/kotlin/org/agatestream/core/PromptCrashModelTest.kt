package org.agatestream.core

import io.kotest.core.spec.style.FunSpec
import io.kotest.matchers.collections.shouldBeEmpty
import io.kotest.matchers.collections.shouldNotBeEmpty
import io.kotest.matchers.comparables.shouldBeLessThan
import io.kotest.matchers.comparables.shouldBeLessThanOrEqualTo
import kotlin.time.Duration
import kotlin.time.Duration.Companion.seconds

// Guards against requests of one kind that crash one backend server after the other, because nobody sees what the
// requests have in common (issue 23).
class PromptCrashModelTest :
    FunSpec({
        // The users' rule: five crashes, and at most three requests later than this after the fifth.
        val crashesUntilKnown = 5
        val requestsAfter = 3
        val contactTime = 4.seconds
        val modelSeeds = seeds(defaultCount = 8).map { it.toInt() }

        fun simulate(
            seed: Int,
            blame: Blame,
            hasDeadlyParts: Boolean = true,
        ): PromptCrashModel {
            val model = PromptCrashModel(seed, blame, hasDeadlyParts).run()
            println(
                "PromptCrashModel | seed $seed | blame $blame | crashes ${model.crashes.values.map { it.size }} | " +
                    "sound ${model.soundRequests}, runs lost ${model.soundRunsLost}, refused ${model.soundRefused}",
            )
            return model
        }

        fun PromptCrashModel.sentLate(part: PromptPart): Int {
            val fifth = crashes[part].orEmpty().getOrNull(crashesUntilKnown - 1) ?: Duration.INFINITE
            return sent[part].orEmpty().count { it > fifth + contactTime }
        }

        for (seed in modelSeeds) {
            test("each deadly part is known after five crashes, beside ends for other reasons: seed $seed") {
                val model = simulate(seed, Blame.PART)
                for (part in PromptCrashModel.DEADLY_PARTS) {
                    model.crashes[part].orEmpty().shouldNotBeEmpty()
                    model.crashes[part].orEmpty().size shouldBeLessThanOrEqualTo crashesUntilKnown
                    model.sentLate(part) shouldBeLessThanOrEqualTo requestsAfter
                }
                model.condemnedSound.shouldBeEmpty()
            }

            test("fewer sound requests are lost than with blame by nothing or by key: seed $seed") {
                val model = simulate(seed, Blame.PART)
                for (blame in listOf(Blame.NOTHING, Blame.KEY)) {
                    val other = simulate(seed, blame)
                    model.soundRunsLost shouldBeLessThan other.soundRunsLost
                    model.soundRefused shouldBeLessThanOrEqualTo other.soundRefused
                }
            }

            test("servers that end for other reasons condemn no part: seed $seed") {
                val model = simulate(seed, Blame.PART, hasDeadlyParts = false)
                model.condemnedSound.shouldBeEmpty()
            }
        }
    })
