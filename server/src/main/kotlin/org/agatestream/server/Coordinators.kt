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
import org.agatestream.core.CoordinatorDoubt
import org.agatestream.core.ListedVm
import org.agatestream.core.MonotonicTime
import org.agatestream.core.RowChange
import org.agatestream.core.RowStore
import org.agatestream.core.StoredRow
import org.agatestream.core.VmId
import org.agatestream.core.WriteResult
import org.agatestream.core.shouldClaim
import kotlin.random.Random
import kotlin.time.Duration
import kotlin.time.Duration.Companion.milliseconds
import kotlin.time.Duration.Companion.seconds

/** Tells which VM coordinates the fleet, which VMs take callers, and takes the coordinator's place if need be. */
internal class Coordinators(
    private val config: PlatformVmConfig,
    private val store: RowStore,
    private val roster: VmRoster,
    private val network: PeerTransport,
    private val view: PlatformView,
    private val status: () -> StatusAsk,
    private val random: Random,
    private val scope: CoroutineScope,
    private val onCoordinator: (VmId?) -> Unit,
    /** Takes this VM's own report while it is the coordinator. */
    private val onOwnReport: (StatusAsk) -> StatusAnswer?,
) {
    private var record: CoordinatorRecord? = null
    private var recordVersion = 0L
    private var recordAt = MonotonicTime.now()
    private var silentSince: MonotonicTime? = null
    private var heardAt: MonotonicTime? = null
    private var isResigning = false
    private var live: List<LiveVm> = emptyList()

    /** The coordinator's version of the list of live VMs; 0 if none of its lists is known. */
    var liveVersion = 0L
        private set
    private var announcedLeaving = false
    private var isClaiming = false
    private val reportSoon = Channel<Unit>(Channel.CONFLATED)

    val self: VmId get() = network.self

    /** The VM that the store names, whether or not it is heard. */
    val named: VmId? get() = record?.vm

    /** The number of VMs that are listed as serving. */
    val listed: Int get() = roster.size

    /** Returns the coordinator if it may be asked now; null while it is not heard. */
    fun reachable(): VmId? = record?.vm?.takeIf { it == self || (heardAt != null && silentSince == null) }

    /** The VMs that take callers: as the coordinator hears them, or as the store lists them while it is not heard. */
    val callers: List<LiveVm>
        get() {
            val listed = roster.heard
            val isHeard = reachable() != null && live.isNotEmpty()
            return if (isHeard || listed.isEmpty()) live else listed
        }

    /** Other VMs that may reach the store in place of this one, the coordinator first. */
    fun storeHelpers(): List<VmId> {
        val others = callers.map { it.id }.filter { it != self && it != named }.shuffled(random)
        return listOfNotNull(reachable()?.takeIf { it != self && !isResigning }) + others
    }

    /** Notes that [vm] did not answer; it is asked again once it answers a report. */
    fun onUnanswered(
        vm: VmId,
        now: MonotonicTime,
    ) {
        if (vm == record?.vm) noteSilence(vm, "request_unanswered", now)
    }

    private fun noteSilence(
        coordinator: VmId,
        reason: String,
        now: MonotonicTime,
    ) {
        if (silentSince != null) return
        silentSince = now
        EventLog.warn("coordinator_silent", "coordinator" to coordinator, "reason" to reason)
    }

    fun start() {
        val feed =
            TableFeed.of(
                store,
                FleetTables.FLEET,
                { rows, _ -> takeRows(rows) },
                { rows, _ -> changeRows(rows) },
            )
        scope.launch { feed.run() }
        scope.launch { followPeers() }
        scope.launch {
            while (isActive) {
                if (!announcedLeaving) roster.keepListed()
                delay(MIN_REPORT_INTERVAL)
            }
        }
        scope.launch {
            while (isActive) {
                report(MonotonicTime.now())
                withTimeoutOrNull(reportInterval()) { reportSoon.receive() }
            }
        }
    }

    /** Tells the coordinator and the store that this VM leaves. */
    suspend fun leave() {
        announcedLeaving = true
        reportSoon.trySend(Unit)
        roster.unlist(config.name)
    }

    fun answer(ask: PeerAsk): PeerAnswer? =
        when (ask) {
            is HearsAsk -> HearsAnswer(ask.coordinator == reachable() && !isResigning)
            is NewsAsk -> NewsAnswer(view.newsSince(ask.operatorVersion, ask.serverVersion), callers, newerThan(ask))
            else -> null
        }

    private fun newerThan(ask: NewsAsk): NamedCoordinator? =
        record?.takeIf { recordVersion > ask.coordinatorVersion }?.let { NamedCoordinator(it, recordVersion) }

    private fun reportInterval(): Duration =
        if (silentSince != null) {
            SILENT_REPORT_INTERVAL
        } else {
            maxOf(MIN_REPORT_INTERVAL, REPORT_INTERVAL_PER_VM * roster.size)
        }

    private suspend fun report(now: MonotonicTime) {
        val coordinator = record?.vm
        when (coordinator) {
            null -> {}

            self -> {
                onOwnReport(status())?.let { answer -> answer.live?.let { takeLive(it, answer.liveVersion) } }
            }

            else -> {
                reportTo(coordinator, now)
            }
        }
        if (!announcedLeaving) considerClaim(MonotonicTime.now())
    }

    private suspend fun reportTo(
        coordinator: VmId,
        now: MonotonicTime,
    ) {
        val answer = network.ask(coordinator, status(), REPORT_TIMEOUT)
        if (record?.vm != coordinator) return
        if (answer is StatusAnswer) {
            if (silentSince != null || heardAt == null) EventLog.info("coordinator_heard", "coordinator" to coordinator)
            silentSince = null
            heardAt = MonotonicTime.now()
            isResigning = answer.isResigning
            answer.live?.let { takeLive(it, answer.liveVersion) }
            answer.news?.let { view.onNews(it, MonotonicTime.now()) }
        } else {
            noteSilence(coordinator, if (answer == null) "report_unanswered" else "not_coordinator", now)
        }
    }

    private fun takeLive(
        vms: List<LiveVm>,
        version: Long,
    ) {
        live = vms
        liveVersion = version
        updateAddresses()
    }

    private suspend fun considerClaim(now: MonotonicTime) {
        if (named == self || !view.hasStore(now)) return
        val isReplaced = isReplaced()
        val isOver = named == null || isResigning || isReplaced
        if (!isOver && silentSince == null) return
        // What others hear decides only on a coordinator that is silent.
        val (reached, hearing) = if (isOver) 0 to 0 else askOthers()
        val doubt =
            CoordinatorDoubt(
                named = named,
                silentSince = silentSince,
                isResigning = isResigning,
                isReplaced = isReplaced,
                peersReached = reached,
                peersHearing = hearing,
                peersKnown = roster.all.count { it.id != self && it.id != named },
                namedAt = recordAt,
                isSmall = config.cores < COORDINATOR_CORES,
            )
        if (!doubt.shouldClaim(MonotonicTime.now()) || isClaiming) return
        isClaiming = true
        // A slow store must not keep this VM from reporting to a coordinator that is named meanwhile.
        scope.launch { claim(doubt) }
    }

    /** Asks some other VMs whether they hear the named one; returns how many answered, and how many do. */
    private suspend fun askOthers(): Pair<Int, Int> {
        val coordinator = named ?: return 0 to 0
        val others =
            roster.all
                .filter { it.id != self && it.id != coordinator }
                .shuffled(random)
                .take(PEERS_ASKED)
        val answers =
            coroutineScope {
                others.map { async { network.ask(it.id, HearsAsk(coordinator), REPORT_TIMEOUT) } }.awaitAll()
            }.filterIsInstance<HearsAnswer>()
        return answers.size to answers.count { it.hears }
    }

    /** Returns whether the VM of the named process has listed another process since. */
    private fun isReplaced(): Boolean {
        val named = record ?: return false
        return named.name == config.name || roster.all.any { it.name == named.name && it.id != named.vm }
    }

    private suspend fun claim(doubt: CoordinatorDoubt) {
        val own = CoordinatorRecord(self, config.name, config.peerAddress)
        val change = RowChange(FleetTables.coordinator, FleetTables.encode(CoordinatorRecord.serializer(), own))
        val result = store.write(mapOf(FleetTables.coordinator to recordVersion), listOf(change))
        EventLog.info(
            "coordinator_claimed",
            "instead_of" to doubt.named,
            "resigning" to doubt.isResigning,
            "reached" to doubt.peersReached,
            "result" to result::class.simpleName,
        )
        isClaiming = false
        if (result is WriteResult.Conflict) changeRows(result.current)
    }

    /** Learns from other VMs, from the seeds first, what the store does not tell this one. */
    private suspend fun followPeers() {
        while (true) {
            if (view.manifest == null) {
                config.seedPeers.filter { it != config.peerAddress }.forEach { askSeed(it) }
                delay(BOOTSTRAP_PAUSE)
            } else {
                if (!view.hasStore(MonotonicTime.now())) askPeer()
                delay(NEWS_INTERVAL)
            }
        }
    }

    private suspend fun askSeed(seed: String) {
        if (view.manifest != null) return
        val answer = network.askAddress(seed, newsAsk(), BOOTSTRAP_TIMEOUT) as? NewsAnswer ?: return
        takeNews(answer)
        EventLog.info("bootstrapped", "seed" to seed, "manifest" to (view.manifest != null))
    }

    /** A coordinator that lost the store too knows nothing new, so any other VM is asked. */
    private suspend fun askPeer() {
        val others = (roster.all + live).map { it.id }.distinct().filter { it != self }
        if (others.isEmpty()) return
        (network.ask(others.random(random), newsAsk(), REPORT_TIMEOUT) as? NewsAnswer)?.let { takeNews(it) }
    }

    private fun newsAsk(): NewsAsk = NewsAsk(view.operatorVersion, view.serverVersion, recordVersion)

    private fun takeNews(answer: NewsAnswer) {
        answer.news?.let { view.onNews(it, MonotonicTime.now()) }
        if (live.isEmpty()) live = answer.live
        answer.coordinator?.let { if (it.version > recordVersion) setCoordinator(it.record, it.version) }
        updateAddresses()
    }

    private fun takeRows(rows: List<StoredRow>) {
        roster.clear()
        changeRows(rows)
    }

    private fun changeRows(rows: List<StoredRow>) {
        for (row in rows) {
            val key = row.name.key
            when {
                row.name == FleetTables.coordinator -> readCoordinator(row)
                key.startsWith(FleetTables.VM_PREFIX) -> roster.read(key.removePrefix(FleetTables.VM_PREFIX), row)
            }
        }
        updateAddresses()
    }

    private fun readCoordinator(row: StoredRow) {
        if (row.version <= recordVersion) return
        setCoordinator(row.value?.let { FleetTables.decode(CoordinatorRecord.serializer(), it) }, row.version)
    }

    private fun setCoordinator(
        next: CoordinatorRecord?,
        version: Long,
    ) {
        recordVersion = version
        if (next == record) return
        record = next
        recordAt = MonotonicTime.now()
        silentSince = null
        heardAt = null
        isResigning = false
        liveVersion = 0
        EventLog.info("coordinator_named", "coordinator" to next?.vm, "version" to version)
        updateAddresses()
        onCoordinator(next?.vm)
        reportSoon.trySend(Unit)
    }

    private fun updateAddresses() {
        val listed =
            (roster.all + live)
                .filter { it.id != self }
                .distinctBy { it.id }
                .map { ListedVm(it.id, it.domain, it.caller, it.peer) }
        val coordinator = record?.takeIf { named -> named.vm != self && listed.none { it.id == named.vm } }
        val extra = coordinator?.let { ListedVm(it.vm, config.failureDomain, "", it.peer) }
        network.updateAddresses(listed + listOfNotNull(extra))
    }

    private companion object {
        // A coordinator of 90 VMs handles some thousand messages a second.
        const val COORDINATOR_CORES = 0.5
        val SILENT_REPORT_INTERVAL = 100.milliseconds
        val MIN_REPORT_INTERVAL = 250.milliseconds

        // Keeps a coordinator's reports below some 200 a second at any size.
        val REPORT_INTERVAL_PER_VM = 5.milliseconds

        // Some fifty times a hop between failure domains, to bear a slow VM.
        val REPORT_TIMEOUT = 200.milliseconds
        const val PEERS_ASKED = 3
        val BOOTSTRAP_TIMEOUT = 500.milliseconds
        val BOOTSTRAP_PAUSE = 1.seconds

        // An eighth of the 2 s in which a change of the manifest is to be in force.
        val NEWS_INTERVAL = 250.milliseconds
    }
}
