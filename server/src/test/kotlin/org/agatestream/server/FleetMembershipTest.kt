package org.agatestream.server

import io.kotest.core.spec.style.FunSpec
import io.kotest.matchers.shouldBe
import io.kotest.matchers.types.shouldBeInstanceOf
import kotlinx.coroutines.CancellableContinuation
import kotlinx.coroutines.CompletableDeferred
import kotlinx.coroutines.CoroutineDispatcher
import kotlinx.coroutines.CoroutineScope
import kotlinx.coroutines.Delay
import kotlinx.coroutines.InternalCoroutinesApi
import kotlinx.coroutines.Job
import kotlinx.coroutines.Runnable
import kotlinx.coroutines.awaitCancellation
import kotlinx.coroutines.cancel
import org.agatestream.core.ClockReading
import org.agatestream.core.CoordinatorTerm
import org.agatestream.core.FailureDomainId
import org.agatestream.core.ListedVm
import org.agatestream.core.MonotonicTime
import org.agatestream.core.RowChange
import org.agatestream.core.RowName
import org.agatestream.core.RowPage
import org.agatestream.core.RowStore
import org.agatestream.core.StoreRead
import org.agatestream.core.VmId
import org.agatestream.core.WriteResult
import java.util.concurrent.ConcurrentLinkedDeque
import kotlin.coroutines.CoroutineContext
import kotlin.random.Random
import kotlin.time.Duration
import kotlin.time.Duration.Companion.seconds

private val SELF = VmId("self@1")

// The coordinator's row is read, reported to in vain, and claimed, each in one or two steps.
private const val STEPS_TO_CLAIM = 20
private val OTHER = CoordinatorRecord(VmId("other@1"), "other", "127.0.0.1:2")

/** Runs coroutines only on demand, so that a test chooses their order; no delay ends. */
@OptIn(InternalCoroutinesApi::class)
private class StepDispatcher :
    CoroutineDispatcher(),
    Delay {
    private val tasks = ConcurrentLinkedDeque<Runnable>()

    override fun dispatch(
        context: CoroutineContext,
        block: Runnable,
    ) {
        tasks += block
    }

    override fun scheduleResumeAfterDelay(
        timeMillis: Long,
        continuation: CancellableContinuation<Unit>,
    ) = Unit

    /** Runs the tasks that are waiting now, in their order. */
    fun runWaiting() = repeat(tasks.size) { tasks.pollFirst()?.run() }

    /** Runs the last task. */
    fun runLast() = tasks.pollLast()?.run()
}

/** A store that answers its first read of rows only once [isOpen] completes, and never tells of changes. */
private class GatedStore(
    val rows: FakeRowStore,
) : RowStore by rows {
    val isOpen = CompletableDeferred<Unit>()

    /** The results of the claims of the coordinator role. */
    val claims = ArrayList<WriteResult>()

    override suspend fun write(
        expected: Map<RowName, Long>,
        changes: List<RowChange>,
    ): WriteResult {
        val result = rows.write(expected, changes)
        if (FleetTables.coordinator in expected) claims += result
        return result
    }

    override suspend fun rows(
        table: String,
        partition: String,
        from: String?,
        to: String?,
        limit: Int?,
    ): StoreRead<RowPage> {
        isOpen.await()
        return rows.rows(table, partition, from, to, limit)
    }

    override suspend fun changes(
        table: String,
        after: Long,
        wait: Duration,
    ): StoreRead<RowPage> = awaitCancellation()

    fun coordinator(): VmId? = rows.rows[FleetTables.coordinator]?.value?.let { decode(it)?.vm }

    private fun decode(bytes: ByteArray) = FleetTables.decode(CoordinatorRecord.serializer(), bytes)
}

/** A network on which every VM responds with [response]. */
private class FakePeers(
    var response: PeerResponse? = null,
    /** The VMs at whose addresses other processes listen. */
    private val replaced: Set<VmId> = emptySet(),
) : PeerTransport {
    override val self: VmId = SELF

    override fun addHandler(handler: PeerHandler) = Unit

    override fun updateAddresses(vms: List<ListedVm>) = Unit

    override fun isReplaced(vm: VmId): Boolean = vm in replaced

    override suspend fun call(
        peer: VmId,
        request: PeerRequest,
        timeout: Duration,
    ): PeerResponse? = response

    override suspend fun callAddress(
        address: String,
        request: PeerRequest,
        timeout: Duration,
        expected: VmId?,
    ): PeerResponse? = null
}

private val CONFIG =
    PlatformVmConfig(
        name = "self",
        failureDomain = FailureDomainId("d"),
        callerAddress = "127.0.0.1:1",
        entryAddress = "127.0.0.1:1",
        readyAddress = "127.0.0.1:1",
        peerAddress = "127.0.0.1:1",
        storeAddress = "127.0.0.1:1",
        rowBytes = 65_536,
        shutdownGraceSeconds = 3.0,
        entryTtlMaxSeconds = 1.0,
        resultsKeptSeconds = 60.0,
    )

private val STATUS =
    StatusReport(
        name = CONFIG.name,
        caller = CONFIG.callerAddress,
        peer = CONFIG.peerAddress,
        domain = CONFIG.failureDomain,
        isLeaving = false,
        isStoreReachable = true,
        running = emptyList(),
        unlisted = emptyList(),
        operatorVersion = 0,
        serverVersion = 0,
        liveVersion = 0,
    )

/** Starts the membership of a VM that reaches [store], and runs [block] with its coroutines and its coordinators. */
private suspend fun withMembership(
    store: GatedStore,
    peers: FakePeers = FakePeers(),
    block: suspend (StepDispatcher, List<VmId?>, FleetMembership) -> Unit,
) {
    val dispatcher = StepDispatcher()
    val scope = CoroutineScope(Job() + dispatcher)
    val coordinators = ArrayList<VmId?>()
    val view = PlatformView(store) {}
    view.onStoreContact(answered = true, MonotonicTime.now())
    val membership =
        FleetMembership(
            config = CONFIG,
            store = store,
            roster = VmRoster(CONFIG, SELF, store),
            network = peers,
            view = view,
            parts = PromptPartWatch(view) { false },
            status = { STATUS },
            random = Random(1),
            scope = scope,
            onCoordinatorChanged = { coordinators += it },
            onRosterKnown = {},
            onLocalStatus = { null },
        )
    membership.start()
    try {
        block(dispatcher, coordinators, membership)
    } finally {
        scope.cancel()
    }
}

class FleetMembershipTest :
    FunSpec({
        // Guards against jobs that stand still because VMs that start replace a coordinator at work.
        test("a VM that learns of the coordinator after it decided to claim the role does not replace it") {
            val store = GatedStore(FakeRowStore())
            val row = FleetTables.encode(CoordinatorRecord.serializer(), OTHER)
            store.write(emptyMap(), listOf(RowChange(FleetTables.coordinator, row)))
            withMembership(store) { dispatcher, coordinators, _ ->
                dispatcher.runWaiting()
                store.isOpen.complete(Unit)
                dispatcher.runLast()
                coordinators shouldBe listOf(OTHER.vm)
                dispatcher.runWaiting()
                store.claims.single().shouldBeInstanceOf<WriteResult.Conflict>()
                store.coordinator() shouldBe OTHER.vm
            }
        }

        // Guards against a fleet that waits for time-outs although the named process provably ended.
        test("all VMs restart at once: a coordinator whose address another process holds is replaced at once") {
            val store = GatedStore(FakeRowStore())
            store.isOpen.complete(Unit)
            val row = FleetTables.encode(CoordinatorRecord.serializer(), OTHER)
            store.write(emptyMap(), listOf(RowChange(FleetTables.coordinator, row)))
            withMembership(store, FakePeers(replaced = setOf(OTHER.vm))) { dispatcher, _, _ ->
                repeat(STEPS_TO_CLAIM) { dispatcher.runWaiting() }
                store.coordinator() shouldBe SELF
            }
        }

        // Guards against items that a replaced coordinator has run through other VMs.
        test("a VM refuses orders of a coordinator that it knows to be replaced") {
            val store = GatedStore(FakeRowStore())
            val row = FleetTables.encode(CoordinatorRecord.serializer(), OTHER)
            repeat(2) { store.write(emptyMap(), listOf(RowChange(FleetTables.coordinator, row))) }
            withMembership(store) { dispatcher, _, membership ->
                fun judge(term: Long) = membership.judgeStart(CoordinatorTerm(term), ClockReading.now())
                judge(1) shouldBe OrderVerdict.ADMITTED
                store.isOpen.complete(Unit)
                repeat(3) { dispatcher.runWaiting() }
                membership.coordinatorTerm shouldBe CoordinatorTerm(2)
                judge(1) shouldBe OrderVerdict.SUPERSEDED
                membership.judgeStop(CoordinatorTerm(1)) shouldBe OrderVerdict.SUPERSEDED
                judge(2) shouldBe OrderVerdict.ADMITTED
            }
        }

        // Guards against items that a VM starts as it wakes from a freeze, and that have been placed elsewhere meanwhile.
        test("a VM that was frozen starts no items before the coordinator has answered a report") {
            val store = GatedStore(FakeRowStore())
            val row = FleetTables.encode(CoordinatorRecord.serializer(), OTHER)
            store.write(emptyMap(), listOf(RowChange(FleetTables.coordinator, row)))
            val peers = FakePeers()
            withMembership(store, peers) { dispatcher, _, membership ->
                fun judge(now: ClockReading) = membership.judgeStart(CoordinatorTerm(1), now)
                store.isOpen.complete(Unit)
                repeat(3) { dispatcher.runWaiting() }
                val start = ClockReading.now()
                judge(start) shouldBe OrderVerdict.ADMITTED
                val woken = ClockReading(start.monotonic + 4.seconds, start.unixMillis + 4_000)
                repeat(2) { judge(woken) shouldBe OrderVerdict.OUTDATED }
                membership.judgeStop(CoordinatorTerm(1)) shouldBe OrderVerdict.ADMITTED
                peers.response = StatusResponse(null, 0, isResigning = false, snapshot = null)
                repeat(3) { dispatcher.runWaiting() }
                judge(woken) shouldBe OrderVerdict.ADMITTED
            }
        }

        // Guards against a named coordinator that does not answer as one, because no change of the row reaches it.
        test("a VM coordinates from its claim on, whether or not the store tells of the change") {
            val store = GatedStore(FakeRowStore())
            withMembership(store) { dispatcher, coordinators, _ ->
                store.isOpen.complete(Unit)
                repeat(3) { dispatcher.runWaiting() }
                store.coordinator() shouldBe SELF
                coordinators shouldBe listOf(SELF)
            }
        }
    })
