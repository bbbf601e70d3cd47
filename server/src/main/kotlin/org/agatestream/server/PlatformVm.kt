package org.agatestream.server

import kotlinx.coroutines.CoroutineScope
import kotlinx.coroutines.Job
import kotlinx.coroutines.SupervisorJob
import kotlinx.coroutines.cancel
import kotlinx.coroutines.coroutineScope
import kotlinx.coroutines.launch
import kotlinx.coroutines.withContext
import org.agatestream.core.MonotonicTime
import org.agatestream.core.VmId
import org.agatestream.http.EventLoops
import org.agatestream.http.HttpCall
import org.agatestream.http.HttpClient
import org.agatestream.http.HttpLimits
import org.agatestream.http.HttpServer
import org.agatestream.http.parseAddress
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
    private val roster = VmRoster(config, self, store)
    private val coordinators: Coordinators =
        Coordinators(config, store, roster, network, view, ::status, Random.Default, scope, ::onCoordinator) { ask ->
            role?.onStatus(self, ask, MonotonicTime.now())
        }
    private val placer: Placer =
        Placer(self, network, view, scope, coordinators, { role })
    private val items = ItemRuns(placer, view, jobStore, client, scope, ::reportItem)
    private val entryTtl = minOf(ENTRY_TTL, config.entryTtlMaxSeconds.seconds)
    private val shutdown = gracefulShutdown()
    private val routes =
        CallerRoutes(
            config = config,
            view = view,
            coordinators = coordinators,
            forwarder = RouteForwarder(placer, client, metrics),
            jobs = JobCalls(self, jobStore),
            shutdown = shutdown,
            entryTtl = entryTtl,
        )
    private var role: CoordinatorRole? = null
    private var watch: Job? = null
    private var cleaner: Job? = null
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
            coordinators.start()
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
            shutdown.run { calls }
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
        metrics.gauge("agatestream.dispatch.orphaned") { role?.dispatcher?.orphanedRuns ?: 0 }
        metrics.gauge("agatestream.dispatch.doubted") { role?.dispatcher?.doubted?.size ?: 0 }
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

    /** Callers may hold this VM's address for some lifetimes of an answer, and are served for as long. */
    private fun gracefulShutdown(): GracefulShutdown {
        val grace = config.shutdownGraceSeconds.seconds
        val opensFor = minOf(entryTtl * ENTRY_LIFETIMES, grace * TAKING_SHARE)
        val shutdown = GracefulShutdown(opensFor, grace - EXIT_MARGIN - opensFor)
        shutdown.onDrain { servers.forEach { it.announceClose() } }
        shutdown.onDrain { scope.launch { coordinators.leave() } }
        return shutdown
    }

    private suspend fun answer(call: HttpCall) {
        calls++
        try {
            coroutineScope {
                val work = launch { routes.serve(call) }
                val watcher = call.callerGone.invokeOnCompletion { work.cancel() }
                work.join()
                watcher.dispose()
            }
        } finally {
            calls--
        }
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
            is HearsAsk, is NewsAsk -> coordinators.answer(ask)
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
            isLeaving = shutdown.hasBegun,
            hasStore = view.hasStore(MonotonicTime.now()),
            running = placer.runningCalls(MonotonicTime.now()),
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
                markSilent = roster::markSilent,
                unlist = roster::unlist,
                listedVms = { coordinators.listed },
                isLeaving = { shutdown.hasBegun },
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
        val ENTRY_TTL = 2.seconds

        // The platform's page: some callers keep an answer three times as long.
        const val ENTRY_LIFETIMES = 3
        const val TAKING_SHARE = 0.8

        // A process that is still there at the end of the grace time is killed; ending takes some 0.1 s.
        val EXIT_MARGIN = 1.seconds
        const val TEXT = "text/plain"

        // Half of the latency target of 300 ms; a new connection takes two hops of some milliseconds.
        val CONNECT_TIMEOUT = 150.milliseconds

        // A read takes 4 ms, and up to a hundred times as long while the store is slow.
        val STORE_READ_TIMEOUT = 800.milliseconds

        // An object's write takes 25 ms, and up to a hundred times as long.
        val STORE_WRITE_TIMEOUT = 3.seconds
        val ITEM_REPORT_TIMEOUT = 500.milliseconds

        // Callers reuse connections that were idle for up to four fifths of the manifest's limit of 15 s.
        val CALLER_LIMITS = HttpLimits(maxRequestLineBytes = 16_384, keepAliveTimeout = 120.seconds)
    }
}
