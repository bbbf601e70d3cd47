package org.agatestream.core

import io.kotest.core.spec.style.FunSpec
import io.kotest.matchers.comparables.shouldBeGreaterThanOrEqualTo
import io.kotest.matchers.comparables.shouldBeLessThanOrEqualTo
import io.kotest.matchers.shouldBe
import kotlin.time.Duration.Companion.seconds

/** Load patterns of the users' days; each is named after the trouble that it stands for. */
class DispatchModelTest :
    FunSpec({
        // The users' target on days of high load: a score of 0.9, and no refusal while a server has a free slot.
        val target = 0.9
        val team = WorkspaceId("team")
        val jobs = 0.514

        fun play(
            name: String,
            load: ModelLoad,
            isApart: Boolean = false,
        ): DispatchModel {
            val model = DispatchModel(load, seed = 1, isApart = isApart).play()
            val mode = if (isApart) "each VM by itself" else "one coordinator"
            println(
                "$name | $mode | online ${model.total()} | items ${model.itemCount} | ${model.refusedBesideFreeSlots}",
            )
            return model
        }

        test("WavesOverBatch: items make way for the waves and run between them") {
            val load = ModelLoad(online = mapOf(team to DispatchModel.waves(1.0)), jobsPerSecond = { jobs })
            val model = play("WavesOverBatch", load)
            model.total().inTimeShare shouldBeGreaterThanOrEqualTo target
            model.itemCount.inTimeShare shouldBeGreaterThanOrEqualTo target
            model.refusedBesideFreeSlots shouldBe 0
            val apart =
                play("WavesOverBatch", ModelLoad(online = mapOf(team to DispatchModel.waves(1.0))), isApart = true)
            model.total().inTimeShare shouldBeGreaterThanOrEqualTo apart.total().inTimeShare
        }

        test("ManyJobsAtOnce: a burst of jobs does not delay online requests") {
            val load =
                ModelLoad(
                    online = mapOf(team to DispatchModel.waves(1.0)),
                    jobsPerSecond = { at -> if (at in 5.seconds..8.seconds) 6 * jobs else jobs },
                )
            val model = play("ManyJobsAtOnce", load)
            model.total().inTimeShare shouldBeGreaterThanOrEqualTo target
            model.refusedBesideFreeSlots shouldBe 0
        }

        test("HotTenant: one workspace far above its rate takes nothing from another") {
            val hot = WorkspaceId("hot")
            val rate = 40.0
            val burst = 40.0
            val spec = WorkspaceSpec(hot, setOf("hot-key"), null, rate, burst)
            val manifest = manifestOf().let { it.copy(workspaces = it.workspaces + spec) }
            val load =
                ModelLoad(
                    online =
                        mapOf(
                            team to DispatchModel.waves(0.6),
                            hot to { at -> if (at >= 5.seconds) 300.0 else 20.0 },
                        ),
                    manifest = manifest,
                    length = 11.5.seconds,
                )
            val model = play("HotTenant", load)
            model.counts.getValue(team).inTimeShare shouldBeGreaterThanOrEqualTo target
            val served = model.counts.getValue(hot).let { it.inTime + it.late }
            served shouldBeLessThanOrEqualTo DispatchModel.mostAllowed(rate, burst, 11.5.seconds + 1.seconds)
            served shouldBeGreaterThanOrEqualTo (rate * 6.5 * target).toInt()
        }

        test("SlowServerUnseen: a server five times as slow gets little") {
            val servers =
                (1..9).map { ModelServer("s$it", slow = if (it == 1) Span(5.seconds, 6.5.seconds) else null) }
            val load = ModelLoad(servers, online = mapOf(team to DispatchModel.waves(1.0)), length = 15.seconds)
            val model = play("SlowServerUnseen", load)
            model.total().inTimeShare shouldBeGreaterThanOrEqualTo target
            model.refusedBesideFreeSlots shouldBe 0
        }

        test("SilentServer: it takes no more than its slots and a try now and then") {
            val silence = Span(5.seconds, 10.seconds)
            val servers = (1..9).map { ModelServer("s$it", silent = if (it == 1) silence else null) }
            val model = play("SilentServer", ModelLoad(servers, online = mapOf(team to DispatchModel.waves(1.0))))
            // Its eight slots once, and one try after each gap that callers wait for.
            model.total().failed shouldBeLessThanOrEqualTo 8 + 3
            model.total().inTimeShare shouldBeGreaterThanOrEqualTo target
        }

        test("ColdServersAfterLoss: servers that all come back cold get what they bear") {
            val before = (1..9).map { ModelServer("s$it", listed = Span(-(1.seconds), 6.seconds)) }
            val after = (1..9).map { ModelServer("n$it", listed = Span(6.seconds, 100.seconds), coldFor = 3.seconds) }
            val load =
                ModelLoad(
                    before + after,
                    online = mapOf(team to DispatchModel.waves(1.0)),
                    manifest = manifestOf(coldRate = 47.0),
                    length = 15.seconds,
                )
            val model = play("ColdServersAfterLoss", load)
            model.total().inTimeShare shouldBeGreaterThanOrEqualTo target
        }

        test("ServersReplacedInTurn: one server after the other leaves and a cold one takes its place") {
            val servers =
                (1..9).flatMap { number ->
                    val at = 3.seconds + 1.seconds * number
                    listOf(
                        ModelServer("s$number", listed = Span(-(1.seconds), at + 1.seconds)),
                        ModelServer("n$number", listed = Span(at, 100.seconds), coldFor = 3.seconds),
                    )
                }
            val load =
                ModelLoad(
                    servers,
                    online = mapOf(team to DispatchModel.waves(1.0)),
                    jobsPerSecond = { jobs },
                    manifest = manifestOf(coldRate = 47.0),
                )
            val model = play("ServersReplacedInTurn", load)
            model.total().inTimeShare shouldBeGreaterThanOrEqualTo target
            model.refusedBesideFreeSlots shouldBe 0
        }

        test("RetriesAfterRefusal: above what the servers bear, no refusal comes beside a free slot") {
            val load =
                ModelLoad(
                    online = mapOf(team to { at -> if (at in 5.seconds..10.seconds) 200.0 else 40.0 }),
                    returns = 3,
                    length = 20.seconds,
                )
            val model = play("RetriesAfterRefusal", load)
            model.refusedBesideFreeSlots shouldBe 0
            val total = model.total()
            // 72 slots and runs of 600 ms bear 120 a second: 5 s of 200 leave 400 to the time after.
            (total.inTime + total.late).toDouble() / total.asked shouldBeGreaterThanOrEqualTo target
        }
    })
