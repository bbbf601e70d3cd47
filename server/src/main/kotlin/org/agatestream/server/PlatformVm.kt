package org.agatestream.server

import kotlinx.coroutines.CoroutineScope
import kotlinx.coroutines.Job
import kotlinx.coroutines.SupervisorJob
import kotlinx.coroutines.cancel
import kotlinx.coroutines.coroutineScope
import kotlinx.coroutines.delay
import kotlinx.coroutines.launch
import kotlinx.coroutines.withContext
import org.agatestream.core.ErrorKind
import org.agatestream.core.Failure
import org.agatestream.core.MonotonicTime
import org.agatestream.core.Outcome
import org.agatestream.core.RouteKind
import org.agatestream.core.VmId
import org.agatestream.core.WorkspaceId
import org.agatestream.core.admit
import org.agatestream.core.getOrElse
import org.agatestream.http.EventLoops
import org.agatestream.http.HttpCall
import org.agatestream.http.HttpClient
import org.agatestream.http.HttpLimits
import org.agatestream.http.HttpServer
import org.agatestream.http.parseAddress
import org.agatestream.http.readBody
import org.agatestream.platform.CallerAsk
import org.agatestream.platform.CallerProtocol
import org.agatestream.platform.PlatformStore
import java.io.IOException
import kotlin.random.Random
import kotlin.time.Duration
import kotlin.time.Duration.Companion.milliseconds
import kotlin.time.Duration.Companion.seconds

/** One VM on the users' platform: serves callers, follows the coordinator, and coordinates if the store names it. */
public class PlatformVm(
    private val config: PlatformVmConfig,
    secret: ByteArray,
) {
    private val metrics = VmMetrics()
    private val loops = EventLoops(threads = 1)
    private val scope = CoroutineScope(SupervisorJob() + loops.dispatcher)

    // A restarted process must not be taken for the one before, whose connections may still look open.
    private val self = VmId("${config.name}@${System.currentTimeMillis().toString(ID_RADIX)}")
    private val network = KtorPeerNetwork(self, secret, metrics.registry)
    private val client = HttpClient(loops, CONNECT_TIMEOUT)
    private val store =
        PlatformStore(client, config.storeAddress, STORE_READ_TIMEOUT, STORE_WRITE_TIMEOUT, ::onStoreCall)
    private val view: PlatformView = PlatformView(store, ::onView)
    private val relay =
        StoreRelay(store, network, { view.hasStore(MonotonicTime.now()) }, { coordinators.storeHelpers() })
    private val jobStore = JobStore(relay, config.rowBytes)
    private val coordinators: Coordinators =
        Coordinators(config, store, network, view, ::status, Random.Default, ::onCoordinator) { ask ->
            role?.onStatus(self, ask, MonotonicTime.now())
        }
    private val placer: Placer =
        Placer(self, network, view, scope, coordinators, { role })
    private val items = ItemRuns(placer, view, jobStore, client, scope, ::reportItem)
    private val forwarder = RouteForwarder(placer, client, metrics, ::respondFailure)
    private val jobs = JobCalls(self, jobStore, ::respondFailure)
    private var role: CoordinatorRole? = null
    private var watch: Job? = null
    private var cleaner: Job? = null
    private var leavingSince: MonotonicTime? = null
    private var calls = 0
    private val servers = ArrayList<HttpServer>()

    /** Listens, joins the fleet and serves until [stop] is called. */
    public suspend fun start() {
        network.addHandler { from, ask -> withContext(loops.dispatcher) { answerPeer(from, ask) } }
        val peer = parseAddress(config.peerAddress)
        network.listen(peer.hostString, peer.port)
        for (address in listOf(config.callerAddress, config.entryAddress, config.readyAddress).distinct()) {
            servers += HttpServer.start(loops, parseAddress(address), CALLER_LIMITS, scope, ::answer)
        }
        startMetrics()
        scope.launch {
            view.start(this@PlatformVm.scope)
            coordinators.start(this@PlatformVm.scope)
        }
        EventLog.info(
            "serving",
            "vm" to self,
            "domain" to config.failureDomain,
            "caller_address" to config.callerAddress,
        )
    }

    /** Leaves the fleet, serves the callers that still hold this VM's address, and stops. */
    public suspend fun stop() {
        withContext(loops.dispatcher) {
            val startedAt = MonotonicTime.now()
            leavingSince = startedAt
            EventLog.info("leaving", "vm" to self, "calls" to calls)
            servers.forEach { it.announceClose() }
            scope.launch { coordinators.leave() }
            val grace = config.shutdownGraceSeconds.seconds
            while (MonotonicTime.now() - startedAt < grace - EXIT_MARGIN) {
                val isOver = MonotonicTime.now() - startedAt >= refuseAfter() && calls == 0
                if (isOver) break
                delay(STOP_POLL)
            }
            EventLog.info("stopped", "vm" to self, "calls" to calls)
        }
        network.close()
        scope.cancel()
        loops.close()
    }

    private fun startMetrics() {
        metrics.gauge("agatestream.calls") { calls }
        metrics.gauge("agatestream.dispatch.running") { role?.dispatcher?.runningCalls ?: 0 }
        metrics.gauge("agatestream.dispatch.waiting") { role?.dispatcher?.waitingRequests ?: 0 }
        metrics.gauge("agatestream.dispatch.jobs") { role?.dispatcher?.openJobs ?: 0 }
        metrics.gauge("agatestream.manifest.version") { view.manifest?.version ?: 0 }
        val address = config.metricsAddress ?: return
        try {
            servers += HttpServer.start(loops, parseAddress(address), CALLER_LIMITS, scope, ::answerMetrics)
        } catch (e: IOException) {
            EventLog.warn("metrics_not_served", "address" to address, "reason" to e.message)
        }
    }

    private suspend fun answerMetrics(call: HttpCall) {
        call.respond(STATUS_OK, TEXT, metrics.registry.scrape().encodeToByteArray())
    }

    /** How long after SIGTERM new requests are still taken: callers may hold the address for three lifetimes. */
    private fun refuseAfter(): Duration =
        minOf(entryTtl() * ENTRY_LIFETIMES, config.shutdownGraceSeconds.seconds * TAKING_SHARE)

    private fun entryTtl(): Duration = minOf(ENTRY_TTL, config.entryTtlMaxSeconds.seconds)

    private suspend fun answer(call: HttpCall) {
        calls++
        try {
            coroutineScope {
                val work = launch { serve(call) }
                val watcher = call.callerGone.invokeOnCompletion { work.cancel() }
                work.join()
                watcher.dispose()
            }
        } finally {
            calls--
        }
    }

    private suspend fun serve(call: HttpCall) {
        when (val ask = CallerProtocol.parse(call)) {
            is CallerAsk.Readiness -> respondReadiness(call)
            is CallerAsk.EntryAddresses -> respondAddresses(call)
            is CallerAsk.ToRoute -> serveRoute(call)
            is CallerAsk.Results -> serveJob(call) { jobs.results(call, it, ask.job, ask.after) }
            is CallerAsk.ItemBody -> serveJob(call) { jobs.itemBody(call, it, ask.job, ask.item) }
            is CallerAsk.EndJob -> serveJob(call) { jobs.end(call, it, ask.job) }
        }
    }

    private suspend fun serveRoute(call: HttpCall) {
        val now = MonotonicTime.now()
        val since = leavingSince
        if (since != null && now - since > refuseAfter()) return respondFailure(call, SHUTTING_DOWN)
        val manifest = view.manifest ?: return respondFailure(call, NOT_READY)
        val admission =
            manifest
                .admit(CallerProtocol.host(call), call.path, CallerProtocol.key(call))
                .getOrElse { return refuse(call, it) }
        val body = call.readBody(manifest.maxBodyBytes).getOrElse { return refuse(call, it) }
        if (admission.route.kind == RouteKind.BATCH) {
            jobs.submit(call, admission, body, System.currentTimeMillis())
        } else {
            forwarder.forward(call, admission, body, manifest.version, now)
        }
    }

    private suspend fun serveJob(
        call: HttpCall,
        block: suspend (WorkspaceId?) -> Unit,
    ) {
        val manifest = view.manifest ?: return respondFailure(call, NOT_READY)
        val workspace = CallerProtocol.key(call)?.let { manifest.workspaceOfKey(it) }
        if (workspace == null && manifest.workspaces.isNotEmpty()) {
            return refuse(call, Failure(ErrorKind.UNKNOWN_KEY, "the key is missing or unknown"))
        }
        block(workspace?.id)
    }

    private suspend fun respondReadiness(call: HttpCall) {
        val isReady = view.manifest != null && leavingSince == null
        call.respond(if (isReady) STATUS_OK else ErrorKind.NOT_CURRENT.status, TEXT, ByteArray(0))
    }

    private suspend fun respondAddresses(call: HttpCall) {
        val own = if (leavingSince == null) listOf(config.callerAddress) else emptyList()
        val others = coordinators.callers.filter { it.id != self && it.name != config.name }.map { it.caller }
        val addresses = (own + others).distinct().shuffled()
        call.respond(STATUS_OK, JSON, CallerProtocol.entryAnswer(addresses, entryTtl()))
    }

    private suspend fun refuse(
        call: HttpCall,
        failure: Failure,
    ) {
        EventLog.info(
            "request",
            "id" to CallerProtocol.requestId(call),
            "outcome" to "refused",
            "detail" to failure.kind.code,
            "manifest" to view.manifest?.version,
        )
        respondFailure(call, failure)
    }

    private suspend fun respondFailure(
        call: HttpCall,
        failure: Failure,
    ) {
        if (call.answered) return
        val body = "${failure.kind.code}: ${failure.message}\n".encodeToByteArray()
        call.respond(failure.kind.status, TEXT, body, CallerProtocol.refusalHeaders(failure))
    }

    private suspend fun answerPeer(
        from: VmId,
        ask: PeerAsk,
    ): PeerAnswer? {
        val now = MonotonicTime.now()
        return when (ask) {
            is PlaceAsk -> role?.let { PlaceAnswer(it.place(from, ask, now)) } ?: NotCoordinator
            is ReleaseAsk -> taken { role?.release(from, ask, now) }
            is ItemAsk -> taken { role?.onItem(from, ask, now) }
            is StatusAsk -> role?.onStatus(from, ask, now) ?: NotCoordinator
            is DecisionAsk -> taken { placer.onDecision(ask) }
            is RunItemAsk -> taken { items.start(ask) }
            is StopItemAsk -> taken { items.stop(ask) }
            is HearsAsk, is BootstrapAsk -> coordinators.answer(ask)
            is StoreAsk -> relay.answer(ask)
            else -> null
        }
    }

    private inline fun taken(block: () -> Unit): PeerAnswer {
        block()
        return Taken
    }

    private fun status(): StatusAsk =
        StatusAsk(
            name = config.name,
            caller = config.callerAddress,
            peer = config.peerAddress,
            domain = config.failureDomain,
            isLeaving = leavingSince != null,
            hasStore = view.hasStore(MonotonicTime.now()),
            running = placer.runningCalls,
            unlisted = items.unlisted,
            operatorVersion = view.operatorVersion,
            serverVersion = view.serverVersion,
            liveVersion = coordinators.liveVersion,
        )

    private fun reportItem(ask: ItemAsk) {
        metrics.onItem(ask.outcome)
        val to = coordinators.named ?: return
        if (to == self) {
            role?.onItem(self, ask, MonotonicTime.now())
        } else {
            scope.launch { network.ask(to, ask, ITEM_REPORT_TIMEOUT) }
        }
    }

    private fun onStoreCall(
        answered: Boolean,
        took: Duration,
    ) {
        metrics.onStoreCall(answered, took)
        view.onContact(answered, MonotonicTime.now())
    }

    private fun onView(now: MonotonicTime) {
        placer.onView(now)
        role?.onView(now)
    }

    private fun onCoordinator(vm: VmId?) {
        placer.onCoordinator()
        if (vm == self && role == null) {
            beginRole()
        } else if (vm != self && role != null) {
            endRole()
        }
    }

    private fun beginRole() {
        EventLog.info("coordinator_began", "vm" to self)
        val next =
            CoordinatorRole(
                self = self,
                network = network,
                view = view,
                scope = scope,
                runItem = items::start,
                stopItem = items::stop,
                giveUpItem = items::giveUp,
                onDecision = placer::onDecision,
                markSilent = coordinators::markSilent,
                unlist = coordinators::unlist,
                listedVms = { coordinators.listed },
                isLeaving = { leavingSince != null },
            )
        role = next
        next.start(MonotonicTime.now())
        next.onStatus(self, status(), MonotonicTime.now())
        watch =
            JobWatch(
                store = store,
                rules = { job ->
                    view.manifest
                        ?.routes
                        ?.firstOrNull { it.name == job.route }
                        ?.jobs
                },
                onJob = next::onJob,
                onEnded = next::onJobEnded,
            ).start(scope)
        cleaner = JobCleaner(store, jobStore, config.resultsKeptSeconds.seconds).start(scope)
    }

    private fun endRole() {
        EventLog.info("coordinator_ended", "vm" to self)
        val last = role
        role = null
        watch?.cancel()
        cleaner?.cancel()
        scope.launch { last?.stop() }
    }

    private companion object {
        const val ID_RADIX = 36
        const val STATUS_OK = 200
        const val JSON = "application/json"
        const val TEXT = "text/plain"

        // Half of the latency target of 300 ms; a new connection takes two hops of some milliseconds.
        val CONNECT_TIMEOUT = 150.milliseconds

        // A read takes 4 ms, and up to a hundred times as long while the store is slow.
        val STORE_READ_TIMEOUT = 800.milliseconds

        // An object's write takes 25 ms, and up to a hundred times as long.
        val STORE_WRITE_TIMEOUT = 3.seconds
        val ITEM_REPORT_TIMEOUT = 500.milliseconds
        val ENTRY_TTL = 2.seconds

        // The platform's page: some callers keep an answer three times as long.
        const val ENTRY_LIFETIMES = 3
        const val TAKING_SHARE = 0.8
        val EXIT_MARGIN = 1.seconds
        val STOP_POLL = 20.milliseconds

        // Callers reuse connections that were idle for up to four fifths of the manifest's limit of 15 s.
        val CALLER_LIMITS = HttpLimits(maxRequestLineBytes = 16_384, keepAliveTimeout = 120.seconds)
        val NOT_READY = Failure(ErrorKind.NOT_CURRENT, "this VM knows no manifest yet", 500.milliseconds)
        val SHUTTING_DOWN = Failure(ErrorKind.SHUTTING_DOWN, "this VM is about to stop", 10.milliseconds)
    }
}
