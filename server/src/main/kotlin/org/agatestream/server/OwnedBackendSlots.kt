package org.agatestream.server

import kotlinx.coroutines.CancellationException
import kotlinx.coroutines.CompletableJob
import kotlinx.coroutines.Job
import kotlinx.coroutines.delay
import kotlinx.coroutines.isActive
import org.agatestream.core.BackendKind
import org.agatestream.core.BackendServerId
import org.agatestream.core.BackendServerSetting
import org.agatestream.core.ChoicePolicy
import org.agatestream.core.ErrorKind
import org.agatestream.core.FailureDomainId
import org.agatestream.core.MonotonicTime
import org.agatestream.core.Outcome
import org.agatestream.core.RequestClass
import org.agatestream.core.ServerResults
import org.agatestream.core.ServerView
import org.agatestream.core.preferredServersOf
import org.agatestream.core.selectServersFor
import org.agatestream.core.toFailed
import org.agatestream.core.toOk
import java.util.concurrent.ConcurrentHashMap
import java.util.concurrent.atomic.AtomicBoolean
import kotlin.random.Random
import kotlin.time.Duration
import kotlin.time.Duration.Companion.milliseconds

/** Chooses backend servers by expected delay and leases slots and caps from the VMs that own them. */
public class OwnedBackendSlots(
    private val context: LimitContext,
    private val failureDomain: FailureDomainId,
    private val random: Random,
    private val policy: ChoicePolicy = ChoicePolicy.LeastDelay(),
) : BackendSlots {
    private val clients = ConcurrentHashMap<QuotaKey, QuotaClient>()
    private val observedServers = ConcurrentHashMap<BackendServerId, ObservedServer>()

    override suspend fun acquire(request: SlotRequest): Outcome<SlotLease> {
        var exhausted = emptySet<BackendServerId>()
        var retryDelay = context.times.quotaRetry
        while (true) {
            val usable = usableServers(request)
            if (usable.isEmpty()) {
                return ErrorKind.NO_CAPACITY.toFailed("no backend server is in service for the request")
            }
            val chosen = choose(usable - exhausted, request)
            if (chosen != null) {
                tryLease(chosen, request.requestClass)?.let { return it.toOk() }
                exhausted = exhausted + chosen
                continue
            }
            if (context.now() + retryDelay >= request.deadline) break
            delay(retryDelay)
            retryDelay = (retryDelay * 2).coerceAtMost(MAX_RETRY_DELAY)
            exhausted = emptySet()
        }
        return ErrorKind.NO_CAPACITY.toFailed("no backend server had room before the deadline", MAX_RETRY_DELAY)
    }

    /** Cancels batch items beyond the number that the owner of a quota allows this VM to keep. */
    public fun reduceBatch(request: ReduceQuotaRequest) {
        clients[request.key]?.reduceBatch(request.keepBatch)
    }

    /** Records a load report and reports a new incarnation to the owner of the server's slots immediately. */
    public fun onLoad(
        server: BackendServerId,
        report: LoadReport,
    ) {
        val client = client(QuotaKey.Server(server))
        val observed = observedServers.computeIfAbsent(server) { ObservedServer() }
        if (observed.report(report, client.running, context.now())) {
            client.reportResults(ServerResults(incarnation = report.incarnation))
        }
    }

    /** Returns the engines whose load this VM polls: those it uses and those whose slots it owns. */
    public fun watchedServers(owned: Set<BackendServerId>): Map<BackendServerId, BackendServerSetting> {
        val engines = context.fleet().backendServers.filterValues { it.kind == BackendKind.ENGINE }
        val watched = engines.keys.selectServersFor(context.self, SERVERS_PER_VM) + owned
        return engines.filterKeys { it in watched }
    }

    /** Renews all held quotas periodically, until cancelled. */
    public suspend fun renewForever() {
        while (context.scope.isActive) {
            delay(context.times.renewal)
            val fleet = context.fleet()
            clients.forEach { (key, client) -> if (context.isCounted(key, fleet)) client.renew() }
        }
    }

    private fun usableServers(request: SlotRequest): Set<BackendServerId> {
        val fleet = context.fleet()
        val usable =
            request.candidates
                .filterTo(
                    HashSet(),
                ) { fleet.isInService(it) }
                .selectServersFor(context.self, SERVERS_PER_VM)
        return (usable - request.excluded).ifEmpty { usable }
    }

    private fun choose(
        usable: Set<BackendServerId>,
        request: SlotRequest,
    ): BackendServerId? {
        val preferred =
            request.prefixHash
                ?.let {
                    usable.preferredServersOf(
                        it,
                        PREFERRED_SERVERS_PER_PREFIX,
                    )
                }.orEmpty()
        val now = context.now()
        return policy.choose(usable.mapNotNull { view(it, it in preferred, now) }, random)
    }

    private fun view(
        id: BackendServerId,
        hasCachedPrefix: Boolean,
        now: MonotonicTime,
    ): ServerView? {
        val setting = context.fleet().backendServers[id] ?: return null
        val client = client(QuotaKey.Server(id))
        val observed = observedServers[id]
        val base =
            ServerView(
                id = id,
                inFlight = client.running,
                slots = client.status?.cap ?: setting.coldSlots,
                isSameFailureDomain = setting.failureDomain == failureDomain,
                hasCachedPrefix = hasCachedPrefix,
                latency = observed?.latency?.recent(now),
                timeSinceFailure = observed?.failedAt?.let { now - it },
            )
        return base.withLatestLoad(client.status, observed)
    }

    private fun ServerView.withLatestLoad(
        status: QuotaStatus?,
        observed: ObservedServer?,
    ): ServerView {
        val load = observed?.load
        return when {
            load != null && (status == null || load.at > status.at) -> {
                copy(
                    reported = load.running,
                    inFlightAtReport = load.own,
                )
            }

            status != null -> {
                copy(reported = status.inUse, inFlightAtReport = status.ownRequests)
            }

            else -> {
                this
            }
        }
    }

    private suspend fun tryLease(
        server: BackendServerId,
        requestClass: RequestClass,
    ): SlotLease? {
        val setting = context.fleet().backendServers[server] ?: return null
        val lease = Lease(server, setting, requestClass)
        for (keys in setting.capKeys() + listOf(listOf(QuotaKey.Server(server)))) {
            if (!lease.acquireAny(keys.shuffled(random))) {
                lease.release(SlotResult.NotSent)
                return null
            }
        }
        return lease
    }

    private fun client(key: QuotaKey): QuotaClient = clients.computeIfAbsent(key) { QuotaClient(key, context) }

    private inner class Lease(
        override val server: BackendServerId,
        override val setting: BackendServerSetting,
        private val requestClass: RequestClass,
    ) : SlotLease {
        override val revoked: CompletableJob = Job()
        private val heldKeys = ArrayList<QuotaKey>()
        private val released = AtomicBoolean()

        /** Acquires the first of [keys] that has capacity; returns false if none has. */
        suspend fun acquireAny(keys: List<QuotaKey>): Boolean =
            try {
                keys.any { start(it) }
            } catch (e: CancellationException) {
                release(SlotResult.NotSent)
                throw e
            }

        private suspend fun start(key: QuotaKey): Boolean {
            if (!context.isCounted(key, context.fleet())) {
                client(key).startUncounted(requestClass, revoked)
            } else if (!client(key).start(requestClass, revoked)) {
                return false
            }
            heldKeys += key
            return true
        }

        override fun release(result: SlotResult) {
            if (!released.compareAndSet(false, true)) return
            val observed = observedServers.computeIfAbsent(server) { ObservedServer() }.ended(result, context.now())
            heldKeys.forEach { end(it, observed) }
        }

        private fun end(
            key: QuotaKey,
            observed: ServerResults,
        ) {
            val client = client(key)
            when {
                key is QuotaKey.Server -> client.end(requestClass, revoked, observed)
                context.isCounted(key, context.fleet()) -> client.end(requestClass, revoked)
                else -> client.endUncounted(requestClass, revoked)
            }
        }
    }

    private companion object {
        /** The number of eligible backend servers that one VM uses for a request. */
        const val SERVERS_PER_VM = 24

        /** The number of servers preferred for prompts that share a prefix. */
        const val PREFERRED_SERVERS_PER_PREFIX = 2
        val MAX_RETRY_DELAY: Duration = 200.milliseconds
    }
}
