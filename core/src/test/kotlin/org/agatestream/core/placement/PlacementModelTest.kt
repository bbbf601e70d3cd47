package org.agatestream.core.placement

import io.kotest.core.spec.style.FunSpec
import io.kotest.matchers.collections.shouldContain
import io.kotest.matchers.comparables.shouldBeGreaterThanOrEqualTo
import io.kotest.matchers.comparables.shouldBeLessThanOrEqualTo
import io.kotest.matchers.shouldBe
import kotlin.time.Duration
import kotlin.time.Duration.Companion.seconds

/** Simulates load patterns for the choice of servers; each test is named after the pattern. */
class PlacementModelTest :
    FunSpec({
        fun simulate(
            name: String,
            load: PlacementLoad,
        ): PlacementModel {
            val model = PlacementModel(load, seed = 1).run()
            println("$name | ${load.knowledge} | ${load.figures} | $model")
            return model
        }

        fun earlier(load: PlacementLoad): PlacementLoad =
            PlacementLoad(
                requestsPerSecond = load.requestsPerSecond,
                noisyFraction = load.noisyFraction,
                slowness = load.slowness,
                figures = FigureKind.MISSING,
                knowledge = Knowledge.NOTHING,
            )

        fun earlierOnTime(load: PlacementLoad): Double {
            val before =
                PlacementLoad(
                    domainSpeeds = load.domainSpeeds,
                    servers = load.servers,
                    demand = load.demand,
                    requestsPerSecond = load.requestsPerSecond,
                    slowness = load.slowness,
                    figures = FigureKind.MISSING,
                    knowledge = Knowledge.NOTHING,
                )
            return simulate("  before", before).onTimeFraction
        }

        for (figures in FigureKind.entries) {
            test("ChangingSpeeds: servers slow down for 600 ms, the reported durations are $figures") {
                for (rate in listOf(170.0, 300.0)) {
                    val load =
                        PlacementLoad(
                            requestsPerSecond = rate,
                            noisyFraction = 0.15,
                            figures = figures,
                            isOriginKnown = false,
                        )
                    val before = simulate("ChangingSpeeds $rate/s", earlier(load))
                    val after = simulate("ChangingSpeeds $rate/s", load)
                    after.onTimeFraction shouldBeGreaterThanOrEqualTo before.onTimeFraction
                    after.readAgainFraction shouldBeLessThanOrEqualTo before.readAgainFraction * 0.8
                    after.busiestToMean shouldBeLessThanOrEqualTo 1.6
                }
            }
        }

        test("RecoveredServer: a server that was slow for 5 s gets its share again") {
            val slow = { index: Int, at: Duration -> if (index == 1 && at in 4.seconds..9.seconds) 6.0 else 1.0 }
            for (figures in listOf(FigureKind.FRESH, FigureKind.MISSING)) {
                val model =
                    simulate(
                        "RecoveredServer",
                        PlacementLoad(slowness = slow, figures = figures, isOriginKnown = false),
                    )
                val whileSlow = model.startsBySecond[1].slice(5..8).sum()
                val recovered = model.startsBySecond[1].slice(15..18).sum()
                val usual = model.startsBySecond.sumOf { it.slice(15..18).sum() } / 40.0
                (whileSlow < recovered / 2) shouldBe true
                recovered.toDouble() shouldBeGreaterThanOrEqualTo usual * 0.5
            }
        }

        test("SlowHomeDomain: few requests leave their domain where one has half the speed and servers slow down") {
            for (rate in listOf(170.0, 300.0)) {
                val load = PlacementLoad(requestsPerSecond = rate, noisyFraction = 0.15)
                val before = simulate("SlowHomeDomain $rate/s", earlier(load))
                val after = simulate("SlowHomeDomain $rate/s", load)
                // Staying costs a few first events at the slow domain whose slowdown could not be foreseen.
                after.onTimeFraction shouldBeGreaterThanOrEqualTo before.onTimeFraction - 0.003
                // A request whose domain is full leaves at once, so that it does not wait beside a free server.
                after.leftFraction shouldBeLessThanOrEqualTo before.leftFraction * 0.67
                after.readAgainFraction shouldBeLessThanOrEqualTo before.readAgainFraction * 0.8
            }
        }

        val equal = listOf(1.0, 1.0, 1.0)

        test("OwnDomainHasRoom: requests stay in their domain") {
            val model = simulate("OwnDomainHasRoom", PlacementLoad(equal, servers = 39, requestsPerSecond = 120.0))
            model.leftFraction shouldBeLessThanOrEqualTo 0.02
            model.onTimeFraction shouldBeGreaterThanOrEqualTo 0.99
        }

        test("UnevenDemand: only the surplus of the domain with most requests leaves, without swinging") {
            val load = PlacementLoad(equal, servers = 39, demand = listOf(0.7, 0.2, 0.1), requestsPerSecond = 250.0)
            val model = simulate("UnevenDemand", load)
            model.leftFraction(0) shouldBeLessThanOrEqualTo 0.6
            model.leftFraction(0) shouldBeGreaterThanOrEqualTo 0.2
            model.leftFraction(1) shouldBeLessThanOrEqualTo 0.1
            model.leftFraction(2) shouldBeLessThanOrEqualTo 0.1
            model.onTimeFraction shouldBeGreaterThanOrEqualTo earlierOnTime(load) - 0.001
            // Each wave of 2.2 s takes the first domain over its capacity and back at most once.
            model.changes.size shouldBeLessThanOrEqualTo 2 * 10 + 6
        }

        test("OwnDomainSlow: the requests of a domain that slows down leave it and return when it recovers") {
            val slow = { index: Int, at: Duration -> if (index % 3 == 0 && at in 5.seconds..10.seconds) 6.0 else 1.0 }
            val load = PlacementLoad(equal, servers = 39, requestsPerSecond = 120.0, slowness = slow)
            val model = simulate("OwnDomainSlow", load)
            model.flows.keys.map { it.reason } shouldContain LeaveReason.OWN_SLOW
            val changes = model.changes.filter { it.second.origin.value == "d0" }
            changes.first().first shouldBeLessThanOrEqualTo 6.5.seconds
            changes.last().second.isLeaving shouldBe false
            model.startsBySecond[0].slice(16..19).sum() shouldBeGreaterThanOrEqualTo 4
            model.onTimeFraction shouldBeGreaterThanOrEqualTo earlierOnTime(load)
        }

        test("OwnDomainOut: the requests of a domain that is taken out leave it and return") {
            val isUsable = { domain: Int, at: Duration -> domain != 0 || at !in 5.seconds..10.seconds }
            val load = PlacementLoad(equal, servers = 39, requestsPerSecond = 120.0, isDomainUsable = isUsable)
            val model = simulate("OwnDomainOut", load)
            model.flows.keys.map { it.reason } shouldContain LeaveReason.ONLY_THERE
            (model.startsBySecond[0].slice(6..9).sum()) shouldBe 0
            model.startsBySecond[0].slice(13..16).sum() shouldBeGreaterThanOrEqualTo 4
            model.leftFraction shouldBeLessThanOrEqualTo 0.12
            model.onTimeFraction shouldBeGreaterThanOrEqualTo 0.99
        }
    })
