package org.agatestream.server

import kotlinx.coroutines.CoroutineScope
import kotlinx.coroutines.async
import kotlinx.coroutines.awaitAll
import kotlinx.coroutines.channels.Channel
import kotlinx.coroutines.coroutineScope
import kotlinx.coroutines.delay
import kotlinx.coroutines.isActive
import kotlinx.coroutines.launch
import kotlinx.coroutines.withTimeoutOrNull
import org.agatestream.core.ClockReading
import org.agatestream.core.CoordinatorClaimInput
import org.agatestream.core.CoordinatorTerm
import org.agatestream.core.ListedVm
import org.agatestream.core.MonotonicTime
import org.agatestream.core.PauseDetector
import org.agatestream.core.RowChange
import org.agatestream.core.RowStore
import org.agatestream.core.StoreRead
import org.agatestream.core.StoredRow
import org.agatestream.core.TermFence
import org.agatestream.core.VmId
import org.agatestream.core.WriteResult
import org.agatestream.core.shouldClaim
import kotlin.random.Random
import kotlin.time.Duration
import kotlin.time.Duration.Companion.milliseconds
import kotlin.time.Duration.Companion.seconds

/** Tracks the coordinator and the VMs that serve callers, and claims the coordinator role when it is vacant. */
internal class FleetMembership(
    private val config: PlatformVmConfig,
    private val store: RowStore,
    private val roster: VmRoster,
    private val network: PeerTransport,
    private val view: PlatformView,
    private val status: () -> StatusReport,
    private val parts: PromptPartWatch,
    private val random: Random,
    private val scope: CoroutineScope,
    private val onCoordinatorChanged: (VmId?) -> Unit,
    /** Called when the listed VMs have been read for the first time. */
    private val onRosterKnown: () -> Unit,
    /** Handles this VM's own status report while it is the coordinator. */
    private val onLocalStatus: (StatusReport) -> StatusResponse?,
    private val leaving: LeavingServerWatch = LeavingServerWatch(view),
    /** Called when a coordinator answers that was not known or was silent before. */
    private val onCoordinatorHeard: () -> Unit = {},
    /** Called when the coordinator has answered a report. */
    private val onReported: (StatusReport) -> Unit = {},
) {
    private var record: CoordinatorRecord? = null
    private var recordVersion = 0L
    private var recordedAt = MonotonicTime.now()
    private var unreachableSince: MonotonicTime? = null
    private var lastHeardAt: MonotonicTime? = null
    private val createdAt = MonotonicTime.now()
    private var isResigning = false
    private var liveVms: List<LiveVm> = emptyList()

    /** The version of the last list of live VMs from the current coordinator; 0 before the first one. */
    var liveVersion = 0L
        private set
    private var isLeaving = false
    private var isClaiming = false
    private val fence = TermFence()
    private val pauses = PauseDetector(FOLLOWER_TIMEOUT)
    private var pauseCount = 0

    // False from a pause until the coordinator has answered a report sent after it.
    private var isFollowing = true
    private val reportTrigger = Channel<Unit>(Channel.CONFLATED)

    val self: VmId get() = network.self

    /** The coordinator that the store names, whether or not it responds; null if none is named. */
    val recordedCoordinator: VmId? get() = record?.vm

    /** The version of the row that names the coordinator, as this VM knows it. */
    val coordinatorTerm: CoordinatorTerm get() = CoordinatorTerm(recordVersion)

    /** Returns whether an order to stop work may be carried out. */
    fun judgeStop(term: CoordinatorTerm?): OrderVerdict {
        // Builds that do not send a term can't be told from each other.
        val isSuperseded = term != null && !fence.admits(term)
        return if (isSuperseded) OrderVerdict.SUPERSEDED else OrderVerdict.ADMITTED
    }

    /** Returns whether an order to start work that arrives at [now] may be carried out. */
    fun judgeStart(
        term: CoordinatorTerm?,
        now: ClockReading,
    ): OrderVerdict {
        noticePause(now)
        val verdict = judgeStop(term)
        // The coordinator may have given this VM up and placed the work elsewhere.
        val isOutdated = !isFollowing && recordedCoordinator != self
        return if (verdict == OrderVerdict.ADMITTED && isOutdated) OrderVerdict.OUTDATED else verdict
    }

    private fun noticePause(now: ClockReading) {
        val pause = pauses.onRunning(now) ?: return
        EventLog.warn("vm_paused", "vm" to self, "for" to pause)
        pauseCount++
        isFollowing = false
        reportTrigger.trySend(Unit)
    }

    /** True once the listed VMs were read from the store. */
    var isRosterKnown = false
        private set

    /** The number of VMs that may serve callers: those that the store lists, or the seeds before it is read. */
    val listedCount: Int get() = if (isRosterKnown) roster.size else maxOf(roster.size, config.seedPeers.size)

    /** Returns the coordinator, or null if there is none or it does not respond. */
    fun reachableCoordinator(): VmId? =
        record?.vm?.takeIf { it == self || (lastHeardAt != null && unreachableSince == null) }

    /** Returns for how long this VM has had no coordinator that responds; zero if it has one. */
    fun coordinatorMissingFor(now: MonotonicTime): Duration {
        if (reachableCoordinator() != null) return Duration.ZERO
        return now - (unreachableSince ?: if (record == null) createdAt else recordedAt)
    }

    /** The VMs that serve callers: as the coordinator lists them or, while it does not respond, the store. */
    val servingVms: List<LiveVm>
        get() {
            val listed = roster.responsive
            val isCoordinatorHeard = reachableCoordinator() != null && liveVms.isNotEmpty()
            return if (isCoordinatorHeard || listed.isEmpty()) liveVms else listed
        }

    /** Returns the VMs that may relay store calls: the coordinator first, then the others in random order. */
    fun storeRelayCandidates(): List<VmId> {
        val others = servingVms.map { it.id }.filter { it != self && it != recordedCoordinator }.shuffled(random)
        return listOfNotNull(reachableCoordinator()?.takeIf { it != self && !isResigning }) + others
    }

    /** Records a request that [vm] did not answer; a silent coordinator is not used until it answers a report. */
    fun onRequestUnanswered(
        vm: VmId,
        now: MonotonicTime,
    ) {
        if (vm == record?.vm) markCoordinatorSilent(vm, "request_unanswered", now)
    }

    private fun markCoordinatorSilent(
        coordinator: VmId,
        reason: String,
        now: MonotonicTime,
    ) {
        if (unreachableSince != null) return
        unreachableSince = now
        EventLog.warn("coordinator_silent", "coordinator" to coordinator, "reason" to reason)
    }

    fun start() {
        val feed =
            TableFeed.of(
                store,
                FleetTables.FLEET,
                { rows, _ -> replaceRows(rows) },
                { rows, _ -> applyChanges(rows) },
                collectFor = { COLLECT_TIME_PER_VM * roster.size },
            )
        scope.launch { feed.run() }
        scope.launch { syncFromPeers() }
        scope.launch {
            while (isActive) {
                val isReachable = view.isStoreReachable(MonotonicTime.now())
                if (isReachable && !isLeaving) roster.ensureListed()
                delay(if (isReachable) MIN_REPORT_INTERVAL else CONTACT_CHECK_INTERVAL)
            }
        }
        scope.launch {
            while (isActive) {
                report(MonotonicTime.now())
                withTimeoutOrNull(reportInterval()) { reportTrigger.receive() }
            }
        }
    }

    /** Sends the next report to the coordinator without waiting for its time. */
    fun reportNow() {
        reportTrigger.trySend(Unit)
    }

    /** Reports to the coordinator that this VM is leaving, and removes its entry from the store. */
    suspend fun leave() {
        isLeaving = true
        reportTrigger.trySend(Unit)
        roster.unlist(config.name)
    }

    fun answer(request: PeerRequest): PeerResponse? =
        when (request) {
            is CoordinatorProbe -> {
                CoordinatorProbeResult(request.coordinator == reachableCoordinator() && !isResigning)
            }

            is SnapshotRequest -> {
                SnapshotResponse(
                    snapshot = view.snapshotSince(request.operatorVersion, request.serverVersion),
                    live = servingVms,
                    coordinator = coordinatorNewerThan(request),
                    leaving = leaving.answer(request.leaving, MonotonicTime.now()),
                )
            }

            else -> {
                null
            }
        }

    private fun coordinatorNewerThan(request: SnapshotRequest): NamedCoordinator? =
        record?.takeIf { recordVersion > request.coordinatorVersion }?.let { NamedCoordinator(it, recordVersion) }

    private fun reportInterval(): Duration =
        if (unreachableSince != null) {
            SILENT_REPORT_INTERVAL
        } else {
            maxOf(MIN_REPORT_INTERVAL, REPORT_INTERVAL_PER_VM * roster.size)
        }

    private suspend fun report(now: MonotonicTime) {
        val coordinator = record?.vm
        when (coordinator) {
            null -> {}

            self -> {
                onLocalStatus(status())?.let { answer -> answer.live?.let { updateLiveVms(it, answer.liveVersion) } }
            }

            else -> {
                reportTo(coordinator, now)
            }
        }
        if (!isLeaving) claimIfNeeded(MonotonicTime.now())
    }

    private suspend fun reportTo(
        coordinator: VmId,
        now: MonotonicTime,
    ) {
        val report = status()
        val pausesBefore = pauseCount
        val answer = network.call(coordinator, report, REPORT_TIMEOUT)
        if (record?.vm != coordinator) return
        if (answer is StatusResponse) {
            val wasMissing = unreachableSince != null || lastHeardAt == null
            unreachableSince = null
            lastHeardAt = MonotonicTime.now()
            if (wasMissing) {
                EventLog.info("coordinator_heard", "coordinator" to coordinator)
                onCoordinatorHeard()
            }
            if (pauseCount == pausesBefore) isFollowing = true
            isResigning = answer.isResigning
            onReported(report)
            answer.live?.let { updateLiveVms(it, answer.liveVersion) }
            parts.onAnswered(report.parts, answer.parts, MonotonicTime.now())
            leaving.onAnswered(answer.leaving, MonotonicTime.now())
            answer.snapshot?.let { view.applySnapshot(it, MonotonicTime.now()) }
            view.applyRollouts(answer.rollouts)
        } else {
            markCoordinatorSilent(coordinator, if (answer == null) "report_unanswered" else "not_coordinator", now)
        }
    }

    private fun updateLiveVms(
        vms: List<LiveVm>,
        version: Long,
    ) {
        liveVms = vms
        liveVersion = version
        updatePeerAddresses()
    }

    private suspend fun claimIfNeeded(now: MonotonicTime) {
        if (recordedCoordinator == self || !view.isStoreReachable(now)) return
        val version = recordVersion
        val isReplaced = isReplaced()
        val isVacant = recordedCoordinator == null || isResigning || isReplaced
        if (!isVacant && unreachableSince == null) return
        // Peers are polled only about a coordinator that does not respond; a vacant role needs no confirmation.
        val (peersResponding, peersReachingIt) = if (isVacant) 0 to 0 else pollPeers()
        // The peers were polled about another coordinator.
        if (recordVersion != version) return
        val input =
            CoordinatorClaimInput(
                namedCoordinator = recordedCoordinator,
                unreachableSince = unreachableSince,
                isResigning = isResigning,
                isReplaced = isReplaced,
                peersResponding = peersResponding,
                peersReachingIt = peersReachingIt,
                peersKnown = roster.all.count { it.id != self && it.id != recordedCoordinator },
                namedAt = recordedAt,
                isSmallVm = config.cores < MIN_COORDINATOR_CORES,
            )
        if (!input.shouldClaim(MonotonicTime.now()) || isClaiming) return
        isClaiming = true
        // Claims in a separate coroutine: a slow store must not delay reports to a coordinator named in the meantime.
        scope.launch {
            try {
                claim(input, version)
            } finally {
                isClaiming = false
            }
        }
    }

    /** Asks some VMs whether they reach the coordinator; returns how many answered and how many reach it. */
    private suspend fun pollPeers(): Pair<Int, Int> {
        val coordinator = recordedCoordinator ?: return 0 to 0
        val others =
            roster.all
                .filter { it.id != self && it.id != coordinator }
                .shuffled(random)
                .take(PEERS_POLLED)
        val answers =
            coroutineScope {
                others.map { async { network.call(it.id, CoordinatorProbe(coordinator), REPORT_TIMEOUT) } }.awaitAll()
            }.filterIsInstance<CoordinatorProbeResult>()
        return answers.size to answers.count { it.isReachable }
    }

    /** Returns whether the coordinator's VM has since restarted under another process id. */
    private fun isReplaced(): Boolean {
        val named = record ?: return false
        if (named.name == config.name || network.isReplaced(named.vm)) return true
        return roster.all.any { it.name == named.name && it.id != named.vm }
    }

    /** Claims the role if the store still names the coordinator of [version], on which the decision was made. */
    private suspend fun claim(
        input: CoordinatorClaimInput,
        version: Long,
    ) {
        val own = CoordinatorRecord(self, config.name, config.peerAddress)
        val change = RowChange(FleetTables.coordinator, FleetTables.encode(CoordinatorRecord.serializer(), own))
        val result = store.write(mapOf(FleetTables.coordinator to version), listOf(change))
        EventLog.info(
            "coordinator_claimed",
            "instead_of" to input.namedCoordinator,
            "resigning" to input.isResigning,
            "reached" to input.peersResponding,
            "result" to result::class.simpleName,
        )
        when (result) {
            is WriteResult.Conflict -> {
                applyChanges(result.current)
            }

            is WriteResult.Written, is WriteResult.Unknown -> {
                // The feed may tell of the change only after others have found this VM not coordinating.
                readCoordinator()
            }

            is WriteResult.NotDone -> {}
        }
    }

    /** Reads the coordinator's row, without waiting for the feed; returns whether the store answered. */
    suspend fun readCoordinator(): Boolean {
        val key = FleetTables.coordinator.key
        val read = store.rows(FleetTables.FLEET, "", key, key + '\u0000')
        if (read is StoreRead.Found) applyChanges(read.value.rows)
        return read is StoreRead.Found
    }

    /** Fetches snapshots from seeds until there is a manifest, then from peers while the store is unreachable. */
    private suspend fun syncFromPeers() {
        delay(BOOTSTRAP_DELAY)
        while (true) {
            if (view.manifest == null) {
                config.seedPeers.filter { it != config.peerAddress }.forEach { bootstrapFrom(it) }
                delay(BOOTSTRAP_RETRY_INTERVAL)
            } else {
                noticePause(ClockReading.now())
                if (!view.isStoreReachable(MonotonicTime.now())) syncFromRandomPeer()
                delay(SYNC_INTERVAL)
            }
        }
    }

    private suspend fun bootstrapFrom(seed: String) {
        if (view.manifest != null) return
        val answer = network.callAddress(seed, snapshotRequest(), SNAPSHOT_TIMEOUT) as? SnapshotResponse ?: return
        applySnapshot(answer)
        EventLog.info("bootstrapped", "seed" to seed, "manifest" to (view.manifest != null))
    }

    /** Asks a random VM rather than the coordinator, which may have lost the store too and know nothing newer. */
    private suspend fun syncFromRandomPeer() {
        val others = (roster.all + liveVms).map { it.id }.distinct().filter { it != self }
        if (others.isEmpty()) return
        (network.call(others.random(random), snapshotRequest(), SNAPSHOT_TIMEOUT) as? SnapshotResponse)
            ?.let { applySnapshot(it) }
    }

    private fun snapshotRequest(): SnapshotRequest =
        SnapshotRequest(
            operatorVersion = view.operatorVersion,
            serverVersion = view.serverVersion,
            coordinatorVersion = recordVersion,
            leaving = leaving.reportToAny(MonotonicTime.now()),
        )

    private fun applySnapshot(answer: SnapshotResponse) {
        answer.snapshot?.let { view.applySnapshot(it, MonotonicTime.now()) }
        leaving.merge(answer.leaving, MonotonicTime.now())
        if (liveVms.isEmpty()) liveVms = answer.live
        answer.coordinator?.let { if (it.version > recordVersion) setCoordinator(it.record, it.version) }
        updatePeerAddresses()
    }

    private fun replaceRows(rows: List<StoredRow>) {
        roster.clear()
        applyChanges(rows)
        if (!isRosterKnown) {
            isRosterKnown = true
            onRosterKnown()
        }
    }

    private fun applyChanges(rows: List<StoredRow>) {
        for (row in rows) {
            val key = row.name.key
            when {
                row.name == FleetTables.coordinator -> applyCoordinatorRow(row)
                key.startsWith(FleetTables.VM_PREFIX) -> roster.applyRow(key.removePrefix(FleetTables.VM_PREFIX), row)
            }
        }
        updatePeerAddresses()
    }

    private fun applyCoordinatorRow(row: StoredRow) {
        if (row.version <= recordVersion) return
        setCoordinator(row.value?.let { FleetTables.decode(CoordinatorRecord.serializer(), it) }, row.version)
    }

    private fun setCoordinator(
        next: CoordinatorRecord?,
        version: Long,
    ) {
        recordVersion = version
        fence.raise(coordinatorTerm)
        if (next == record) return
        record = next
        recordedAt = MonotonicTime.now()
        unreachableSince = null
        lastHeardAt = null
        isResigning = false
        liveVersion = 0
        parts.onCoordinatorChanged()
        leaving.onCoordinatorChanged()
        EventLog.info("coordinator_named", "coordinator" to next?.vm, "version" to version)
        updatePeerAddresses()
        onCoordinatorChanged(next?.vm)
        reportTrigger.trySend(Unit)
    }

    private fun updatePeerAddresses() {
        val listed =
            (roster.all + liveVms)
                .filter { it.id != self }
                .distinctBy { it.id }
                .map { ListedVm(it.id, it.domain, it.caller, it.peer) }
        val coordinator = record?.takeIf { named -> named.vm != self && listed.none { it.id == named.vm } }
        val extra = coordinator?.let { ListedVm(it.vm, config.failureDomain, "", it.peer) }
        network.updateAddresses(listed + listOfNotNull(extra))
    }

    private companion object {
        // The coordinator of a fleet of 90 VMs handles about a thousand messages per second.
        const val MIN_COORDINATOR_CORES = 0.5

        val SILENT_REPORT_INTERVAL = 100.milliseconds
        val MIN_REPORT_INTERVAL = 250.milliseconds

        // Limits the reports that a coordinator receives to about 200 per second at any fleet size.
        val REPORT_INTERVAL_PER_VM = 5.milliseconds

        // About fifty times a hop between failure domains, to tolerate a slow VM.
        val REPORT_TIMEOUT = 200.milliseconds
        const val PEERS_POLLED = 3

        // When all VMs start at once, each of them writes its entry; all are to hear of them in a few reads.
        val COLLECT_TIME_PER_VM = 3.milliseconds
        val CONTACT_CHECK_INTERVAL = 50.milliseconds

        // A reachable store answers first reads of a start within this time, and then no peer need be asked.
        val BOOTSTRAP_DELAY = 200.milliseconds

        // The slowest links carry some 900 KB in this time.
        val SNAPSHOT_TIMEOUT = 500.milliseconds
        val BOOTSTRAP_RETRY_INTERVAL = 1.seconds

        // An eighth of the 2 s within which a manifest change must take effect.
        val SYNC_INTERVAL = 250.milliseconds
    }
}
