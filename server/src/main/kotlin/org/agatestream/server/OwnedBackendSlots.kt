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
import org.agatestream.core.homesOf
import org.agatestream.core.subsetFor
import org.agatestream.core.toFailed
import org.agatestream.core.toOk
import java.util.concurrent.ConcurrentHashMap
import java.util.concurrent.atomic.AtomicBoolean
import kotlin.random.Random
import kotlin.time.Duration
import kotlin.time.Duration.Companion.milliseconds

/** Chooses backend servers by expected delay and takes slots and caps from the VMs that own them. */
public class OwnedBackendSlots(
    private val context: LimitContext,
    private val failureDomain: FailureDomainId,
    private val random: Random,
    private val policy: ChoicePolicy = ChoicePolicy.LeastDelay(),
) : BackendSlots {
    private val clients = ConcurrentHashMap<QuotaKey, QuotaClient>()
    private val servers = ConcurrentHashMap<BackendServerId, SeenServer>()

    override suspend fun acquire(request: SlotRequest): Outcome<SlotLease> {
        var full = emptySet<BackendServerId>()
        var pause = context.times.quotaRetry
        while (true) {
            val open = openServers(request)
            if (open.isEmpty()) return ErrorKind.NO_CAPACITY.toFailed("no backend server is in service for the request")
            val chosen = choose(open - full, request)
            if (chosen != null) {
                tryStart(chosen, request.requestClass)?.let { return it.toOk() }
                full = full + chosen
                continue
            }
            if (context.now() + pause >= request.deadline) break
            delay(pause)
            pause = (pause * 2).coerceAtMost(MOST_PAUSE)
            full = emptySet()
        }
        return ErrorKind.NO_CAPACITY.toFailed("no backend server had room before the deadline", MOST_PAUSE)
    }

    /** Has the batch items that an owner wants back cancelled. */
    public fun giveWay(ask: GiveWayAsk) {
        clients[ask.key]?.giveWay(ask.keepBatch)
    }

    /** Takes down a load report; a new incarnation is told to the owner of the server's slots at once. */
    public fun onLoad(
        server: BackendServerId,
        report: LoadReport,
    ) {
        val client = client(QuotaKey.Server(server))
        val seen = servers.computeIfAbsent(server) { SeenServer() }
        if (seen.report(report, client.running, context.now())) {
            client.note(ServerResults(incarnation = report.incarnation))
        }
    }

    /** Returns the engines whose load this VM reads: those it uses and those it owns. */
    public fun watchedServers(owned: Set<BackendServerId>): Map<BackendServerId, BackendServerSetting> {
        val engines = context.fleet().backendServers.filterValues { it.kind == BackendKind.ENGINE }
        val watched = engines.keys.subsetFor(context.self, SUBSET) + owned
        return engines.filterKeys { it in watched }
    }

    /** Renews all that is held, until cancelled. */
    public suspend fun renewForever() {
        while (context.scope.isActive) {
            delay(context.times.renewal)
            val fleet = context.fleet()
            clients.forEach { (key, client) -> if (context.isCounted(key, fleet)) client.renew() }
        }
    }

    private fun openServers(request: SlotRequest): Set<BackendServerId> {
        val fleet = context.fleet()
        val open = request.candidates.filterTo(HashSet()) { fleet.isInService(it) }.subsetFor(context.self, SUBSET)
        return (open - request.excluded).ifEmpty { open }
    }

    private fun choose(
        open: Set<BackendServerId>,
        request: SlotRequest,
    ): BackendServerId? {
        val homes = request.prefixHash?.let { open.homesOf(it, HOMES) }.orEmpty()
        val now = context.now()
        return policy.choose(open.mapNotNull { view(it, it in homes, now) }, random)
    }

    private fun view(
        id: BackendServerId,
        cached: Boolean,
        now: MonotonicTime,
    ): ServerView? {
        val setting = context.fleet().backendServers[id] ?: return null
        val client = client(QuotaKey.Server(id))
        val seen = servers[id]
        val base =
            ServerView(
                id = id,
                own = client.running,
                slots = client.news?.cap ?: setting.coldSlots,
                near = setting.failureDomain == failureDomain,
                cached = cached,
                latency = seen?.latency?.recent(now),
                sinceFailure = seen?.failedAt?.let { now - it },
            )
        return base.withNewest(client.news, seen)
    }

    private fun ServerView.withNewest(
        news: QuotaNews?,
        seen: SeenServer?,
    ): ServerView {
        val load = seen?.load
        return when {
            load != null && (news == null || load.at > news.at) -> copy(reported = load.running, ownThen = load.own)
            news != null -> copy(reported = news.inUse, ownThen = news.own)
            else -> this
        }
    }

    private suspend fun tryStart(
        server: BackendServerId,
        requestClass: RequestClass,
    ): SlotLease? {
        val setting = context.fleet().backendServers[server] ?: return null
        val lease = Lease(server, setting, requestClass)
        for (keys in setting.capKeys() + listOf(listOf(QuotaKey.Server(server)))) {
            if (!lease.startAny(keys.shuffled(random))) {
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
        private val held = ArrayList<QuotaKey>()
        private val released = AtomicBoolean()

        /** Starts the request on the first of [keys] that has room. */
        suspend fun startAny(keys: List<QuotaKey>): Boolean =
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
            held += key
            return true
        }

        override fun release(result: SlotResult) {
            if (!released.compareAndSet(false, true)) return
            val seen = servers.computeIfAbsent(server) { SeenServer() }.ended(result, context.now())
            held.forEach { end(it, seen) }
        }

        private fun end(
            key: QuotaKey,
            seen: ServerResults,
        ) {
            val client = client(key)
            when {
                key is QuotaKey.Server -> client.end(requestClass, revoked, seen)
                context.isCounted(key, context.fleet()) -> client.end(requestClass, revoked)
                else -> client.endUncounted(requestClass, revoked)
            }
        }
    }

    private companion object {
        /** Backend servers that one VM uses of those that can run a request. */
        const val SUBSET = 24

        /** Servers that prompts with one prefix go to first. */
        const val HOMES = 2
        val MOST_PAUSE: Duration = 200.milliseconds
    }
}
