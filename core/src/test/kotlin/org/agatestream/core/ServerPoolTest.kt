package org.agatestream.core

import io.kotest.core.spec.style.FunSpec
import io.kotest.matchers.doubles.shouldBeLessThan
import io.kotest.matchers.shouldBe
import org.agatestream.core.placement.ObservedLoad
import org.agatestream.core.placement.ReportedLoad
import kotlin.random.Random
import kotlin.time.Duration.Companion.milliseconds

/** Guards against an expected wait that counts slots which requests can't use. */
class ServerPoolTest :
    FunSpec({
        fun poolOf(count: Int): ServerPool =
            ServerPool(Random(1)).apply {
                onManifest(manifestOf())
                onUsable((1..count).map { serverOf("s$it", slots = 8) })
            }

        test("slots of excluded, refusing and silent servers and of silent VMs' runs are not usable") {
            val pool = poolOf(4)
            val excluded = setOf(BackendServerId("s1"))
            pool.usableSlots(CHAT, excluded, START) shouldBe 24.0
            pool.find(BackendServerId("s2"))!!.record(RunOutcome.NOT_RUN, null, START, wasSilent = false)
            pool.usableSlots(CHAT, excluded, START) shouldBe 16.0
            pool.find(BackendServerId("s3"))!!.orphan(CallId(VM_A, 1), START + 500.milliseconds)
            pool.usableSlots(CHAT, excluded, START) shouldBe 15.0
            pool.usableSlots(ServiceId("none"), excluded, START) shouldBe 0.0
            pool.usableSlots(CHAT, excluded, START + 100.milliseconds) shouldBe 23.0
        }

        test("a server whose work takes longer counts less") {
            val pool = poolOf(2)
            pool.onReportedLoad(ObservedLoad(BackendServerId("s1"), ReportedLoad(0, 0, 8, 400), 0), START)
            pool.usableSlots(CHAT, emptySet(), START) shouldBeLessThan 12.0
        }
    })
