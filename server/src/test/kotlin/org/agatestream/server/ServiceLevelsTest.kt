package org.agatestream.server

import io.kotest.core.spec.style.FunSpec
import io.kotest.matchers.shouldBe
import io.micrometer.core.instrument.simple.SimpleMeterRegistry
import org.agatestream.core.ErrorKind
import org.agatestream.core.LevelCounts
import org.agatestream.core.MonotonicTime
import org.agatestream.core.WorkspaceId
import kotlin.time.Duration.Companion.milliseconds

class ServiceLevelsTest :
    FunSpec({
        val desk = WorkspaceId("desk")

        fun countsAfter(action: ServiceLevels.() -> Unit): LevelCounts {
            val levels = ServiceLevels(SimpleMeterRegistry()) { MonotonicTime.ZERO }
            levels.action()
            return levels.report().firstOrNull()?.counts ?: LevelCounts()
        }

        test("an answer in time is good, a late one is bad") {
            countsAfter { answered(desk, 390.milliseconds) } shouldBe LevelCounts(good = 1)
            countsAfter { answered(desk, 391.milliseconds) } shouldBe LevelCounts(bad = 1)
        }

        test("what the caller caused does not count, all else is bad") {
            val byCaller = ErrorKind.entries.filter { countsAfter { failed(desk, it) } == LevelCounts() }
            byCaller.all { it.status in 400..499 } shouldBe true
            (ErrorKind.RATE_EXCEEDED in byCaller) shouldBe true
            countsAfter { failed(desk, ErrorKind.BACKEND_FAILED) } shouldBe LevelCounts(bad = 1)
            countsAfter { failed(desk, ErrorKind.NO_CAPACITY) } shouldBe LevelCounts(bad = 1)
        }
    })
