package org.agatestream.server

import io.kotest.core.spec.style.FunSpec
import io.kotest.matchers.ints.shouldBeInRange
import io.kotest.matchers.shouldBe
import io.kotest.matchers.types.shouldBeInstanceOf
import kotlinx.coroutines.CoroutineScope
import kotlinx.coroutines.Dispatchers
import kotlinx.coroutines.async
import kotlinx.coroutines.awaitAll
import kotlinx.coroutines.cancel
import kotlinx.coroutines.coroutineScope
import kotlinx.coroutines.delay
import org.agatestream.core.AdmissionTimes
import org.agatestream.core.ErrorKind
import org.agatestream.core.FleetView
import org.agatestream.core.MonotonicTime
import org.agatestream.core.Outcome
import org.agatestream.core.Workspace
import org.agatestream.core.WorkspaceId
import org.agatestream.core.WorkspaceSetting
import kotlin.time.Duration
import kotlin.time.Duration.Companion.milliseconds
import kotlin.time.Duration.Companion.seconds

private val workspace = WorkspaceId("carers")

// An owner begins once what an owner before it granted has counted, and then fills its share.
private val FULL_AFTER = AdmissionTimes().grantSpan + 1100.milliseconds

private fun fleet(
    rate: Double,
    burst: Int,
) = FleetView(workspaces = mapOf(workspace to Workspace(workspace, "rrb", WorkspaceSetting(rate, burst))))

class OwnedWorkspaceLimitsTest :
    FunSpec({
        val scope = CoroutineScope(Dispatchers.Default)
        afterSpec { scope.cancel() }

        fun peers(
            vms: Int,
            rate: Double,
            burst: Int,
        ) = LocalPeers(scope, List(vms) { "vm$it" }, fleet(rate, burst), LimitTimes(settingSpread = Duration.ZERO))

        suspend fun LocalPeers.admitAtOnce(count: Int): List<Outcome<Unit>> =
            coroutineScope {
                val deadline = MonotonicTime.now() + 5.seconds
                List(count) { async { vms[it % vms.size].limits.admit(workspace, deadline) } }.awaitAll()
            }

        for (vms in listOf(1, 3)) {
            test("$vms VMs admit the burst and no more than the rate allows") {
                val peers = peers(vms, rate = 30.0, burst = 30)
                delay(FULL_AFTER)
                val began = MonotonicTime.now()
                val outcomes = peers.admitAtOnce(200)
                val took = MonotonicTime.now() - began
                val most = 30 + (30.0 * took.inWholeMilliseconds / 1000).toInt() + 1
                outcomes.count { it is Outcome.Ok } shouldBeInRange 30..most
                outcomes
                    .filterIsInstance<Outcome.Failed>()
                    .map { it.failure.kind }
                    .toSet() shouldBe setOf(ErrorKind.RATE_EXCEEDED)
            }
        }

        test("a silent owner costs a wait, not a refusal") {
            val peers = peers(3, rate = 300.0, burst = 300)
            delay(FULL_AFTER)
            peers.silent += peers.vms[1].self
            peers.admitAtOnce(150).count { it is Outcome.Ok } shouldBe 150
        }

        test("with every owner silent the refusal says that the limit is unavailable") {
            val peers = peers(3, rate = 300.0, burst = 300)
            peers.silent += peers.vms.map { it.self }
            val outcome = peers.vms[0].limits.admit(workspace, MonotonicTime.now() + 400.milliseconds)
            outcome.shouldBeInstanceOf<Outcome.Failed>().failure.kind shouldBe ErrorKind.LIMIT_UNAVAILABLE
        }
    })
