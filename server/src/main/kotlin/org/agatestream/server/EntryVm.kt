package org.agatestream.server

import io.micrometer.prometheusmetrics.PrometheusConfig
import io.micrometer.prometheusmetrics.PrometheusMeterRegistry
import kotlinx.coroutines.CoroutineScope
import kotlinx.coroutines.Dispatchers
import kotlinx.coroutines.SupervisorJob
import kotlinx.coroutines.cancel
import kotlinx.coroutines.delay
import kotlinx.coroutines.withTimeoutOrNull
import org.agatestream.core.ErrorKind
import org.agatestream.core.FleetView
import org.agatestream.core.Invariants
import org.agatestream.core.KeyHasher
import org.agatestream.core.MonotonicTime
import org.agatestream.core.Outcome
import org.agatestream.core.ParsedSettings
import org.agatestream.core.Revision
import org.agatestream.core.WorkspaceId
import org.agatestream.core.authenticate
import org.agatestream.core.map
import org.agatestream.core.parseFleet
import org.agatestream.core.toFailed
import org.agatestream.core.toOk
import org.agatestream.http.EventLoops
import org.agatestream.http.HttpCall
import org.agatestream.http.HttpClient
import org.agatestream.http.HttpLimits
import org.agatestream.http.HttpServer
import org.agatestream.http.parseAddress
import kotlin.time.Duration.Companion.milliseconds
import kotlin.time.Duration.Companion.seconds

/** An entry VM: connects the components of the server and runs them until shutdown. */
public class EntryVm(
    private val config: VmConfig,
    private val secrets: FleetSecrets,
) {
    private val registry = PrometheusMeterRegistry(PrometheusConfig.DEFAULT)
    private val scope = CoroutineScope(SupervisorJob() + Dispatchers.Default)
    private val loops = EventLoops()
    private val client = HttpClient(loops)
    private val platform = HttpPlatform(client, config.platformAddress, config.vm)
    private val network = KtorPeerNetwork(config.vm, secrets.fleetSecret, registry)
    private val coordination = CoordinationService(network, platform, platform, ::parseView, config.seedPeers)
    private val hasher = KeyHasher(secrets.fleetSecret)
    private val levels = ServiceLevels(registry)
    private val burnRates = BurnRateCollector(network, coordination, levels)
    private val shutdown = GracefulShutdown(config.entryTtlSeconds.seconds, config.shutdownGraceSeconds.seconds)
    private val leavingVms = LeavingVms(coordination)
    private val limits = OwnedLimits(config, coordination, network, scope, registry, client)
    private val atMostOnceCalls = AtMostOnceCalls(platform, network, coordination, scope)
    private val items = BackendItemRunner(coordination, limits.slots, client, atMostOnceCalls, scope)
    private val runner = ObservedItemRunner(items, levels)
    private val batch = BatchPorts(config.vm, platform, platform, runner, coordination, registry = registry)
    private val worker = BatchWorker(batch)
    private val router = router()
    private val server =
        HttpServer.start(
            loops,
            parseAddress(config.callerAddress),
            HttpLimits(),
            scope,
            ::handle,
        )

    /** The port on which callers are served. */
    public val callerPort: Int
        get() = server.port

    /** Joins the fleet and serves until [stop] is called. */
    public suspend fun start() {
        reportInvariants()
        val address = parseAddress(config.peerAddress)
        network.addHandler { _, request -> if (request is LeavingNotice) leavingVms.record(request) else null }
        network.addHandler {
            _,
            request,
            ->
            if (request is ClaimStatusRequest) atMostOnceCalls.answer(request) else null
        }
        network.addHandler { _, request -> burnRates.answer(request) }
        network.listen(address.hostString, address.port)
        coordination.start()
        limits.start(scope)
        worker.start(scope)
        shutdown.onDrain { server.announceClose() }
        shutdown.onDrain { leavingVms.announce(network) }
        shutdown.onDrain { worker.drain() }
        EventLog.info("serving", "vm" to config.vm, "domain" to config.failureDomain, "port" to callerPort)
    }

    /** Drains this VM and stops it once the running requests have finished or the grace period is over. */
    public suspend fun stop() {
        shutdown.run { server.runningCalls }
        server.stopAccepting()
        // Lets error responses that are still being written complete.
        withTimeoutOrNull(LAST_RESPONSES_TIMEOUT) {
            while (server.runningCalls > 0) delay(LAST_RESPONSES_POLL_INTERVAL)
        }
        atMostOnceCalls.flush(FLUSH_TIMEOUT)
        coordination.close()
        network.close()
        scope.cancel()
        loops.close()
    }

    private suspend fun handle(call: HttpCall) {
        levels.observe(call, ::workspaceOf, router::handle)
    }

    private fun workspaceOf(call: HttpCall): WorkspaceId? =
        when (val key = authenticate(call)) {
            is Outcome.Ok -> key.value.workspace
            is Outcome.Failed -> null
        }

    private fun router(): Router {
        val store = CoordinationSettingsStore(coordination)
        val operators = OperatorAuthentication(coordination, hasher, secrets.bootstrapOperatorKey)
        val online =
            OnlineRoutes(
                coordination,
                limits.workspaces,
                limits.slots,
                client,
                hasher,
                atMostOnceCalls,
                leavingVms,
                config.entryTtlSeconds,
                scope,
            )
        return Router(
            listOf(
                HealthRoutes(registry, ::isReady),
                online,
                BatchRoutes(batch, ::authenticate, limits.workspaces),
                AdminRoutes(store, hasher, operators::authenticate, burnRates::collect),
            ),
            shutdown,
        )
    }

    private fun authenticate(call: HttpCall) =
        coordination.fleet.authenticate(call.header("authorization"), hasher).map { it.key }

    private fun isReady(): Boolean {
        val now = MonotonicTime.now()
        return !shutdown.isRefusingRequests() && coordination.isCurrent(now) && limits.isOpen(now)
    }

    private fun reportInvariants() {
        Invariants.strict = false
        Invariants.onViolation = { name, message ->
            registry.counter("agatestream.invariant.violations", "name", name).increment()
            EventLog.warn("invariant_violated", "name" to name, "detail" to message)
        }
    }

    private fun parseView(
        settings: Map<String, String>,
        revision: Revision,
    ): Outcome<FleetView> =
        when (val parsed = parseFleet(settings, revision)) {
            is ParsedSettings.Valid -> parsed.value.toOk()
            is ParsedSettings.Invalid -> ErrorKind.INVALID_SETTING.toFailed(parsed.faults.joinToString("; "))
        }

    private companion object {
        val FLUSH_TIMEOUT = 5.seconds
        val LAST_RESPONSES_TIMEOUT = 1.seconds
        val LAST_RESPONSES_POLL_INTERVAL = 10.milliseconds
    }
}
