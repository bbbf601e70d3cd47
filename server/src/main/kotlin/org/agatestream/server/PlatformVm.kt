package org.agatestream.server

import kotlinx.coroutines.CancellationException
import kotlinx.coroutines.CoroutineScope
import kotlinx.coroutines.Job
import kotlinx.coroutines.SupervisorJob
import kotlinx.coroutines.cancel
import kotlinx.coroutines.coroutineScope
import kotlinx.coroutines.delay
import kotlinx.coroutines.joinAll
import kotlinx.coroutines.launch
import kotlinx.coroutines.withContext
import kotlinx.coroutines.withTimeoutOrNull
import org.agatestream.core.ClockReading
import org.agatestream.core.CoordinatorTerm
import org.agatestream.core.MonotonicTime
import org.agatestream.core.SchedulingPolicy
import org.agatestream.core.ServiceId
import org.agatestream.core.ShutdownState
import org.agatestream.core.VmId
import org.agatestream.core.drain.DrainSource
import org.agatestream.http.BufferBudget
import org.agatestream.http.EventLoops
import org.agatestream.http.HttpCall
import org.agatestream.http.HttpClient
import org.agatestream.http.HttpLimits
import org.agatestream.http.HttpServer
import org.agatestream.http.parseAddress
import org.agatestream.platform.CallerProtocol
import org.agatestream.platform.PlatformContracts
import org.agatestream.platform.PlatformStore
import java.io.IOException
import java.security.SecureRandom
import kotlin.random.Random
import kotlin.time.Duration
import kotlin.time.Duration.Companion.milliseconds
import kotlin.time.Duration.Companion.seconds

/** One VM on the users' platform: serves callers, reports to the coordinator, and coordinates if the store names it. */
public class PlatformVm(
    private val config: PlatformVmConfig,
    secret: ByteArray,
) {
    private val metrics = VmMetrics()
    private val eventLoops = EventLoops(threads = 1)
    private val scope = CoroutineScope(SupervisorJob() + eventLoops.dispatcher)

    // Unique per process: peers may still hold open connections to the process that ran before a restart.
    private val self = VmId("${config.name}@${SecureRandom().nextLong().toULong().toString(ID_RADIX)}")
    private val network = KtorPeerNetwork(self, secret, metrics.registry)
    private val client = HttpClient(eventLoops, CONNECT_TIMEOUT)
    private val buffers = BufferBudget(ANSWER_BUFFER_BYTES)
    private val policy =
        SchedulingPolicy.forServers(
            PlatformContracts.areHostsShared(config.contracts),
            config.placement,
        )
    private val store =
        PlatformStore(
            client,
            config.storeAddress,
            STORE_READ_STALL_TIMEOUT,
            STORE_WRITE_STALL_TIMEOUT,
            STORE_CALL_TIMEOUT,
            ::onStoreCall,
        )
    private val view: PlatformView =
        PlatformView(store, PlatformContracts.areVersionsOrdered(config.contracts), ::onViewChanged)
    private val relay =
        StoreRelay(
            direct = store,
            network = network,
            isStoreReachable = { view.isStoreReachable(MonotonicTime.now()) },
            relays = { membership.storeRelayCandidates() },
            scope = scope,
        )
    private val jobStore = JobStore(relay, config.rowBytes, scope)
    private val parts = PromptPartWatch(view, client::isRefused)
    private val leaving = LeavingServerWatch(view) { membership.reportNow() }
    private val roster = VmRoster(config, self, store)
    private val membership: FleetMembership =
        FleetMembership(
            config = config,
            store = store,
            roster = roster,
            network = network,
            view = view,
            status = ::status,
            parts = parts,
            random = Random.Default,
            scope = scope,
            onCoordinatorChanged = ::onCoordinatorChanged,
            onRosterKnown = ::openGateIfRead,
            onLocalStatus = { role?.onStatusReport(self, it, MonotonicTime.now()) },
            leaving = leaving,
            onCoordinatorHeard = { slots.onCoordinatorHeard() },
            onReported = { slots.onLimitsReported(it.limits) },
        )
    private val slots: SlotAllocator =
        SlotAllocator(self, config.failureDomain, network, view, scope, membership, parts, { role }, leaving, policy)
    private val itemExecutor =
        ItemExecutor(slots, view, jobStore, client, parts, scope, ::sendItemReport, buffers, leaving)
    private val entryTtl = minOf(DEFAULT_ENTRY_TTL, config.entryTtlMaxSeconds.seconds)
    private val shutdown = gracefulShutdown()
    private val gate = StartupGate(MonotonicTime.now())
    private val routes =
        CallerRoutes(
            config = config,
            view = view,
            membership = membership,
            forwarder = RouteForwarder(slots, client, parts, metrics, buffers, shutdown, leaving),
            jobs = JobCalls(self, jobStore),
            shutdown = shutdown,
            gate = gate,
            entryTtl = entryTtl,
        )
    private val rolloutRows = RolloutRows(relay)
    private val rolloutStatuses =
        RolloutStatusReader(view.versions, rolloutRows, { membership.reachableCoordinator() != null }, scope)
    private val measuredRollouts = HashSet<ServiceId>()
    private var role: CoordinatorRole? = null
    private var rolloutControl: RolloutControl? = null
    private var jobWatch: JobWatch? = null
    private var cleaner: Job? = null
    private val calls = HashSet<Job>()
    private val itemReports = SupervisorJob(scope.coroutineContext[Job])
    private val httpServers = ArrayList<HttpServer>()

    /** Listens, joins the fleet and serves until [stop] is called. */
    public suspend fun start() {
        network.addHandler { from, request -> withContext(eventLoops.dispatcher) { answerPeer(from, request) } }
        val peer = parseAddress(config.peerAddress)
        network.listen(peer.hostString, peer.port)
        for (address in listOf(config.callerAddress, config.entryAddress, config.readyAddress).distinct()) {
            httpServers += HttpServer.start(eventLoops, parseAddress(address), CALLER_LIMITS, scope, ::answer)
        }
        startMetrics()
        scope.launch {
            view.start(this@PlatformVm.scope)
            parts.start(this@PlatformVm.scope)
            membership.start()
        }
        EventLog.info(
            "serving",
            "vm" to self,
            "domain" to config.failureDomain,
            "caller_address" to config.callerAddress,
        )
    }

    /** Leaves the fleet, serves callers that still use this VM's address, and stops. */
    public suspend fun stop() {
        withContext(eventLoops.dispatcher) {
            shutdown.run { calls.size + itemExecutor.unfinished }
            EventLog.info("stopped", "vm" to self, "calls" to calls.size, "items" to itemExecutor.unfinished)
            withTimeoutOrNull(LAST_MESSAGES_TIMEOUT) { endWork() }
        }
        network.close()
        scope.cancel()
        eventLoops.close()
    }

    /** Ends what outlasts the grace period; callers and the coordinator are told so. */
    private suspend fun endWork() {
        val left = calls.toList()
        left.forEach { it.cancel(VM_STOPPED) }
        itemExecutor.interruptAll()
        itemReports.children.toList().joinAll()
        while (calls.isNotEmpty()) delay(LAST_MESSAGES_POLL_INTERVAL)
    }

    private fun startMetrics() {
        metrics.gauge("agatestream.calls") { calls.size }
        metrics.gauge("agatestream.jobs.body.reads") { jobStore.bodyReads }
        metrics.gauge("agatestream.jobs.body.bytes") { jobStore.cachedBodyBytes }
        metrics.gauge("agatestream.dispatch.running") { role?.dispatcher?.runningCalls ?: 0 }
        metrics.gauge("agatestream.dispatch.waiting") { role?.dispatcher?.waitingRequests ?: 0 }
        metrics.gauge("agatestream.dispatch.orphaned") { role?.dispatcher?.orphanedRuns ?: 0 }
        metrics.gauge("agatestream.dispatch.doubted") { role?.dispatcher?.suspectedServers?.size ?: 0 }
        metrics.gauge("agatestream.dispatch.overshare") {
            role?.dispatcher?.workspacesOverShare(MonotonicTime.now())
                ?: 0
        }
        metrics.gauge("agatestream.dispatch.refused.overshare") { role?.dispatcher?.refusedOverShare ?: 0 }
        metrics.gauge("agatestream.dispatch.limited") {
            role?.dispatcher?.limitedServers(MonotonicTime.now())?.size ?: 0
        }
        metrics.gauge("agatestream.dispatch.jobs") { role?.dispatcher?.openJobs ?: 0 }
        metrics.gauge("agatestream.prompt.parts.condemned") { parts.suspects.condemned.size }
        metrics.gauge("agatestream.prompt.parts.suspected") { parts.suspects.suspectedCount }
        metrics.gauge("agatestream.manifest.version") { view.manifest?.version ?: 0 }
        for (source in DrainSource.entries) {
            metrics.gauge("agatestream.servers.draining", "source" to source.name.lowercase()) {
                view.registry.draining(MonotonicTime.now()).count { it.source == source }
            }
        }
        val address = config.metricsAddress ?: return
        try {
            httpServers += HttpServer.start(eventLoops, parseAddress(address), CALLER_LIMITS, scope, ::answerMetrics)
        } catch (e: IOException) {
            EventLog.warn("metrics_not_served", "address" to address, "reason" to e.message)
        }
    }

    private suspend fun answerMetrics(call: HttpCall) {
        call.respond(STATUS_OK, TEXT_PLAIN, metrics.registry.scrape().encodeToByteArray())
    }

    /** Returns a shutdown that accepts requests for as long as callers may use this VM's address. */
    private fun gracefulShutdown(): GracefulShutdown {
        val grace = config.shutdownGraceSeconds.seconds
        val acceptFor = minOf(entryTtl * ENTRY_TTL_MULTIPLE, grace * MAX_DRAIN_GRACE_SHARE)
        val shutdown = GracefulShutdown(acceptFor, grace - EXIT_MARGIN - acceptFor)
        shutdown.onDrain { httpServers.forEach { it.announceClose() } }
        shutdown.onDrain { scope.launch { membership.leave() } }
        return shutdown
    }

    private suspend fun answer(call: HttpCall) {
        coroutineScope {
            val work = launch { serve(call) }
            calls += work
            val watcher = call.callerDisconnected.invokeOnCompletion { work.cancel(CALLER_GONE) }
            try {
                work.join()
                if (shutdown.state == ShutdownState.Closed) call.respondNotServed(CUT_BY_SHUTDOWN)
            } finally {
                watcher.dispose()
                calls -= work
            }
        }
    }

    private suspend fun serve(call: HttpCall) {
        try {
            routes.serve(call)
        } catch (e: CancellationException) {
            throw e
        } catch (e: Exception) {
            EventLog.error("request_fault", e, "id" to CallerProtocol.requestId(call), "method" to call.method)
            throw e
        }
    }

    private suspend fun answerPeer(
        from: VmId,
        request: PeerRequest,
    ): PeerResponse? {
        val now = MonotonicTime.now()
        return when (request) {
            is PlaceSlotRequest -> role?.let { PlaceSlotResponse(it.place(from, request, now)) } ?: NotCoordinator
            is ReleaseSlotRequest -> acknowledge { role?.release(from, request, now) }
            is ItemReport -> acknowledge { role?.onItemReport(from, request, now) }
            is StatusReport -> role?.onStatusReport(from, request, now) ?: NotCoordinator
            is DecisionNotice -> acknowledge { slots.onDecision(request) }
            is RunItemRequest -> startItem(from, request)
            is StopItemRequest -> stopItem(from, request)
            is CoordinatorProbe, is SnapshotRequest -> membership.answer(request)
            is StoreRequest -> relay.answer(request)
            else -> null
        }
    }

    private inline fun acknowledge(block: () -> Unit): PeerResponse {
        block()
        return Acknowledged
    }

    private fun startItem(
        from: VmId,
        request: RunItemRequest,
    ): PeerResponse? {
        val server = view.registry.usable(request.server)?.entry
        // Without a response, the coordinator places the item elsewhere.
        if (server != null && view.versions.isRolledBack(server)) return null
        val verdict = membership.judgeStart(request.term, ClockReading.now())
        return carryOut(from, request.term, verdict) { itemExecutor.start(request) }
    }

    private fun stopItem(
        from: VmId,
        request: StopItemRequest,
    ): PeerResponse? = carryOut(from, request.term, membership.judgeStop(request.term)) { itemExecutor.stop(request) }

    /** Carries out an order of the coordinator [from], if it is admitted; an outdated one gets no response. */
    private inline fun carryOut(
        from: VmId,
        term: CoordinatorTerm?,
        verdict: OrderVerdict,
        order: () -> Unit,
    ): PeerResponse? {
        if (verdict != OrderVerdict.ADMITTED) {
            val newest = membership.coordinatorTerm
            EventLog.warn("order_refused", "from" to from, "verdict" to verdict, "term" to term, "newest" to newest)
        }
        return when (verdict) {
            OrderVerdict.ADMITTED -> acknowledge(order)
            OrderVerdict.SUPERSEDED -> Superseded
            OrderVerdict.OUTDATED -> null
        }
    }

    private fun status(): StatusReport =
        StatusReport(
            name = config.name,
            caller = config.callerAddress,
            peer = config.peerAddress,
            domain = config.failureDomain,
            isLeaving = shutdown.hasBegun,
            isStoreReachable = view.isStoreReachable(MonotonicTime.now()),
            running = slots.runningCalls(MonotonicTime.now()),
            unlisted = itemExecutor.unlisted,
            operatorVersion = view.operatorVersion,
            serverVersion = view.serverVersion,
            liveVersion = membership.liveVersion,
            parts = parts.report(MonotonicTime.now()),
            leaving = leaving.report(MonotonicTime.now()),
            loads = slots.takeReportedLoads(MonotonicTime.now()),
            limits = slots.unreportedLimits(MonotonicTime.now()),
        )

    private fun sendItemReport(report: ItemReport) {
        metrics.onItem(report.outcome)
        val to = membership.recordedCoordinator ?: return
        if (to == self) {
            role?.onItemReport(self, report, MonotonicTime.now())
        } else {
            scope.launch(itemReports) { network.call(to, report, ITEM_REPORT_TIMEOUT) }
        }
    }

    private fun onStoreCall(
        answered: Boolean,
        took: Duration,
    ) {
        metrics.onStoreCall(answered, took)
        view.onStoreContact(answered, MonotonicTime.now())
    }

    /** Lets requests pass once the manifest, the servers and the number of VMs that share the rates are known. */
    private fun openGateIfRead() {
        if (view.manifest != null && view.areServersKnown && membership.isRosterKnown) gate.open()
    }

    private fun onViewChanged(now: MonotonicTime) {
        openGateIfRead()
        slots.onViewChanged(now)
        role?.onViewChanged(now)
        rolloutControl?.onViewChanged(now)
        rolloutStatuses.onViewChanged()
        view.versions.allOrders.forEach { measureRollout(it.service) }
    }

    /** Registers the gauges of a service when its first roll-out is ordered. */
    private fun measureRollout(service: ServiceId) {
        if (!measuredRollouts.add(service)) return
        val current = { role?.rollouts?.all?.get(service) }
        metrics.serviceGauge("agatestream.rollout.share", service) { current()?.share ?: 0 }
        metrics.serviceGauge("agatestream.rollout.exposed", service) { current()?.exposed ?: 0 }
        metrics.serviceGauge("agatestream.rollout.requests", service) { current()?.requests ?: 0 }
        metrics.serviceGauge("agatestream.rollout.stage", service) { current()?.stage?.ordinal ?: -1 }
    }

    private fun onCoordinatorChanged(vm: VmId?) {
        slots.onCoordinatorChanged()
        if (vm == self && role == null) {
            startCoordinating()
            slots.onCoordinatorHeard()
        } else if (vm != self && role != null) {
            stopCoordinating()
        }
    }

    private fun startCoordinating() {
        EventLog.info("coordinator_began", "vm" to self)
        lateinit var jobs: JobWatch
        val started =
            CoordinatorRole(
                self = self,
                term = membership.coordinatorTerm,
                network = network,
                view = view,
                parts = parts,
                scope = scope,
                runItem = { startItem(self, it) },
                stopItem = { stopItem(self, it) },
                giveUpItem = itemExecutor::giveUp,
                onDecision = slots::onDecision,
                markSilent = roster::markSilent,
                unlist = roster::unlist,
                listedVms = { membership.listedCount },
                isLeaving = { shutdown.hasBegun },
                confirm = { jobs.confirm(it) },
                leaving = leaving,
                policy = policy,
                onDomainFlow = metrics::onDomainFlow,
            )
        role = started
        jobs = watchJobs(started)
        jobWatch = jobs
        rolloutControl =
            RolloutControl(
                rollouts = started.rollouts,
                book = view.versions,
                rows = rolloutRows,
                term = membership.coordinatorTerm,
                situation = started::situationOf,
                stopItems = started::stopItemsAt,
                scope = scope,
            )
        started.start(MonotonicTime.now())
        started.onStatusReport(self, status(), MonotonicTime.now())
        rolloutControl?.onViewChanged(MonotonicTime.now())
        jobs.start()
        cleaner = JobCleaner(store, jobStore, config.resultsKeptSeconds.seconds).start(scope)
    }

    private fun watchJobs(coordinator: CoordinatorRole): JobWatch =
        JobWatch(
            scope = scope,
            readCoordinator = membership::readCoordinator,
            newWatcher = { beforeRead, onLoaded ->
                JobWatcher(
                    store = store,
                    rules = { job ->
                        view.manifest
                            ?.routes
                            ?.firstOrNull { it.name == job.route }
                            ?.jobs
                    },
                    onJob = coordinator::onJob,
                    onJobEnded = coordinator::onJobEnded,
                    beforeRead = beforeRead,
                    onLoaded = onLoaded,
                )
            },
            onConfirmed = { coordinator.onConfirmed(it, MonotonicTime.now()) },
        )

    private fun stopCoordinating() {
        EventLog.info("coordinator_ended", "vm" to self)
        val ended = role
        role = null
        rolloutControl?.stop()
        rolloutControl = null
        jobWatch?.stop()
        cleaner?.cancel()
        scope.launch { ended?.stop() }
    }

    private companion object {
        const val ID_RADIX = 36
        const val STATUS_OK = 200
        val DEFAULT_ENTRY_TTL = 2.seconds

        // Some callers use an answer for three times its TTL, by the platform's documentation.
        const val ENTRY_TTL_MULTIPLE = 3
        const val MAX_DRAIN_GRACE_SHARE = 0.8

        // The platform kills a process that outlives its grace period; exiting takes about 0.1 s.
        val EXIT_MARGIN = 1.seconds

        // Half of the margin.
        val LAST_MESSAGES_TIMEOUT = 500.milliseconds
        val LAST_MESSAGES_POLL_INTERVAL = 5.milliseconds
        const val VM_STOPPED = "the VM stopped"
        const val TEXT_PLAIN = "text/plain"

        // An eighth of a VM's heap of 128 MB; a growing buffer exists twice for a moment.
        const val ANSWER_BUFFER_BYTES = 16L * 1024 * 1024

        // Half of the latency target of 300 ms; a new connection takes two hops of a few milliseconds.
        val CONNECT_TIMEOUT = 150.milliseconds

        // A read takes 4 ms, and up to a hundred times as long while the store is slow.
        val STORE_READ_STALL_TIMEOUT = 800.milliseconds

        // Writing an object takes 25 ms, and up to a hundred times as long while the store is slow.
        val STORE_WRITE_STALL_TIMEOUT = 3.seconds

        // The retention time of the items of a job, after which nobody waits for its bodies.
        val STORE_CALL_TIMEOUT = 60.seconds
        val ITEM_REPORT_TIMEOUT = 500.milliseconds

        // Callers reuse connections that were idle for up to 12 s, four fifths of the manifest's limit of 15 s.
        val CALLER_LIMITS = HttpLimits(maxRequestLineBytes = 16_384, keepAliveTimeout = 120.seconds)
    }
}
