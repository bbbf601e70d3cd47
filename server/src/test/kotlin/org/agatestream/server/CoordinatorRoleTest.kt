package org.agatestream.server

import io.kotest.assertions.nondeterministic.eventually
import io.kotest.core.spec.style.FunSpec
import io.kotest.matchers.comparables.shouldBeGreaterThan
import io.kotest.matchers.comparables.shouldBeLessThanOrEqualTo
import io.kotest.matchers.shouldBe
import kotlinx.coroutines.CoroutineScope
import kotlinx.coroutines.Job
import kotlinx.coroutines.delay
import kotlinx.coroutines.runBlocking
import org.agatestream.core.CoordinatorTerm
import org.agatestream.core.FailureDomainId
import org.agatestream.core.ItemId
import org.agatestream.core.ItemOutcome
import org.agatestream.core.JobId
import org.agatestream.core.JobLifetime
import org.agatestream.core.JobPlan
import org.agatestream.core.ListedVm
import org.agatestream.core.MonotonicTime
import org.agatestream.core.PlannedItem
import org.agatestream.core.RowChange
import org.agatestream.core.RowName
import org.agatestream.core.RowStore
import org.agatestream.core.RunOutcome
import org.agatestream.core.VmId
import kotlin.time.Duration
import kotlin.time.Duration.Companion.milliseconds
import kotlin.time.Duration.Companion.seconds

private val COORDINATOR = VmId("a@1")
private val ENDED_VM = VmId("b@1")
private const val MANIFEST =
    """{"Version":1,"Routes":[{"Name":"lot","Hostname":"h.example","Prefix":"/lot/","Type":"batch","Service":"s",
    "CompletionTargetMs":9000,"KeepS":60,"MaxAttempts":3}],"Services":[{"Name":"s"}],"Tenants":[]}"""
private const val SERVER = """{"Service":"s","Address":"127.0.0.1:1","Zone":"d","Slots":8,"State":"ready"}"""

/** A network on which every VM responds with [response]; keeps the runs of items that it was asked to pass on. */
private class FakeNetwork(
    private val response: PeerResponse?,
) : PeerTransport {
    override val self: VmId = COORDINATOR
    val runs = ArrayList<RunItemRequest>()
    val placements: Int get() = runs.size

    override fun addHandler(handler: PeerHandler) = Unit

    override fun updateAddresses(vms: List<ListedVm>) = Unit

    override suspend fun call(
        peer: VmId,
        request: PeerRequest,
        timeout: Duration,
    ): PeerResponse? {
        if (request is RunItemRequest) runs += request
        delay(1.milliseconds)
        return response
    }

    override suspend fun callAddress(
        address: String,
        request: PeerRequest,
        timeout: Duration,
        expected: VmId?,
    ): PeerResponse? = null
}

private fun viewOfOneServer(store: RowStore = FakeRowStore()): PlatformView {
    val view = PlatformView(store) {}
    val snapshot =
        PlatformSnapshot(
            operatorVersion = 1,
            operatorRows = listOf(SnapshotRow("config", MANIFEST.encodeToByteArray())),
            serverVersion = 1,
            serverRows = listOf(SnapshotRow("i-1", SERVER.encodeToByteArray())),
        )
    view.applySnapshot(snapshot, MonotonicTime.now())
    return view
}

private fun statusOf(
    name: String,
    operatorVersion: Long = 1,
): StatusReport =
    StatusReport(
        name = name,
        caller = "127.0.0.1:2",
        peer = "127.0.0.1:3",
        domain = FailureDomainId("d"),
        isLeaving = false,
        // A coordinator without the store resigns only if a follower reaches it.
        isStoreReachable = false,
        running = emptyList(),
        unlisted = emptyList(),
        operatorVersion = operatorVersion,
        serverVersion = 1,
        liveVersion = 0,
    )

private fun roleOf(
    network: PeerTransport,
    scope: CoroutineScope,
    view: PlatformView = viewOfOneServer(),
    confirm: (Int) -> Unit = {},
): CoordinatorRole =
    CoordinatorRole(
        self = COORDINATOR,
        term = CoordinatorTerm(1),
        network = network,
        view = view,
        parts = PromptPartWatch(viewOfOneServer()) { false },
        scope = scope,
        runItem = {},
        stopItem = {},
        giveUpItem = {},
        onDecision = {},
        markSilent = {},
        unlist = {},
        listedVms = { 1 },
        isLeaving = { false },
        confirm = confirm,
    )

/** Has a coordinator place the items of a job at a VM that responds with [response], and runs [block]. */
private fun withFollower(
    response: PeerResponse?,
    items: Int,
    confirm: (Int) -> Unit = {},
    block: suspend (CoordinatorRole, FakeNetwork) -> Unit,
) = runBlocking {
    val job = Job()
    val network = FakeNetwork(response)
    val role = roleOf(network, CoroutineScope(coroutineContext + job), confirm = confirm)
    try {
        val now = MonotonicTime.now()
        role.start(now)
        role.onStatusReport(ENDED_VM, statusOf("b"), now)
        val planned = (1..items).map { PlannedItem(ItemId("i$it"), "/lot/$it") }
        val lifetime = JobLifetime(deadline = now + 18.seconds, expiresAt = null)
        role.onJob(JobPlan(JobId("j"), null, "h.example", lifetime, 1, null, planned), emptySet(), now)
        block(role, network)
    } finally {
        job.cancel()
    }
}

/** Keeps the only thread of the test from running anything else, as a freeze of its VM would. */
private fun freeze() = Thread.sleep(700)

private fun withDeadFollower(block: suspend (CoordinatorRole, FakeNetwork) -> Unit) =
    withFollower(response = null, items = 4, block = block)

class CoordinatorRoleTest :
    FunSpec({
        // A replaced coordinator went on placing items at ended VMs, hundreds a second, until its process ended.
        test("EndedCoordinator: a coordinator that was replaced places no more items") {
            withDeadFollower { role, network ->
                delay(50.milliseconds)
                role.stop()
                val before = network.placements
                delay(200.milliseconds)
                network.placements shouldBe before
            }
        }

        // A coordinator placed each item at an ended VM again and again until it noticed the VM's silence.
        test("UnansweredPlacement: a VM that does not take an item gets no other before its next report") {
            withDeadFollower { _, network ->
                delay(300.milliseconds)
                network.placements shouldBeLessThanOrEqualTo 4
            }
        }

        // Guards against items of ended jobs that a coordinator places as it wakes, before it has heard of the end.
        test("FrozenCoordinator: a coordinator that was frozen places no items before it is confirmed") {
            val confirmations = ArrayList<Int>()
            withFollower(Acknowledged, items = 20, confirm = { confirmations += it }) { role, network ->
                eventually(3.seconds) { network.placements shouldBe 7 }
                freeze()
                val woken = MonotonicTime.now()
                val ended = network.runs.first()
                role.onItemReport(ENDED_VM, ItemReport(ended.number, ended.item, ItemOutcome.INTERRUPTED), woken)
                role.release(ENDED_VM, ReleaseSlotRequest(ended.number, RunOutcome.STOPPED, null), woken)
                delay(100.milliseconds)
                network.placements shouldBe 7
                confirmations shouldBe listOf(1)
                role.onConfirmed(1, MonotonicTime.now())
                eventually(3.seconds) {
                    role.onStatusReport(ENDED_VM, statusOf("b"), MonotonicTime.now())
                    network.placements shouldBeGreaterThan 7
                }
            }
        }

        // Guards against orders of a coordinator that does not know that it was replaced.
        test("FrozenCoordinator: a coordinator whose order is refused places no more items") {
            val confirmations = ArrayList<Int>()
            withFollower(Superseded, items = 20, confirm = { confirmations += it }) { role, network ->
                eventually(3.seconds) { network.placements shouldBe 7 }
                repeat(3) {
                    role.onStatusReport(ENDED_VM, statusOf("b"), MonotonicTime.now())
                    delay(50.milliseconds)
                }
                network.placements shouldBe 7
                confirmations shouldBe listOf(1)
            }
        }

        // Guards against items that wait again whenever the feed of jobs starts over.
        test("a coordinator that is confirmed already places items without a wait") {
            withFollower(Acknowledged, items = 20) { role, network ->
                eventually(3.seconds) { network.placements shouldBe 7 }
                freeze()
                role.onStatusReport(ENDED_VM, statusOf("b"), MonotonicTime.now())
                role.onConfirmed(1, MonotonicTime.now())
                role.onStatusReport(ENDED_VM, statusOf("b"), MonotonicTime.now())
                eventually(3.seconds) { network.placements shouldBeGreaterThan 7 }
                val before = network.placements
                role.onConfirmed(1, MonotonicTime.now())
                val run = network.runs.last()
                val now = MonotonicTime.now()
                role.onItemReport(ENDED_VM, ItemReport(run.number, run.item, ItemOutcome.FINISHED), now)
                role.release(ENDED_VM, ReleaseSlotRequest(run.number, RunOutcome.ANSWERED, null), now)
                eventually(300.milliseconds) { network.placements shouldBeGreaterThan before }
            }
        }

        test("a confirmation from before a further pause does not count") {
            withFollower(Acknowledged, items = 20) { role, network ->
                eventually(3.seconds) { network.placements shouldBe 7 }
                repeat(2) {
                    freeze()
                    role.onViewChanged(MonotonicTime.now())
                }
                role.onConfirmed(1, MonotonicTime.now())
                repeat(5) {
                    role.onStatusReport(ENDED_VM, statusOf("b"), MonotonicTime.now())
                    delay(200.milliseconds)
                }
                network.placements shouldBe 7
            }
        }

        // Guards against a coordinator that works by an old manifest for as long as its own feed is silent.
        test("StaleManifest: a coordinator reads the manifest anew when a VM reports a newer one") {
            val store = FakeRowStore()
            val view = viewOfOneServer(store)
            val newer = MANIFEST.replace("\"Version\":1", "\"Version\":2").encodeToByteArray()
            repeat(2) { store.write(emptyMap(), listOf(RowChange(RowName("op", "", "config"), newer))) }
            runBlocking {
                val job = Job()
                try {
                    val role = roleOf(FakeNetwork(null), CoroutineScope(coroutineContext + job), view)
                    role.onStatusReport(ENDED_VM, statusOf("b", operatorVersion = 2), MonotonicTime.now())
                    eventually(3.seconds) { view.manifest?.version shouldBe 2 }
                } finally {
                    job.cancel()
                }
            }
        }
    })
