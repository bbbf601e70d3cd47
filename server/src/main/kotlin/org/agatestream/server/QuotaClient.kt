package org.agatestream.server

import kotlinx.coroutines.CancellationException
import kotlinx.coroutines.CompletableDeferred
import kotlinx.coroutines.CompletableJob
import kotlinx.coroutines.launch
import org.agatestream.core.ClassCounts
import org.agatestream.core.MonotonicTime
import org.agatestream.core.QuotaUse
import org.agatestream.core.RequestClass
import org.agatestream.core.ServerResults
import org.agatestream.core.one

/** What the owner of a quota last said of it. */
internal class QuotaNews(
    val inUse: Int,
    val cap: Int,
    val scarce: Boolean,
    /** This VM's requests at that time. */
    val own: Int,
    val at: MonotonicTime,
)

/** This VM's side of one quota: starts requests on what it holds and asks the owner for more. */
internal class QuotaClient(
    private val key: QuotaKey,
    private val context: LimitContext,
) {
    private var use = QuotaUse()
    private var results = ServerResults.NONE
    private var incarnation: String? = null
    private val waiting = ArrayList<Waiter>()
    private val batchLeases = LinkedHashSet<CompletableJob>()
    private var inFlight = false
    private var flushWanted = false

    /** What the owner has in its account for this VM. */
    private var lastKept = ClassCounts.NONE
    private val asks = context.registry.counter("agatestream.limit.asks", "kind", "quota")

    @Volatile
    var news: QuotaNews? = null
        private set

    val running: Int
        get() = synchronized(this) { use.running.total }

    /** Starts a request, with one ask to the owner if nothing is held; returns false if there was no room. */
    suspend fun start(
        requestClass: RequestClass,
        revoked: CompletableJob,
    ): Boolean {
        val waiter = Waiter(requestClass, revoked)
        synchronized(this) {
            if (tryStart(waiter)) return true
            waiting += waiter
            if (!inFlight) launchAsks()
        }
        return try {
            waiter.started.await()
        } catch (e: CancellationException) {
            abandon(waiter)
            throw e
        }
    }

    /** Starts a request of a cap that isn't in force, so that it is known when the cap comes into force. */
    fun startUncounted(
        requestClass: RequestClass,
        revoked: CompletableJob,
    ) {
        synchronized(this) {
            use = use.startUncounted(requestClass)
            if (requestClass == RequestClass.BATCH) batchLeases += revoked
        }
    }

    /** Ends a request; the quota is kept for the next one unless it is scarce. */
    fun end(
        requestClass: RequestClass,
        revoked: CompletableJob,
        seen: ServerResults = ServerResults.NONE,
    ) {
        synchronized(this) {
            batchLeases -= revoked
            val suspect = seen.failed > 0 || seen.restarted
            val scarce = suspect || revoked.isCompleted || news?.scarce ?: true
            use = use.end(requestClass, keep = !scarce)
            if (suspect) use = use.dropIdle()
            results += seen
            if (scarce || isNewIncarnation(seen)) flush()
        }
    }

    private fun isNewIncarnation(seen: ServerResults): Boolean {
        if (seen.incarnation == null || seen.incarnation == incarnation) return false
        incarnation = seen.incarnation
        return true
    }

    /** Ends a request of a cap that isn't in force. */
    fun endUncounted(
        requestClass: RequestClass,
        revoked: CompletableJob,
    ) {
        synchronized(this) {
            batchLeases -= revoked
            use = use.end(requestClass, keep = false)
        }
    }

    /** Takes down what was seen of the server otherwise and tells the owner. */
    fun note(seen: ServerResults) {
        synchronized(this) {
            results += seen
            flush()
        }
    }

    /** Renews what is held and gives the rest back; asks nothing if nothing is held. */
    fun renew() {
        synchronized(this) {
            val holds = use.running + use.idle
            if (holds.total == 0 && lastKept.total == 0) return
            use = use.dropIdle()
            flush()
        }
    }

    /** Has batch items cancelled until [keep] are left, and gives idle quota back. */
    fun giveWay(keep: Int) {
        val revoked =
            synchronized(this) {
                use = use.dropIdle()
                flush()
                excessBatch(keep)
            }
        revoked.forEach { it.complete() }
    }

    private fun excessBatch(keep: Int): List<CompletableJob> {
        val live = batchLeases.filterNot { it.isCompleted }
        return live.takeLast((live.size - keep).coerceAtLeast(0))
    }

    private fun tryStart(waiter: Waiter): Boolean {
        use = use.start(waiter.requestClass, context.now()) ?: return false
        if (waiter.requestClass == RequestClass.BATCH) batchLeases += waiter.revoked
        return true
    }

    private fun abandon(waiter: Waiter) {
        synchronized(this) {
            if (waiting.remove(waiter)) return
        }
        waiter.started.invokeOnCompletion {
            if (waiter.started.getCompleted()) end(waiter.requestClass, waiter.revoked)
        }
    }

    private fun flush() {
        flushWanted = true
        if (!inFlight) launchAsks()
    }

    private fun launchAsks() {
        inFlight = true
        context.scope.launch { askUntilIdle() }
    }

    private suspend fun askUntilIdle() {
        while (true) {
            val round = synchronized(this) { nextRound() } ?: return
            val share = key.toOwnedShare()
            val owner = context.rights.owners(share.key, share.count).getOrNull(share.share)
            asks.increment()
            val answer = owner?.let { context.peers.ask(it, round.ask, context.times.quotaTimeout) }
            val revoked = synchronized(this) { apply(round, answer as? QuotaLeaseAnswer) }
            revoked.forEach { it.complete() }
        }
    }

    private fun nextRound(): Round? {
        if (waiting.isEmpty() && !flushWanted) {
            inFlight = false
            return null
        }
        flushWanted = false
        val waiters = waiting.sortedBy { it.requestClass }
        waiting.clear()
        val wants = waiters.fold(ClassCounts.NONE) { sum, waiter -> sum + waiter.requestClass.one() }
        val now = context.now()
        val (next, ask) = use.ask(context.self, wants, now)
        use = next
        lastKept = ask.keeps
        val sent = results
        results = ServerResults.NONE
        return Round(QuotaLeaseAsk(key, ask.sequence, ask.keeps, wants, sent), waiters, now)
    }

    /** Applies the answer to a round and returns the batch items that must be cancelled. */
    private fun apply(
        round: Round,
        answer: QuotaLeaseAnswer?,
    ): List<CompletableJob> {
        val now = context.now()
        val inTime = answer?.takeIf { it.isOwner && now - round.sentAt <= context.times.quotaTimeout }
        if (inTime == null) {
            results = round.ask.results.copy(succeeded = 0) + results
            round.waiters.forEach { it.started.complete(false) }
            return emptyList()
        }
        use = use.answered(inTime.granted, round.sentAt, context.times.quota.lease, now)
        lastKept += inTime.granted
        round.waiters.forEach { it.started.complete(tryStart(it)) }
        news = QuotaNews(inTime.inUse, inTime.cap, inTime.scarce, use.running.total, now)
        return if (round.ask.keeps.batch > inTime.mayKeepBatch) excessBatch(inTime.mayKeepBatch) else emptyList()
    }

    private class Waiter(
        val requestClass: RequestClass,
        val revoked: CompletableJob,
    ) {
        val started = CompletableDeferred<Boolean>()
    }

    private class Round(
        val ask: QuotaLeaseAsk,
        val waiters: List<Waiter>,
        val sentAt: MonotonicTime,
    )
}
