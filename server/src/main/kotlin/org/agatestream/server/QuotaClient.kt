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

/** The state of a quota as last reported by its owner. */
internal class QuotaStatus(
    val inUse: Int,
    val cap: Int,
    val scarce: Boolean,
    /** The requests of this VM at that time. */
    val ownRequests: Int,
    val at: MonotonicTime,
)

/** The holder side of one quota: starts requests within the held quota and requests more from the owner. */
internal class QuotaClient(
    private val key: QuotaKey,
    private val context: LimitContext,
) {
    private var quotaUse = QuotaUse()
    private var results = ServerResults.NONE
    private var incarnation: String? = null
    private val waiting = ArrayList<Waiter>()
    private val batchLeases = LinkedHashSet<CompletableJob>()
    private var inFlight = false
    private var flushRequested = false

    /** The quota that the owner has recorded for this VM. */
    private var recordedByOwner = ClassCounts.NONE
    private val requestCounter = context.registry.counter("agatestream.limit.asks", "kind", "quota")

    @Volatile
    var status: QuotaStatus? = null
        private set

    val running: Int
        get() = synchronized(this) { quotaUse.running.total }

    /** Starts a request, with one message to the owner if no quota is idle; returns false if none was granted. */
    suspend fun start(
        requestClass: RequestClass,
        revoked: CompletableJob,
    ): Boolean {
        val waiter = Waiter(requestClass, revoked)
        synchronized(this) {
            if (tryStart(waiter)) return true
            waiting += waiter
            if (!inFlight) launchRequests()
        }
        return try {
            waiter.started.await()
        } catch (e: CancellationException) {
            cancelWaiter(waiter)
            throw e
        }
    }

    /** Starts a request under a cap that isn't in force, so that it is counted when the cap comes into force. */
    fun startUncounted(
        requestClass: RequestClass,
        revoked: CompletableJob,
    ) {
        synchronized(this) {
            quotaUse = quotaUse.startUncounted(requestClass)
            if (requestClass == RequestClass.BATCH) batchLeases += revoked
        }
    }

    /** Ends a request; its quota stays held for the next one unless the quota is scarce. */
    fun end(
        requestClass: RequestClass,
        revoked: CompletableJob,
        observed: ServerResults = ServerResults.NONE,
    ) {
        synchronized(this) {
            batchLeases -= revoked
            val hasFailed = observed.failed > 0 || observed.restarted
            val scarce = hasFailed || revoked.isCompleted || status?.scarce ?: true
            quotaUse = quotaUse.end(requestClass, keep = !scarce)
            if (hasFailed) quotaUse = quotaUse.dropIdle()
            results += observed
            if (scarce || isNewIncarnation(observed)) requestFlush()
        }
    }

    private fun isNewIncarnation(observed: ServerResults): Boolean {
        if (observed.incarnation == null || observed.incarnation == incarnation) return false
        incarnation = observed.incarnation
        return true
    }

    /** Ends a request under a cap that isn't in force. */
    fun endUncounted(
        requestClass: RequestClass,
        revoked: CompletableJob,
    ) {
        synchronized(this) {
            batchLeases -= revoked
            quotaUse = quotaUse.end(requestClass, keep = false)
        }
    }

    /** Records results of the server that were observed outside a request and reports them to the owner. */
    fun reportResults(observed: ServerResults) {
        synchronized(this) {
            results += observed
            requestFlush()
        }
    }

    /** Renews the quota in use and releases the rest; sends nothing if nothing is held. */
    fun renew() {
        synchronized(this) {
            val holds = quotaUse.running + quotaUse.idle
            if (holds.total == 0 && recordedByOwner.total == 0) return
            quotaUse = quotaUse.dropIdle()
            requestFlush()
        }
    }

    /** Cancels batch items until [maxBatch] are left and releases idle quota. */
    fun reduceBatch(maxBatch: Int) {
        val revoked =
            synchronized(this) {
                quotaUse = quotaUse.dropIdle()
                requestFlush()
                excessBatch(maxBatch)
            }
        revoked.forEach { it.complete() }
    }

    private fun excessBatch(maxBatch: Int): List<CompletableJob> {
        val live = batchLeases.filterNot { it.isCompleted }
        return live.takeLast((live.size - maxBatch).coerceAtLeast(0))
    }

    private fun tryStart(waiter: Waiter): Boolean {
        quotaUse = quotaUse.start(waiter.requestClass, context.now()) ?: return false
        if (waiter.requestClass == RequestClass.BATCH) batchLeases += waiter.revoked
        return true
    }

    private fun cancelWaiter(waiter: Waiter) {
        synchronized(this) {
            if (waiting.remove(waiter)) return
        }
        waiter.started.invokeOnCompletion {
            if (waiter.started.getCompleted()) end(waiter.requestClass, waiter.revoked)
        }
    }

    private fun requestFlush() {
        flushRequested = true
        if (!inFlight) launchRequests()
    }

    private fun launchRequests() {
        inFlight = true
        context.scope.launch { sendUntilIdle() }
    }

    private suspend fun sendUntilIdle() {
        while (true) {
            val round = synchronized(this) { nextRound() } ?: return
            val share = key.toOwnedShare()
            val owner = context.rights.owners(share.key, share.count).getOrNull(share.share)
            requestCounter.increment()
            val response = owner?.let { context.peers.call(it, round.request, context.times.quotaTimeout) }
            val revoked = synchronized(this) { apply(round, response as? QuotaLeaseResponse) }
            revoked.forEach { it.complete() }
        }
    }

    private fun nextRound(): RequestRound? {
        if (waiting.isEmpty() && !flushRequested) {
            inFlight = false
            return null
        }
        flushRequested = false
        val waiters = waiting.sortedBy { it.requestClass }
        waiting.clear()
        val wants = waiters.fold(ClassCounts.NONE) { sum, waiter -> sum + waiter.requestClass.one() }
        val now = context.now()
        val (next, request) = quotaUse.request(context.self, wants, now)
        quotaUse = next
        recordedByOwner = request.keeps
        val sent = results
        results = ServerResults.NONE
        return RequestRound(QuotaLeaseRequest(key, request.sequence, request.keeps, wants, sent), waiters, now)
    }

    /** Applies the response to a round and returns the batch items that must be cancelled. */
    private fun apply(
        round: RequestRound,
        response: QuotaLeaseResponse?,
    ): List<CompletableJob> {
        val now = context.now()
        val valid = response?.takeIf { it.isOwner && now - round.sentAt <= context.times.quotaTimeout }
        if (valid == null) {
            results = round.request.results.copy(succeeded = 0) + results
            round.waiters.forEach { it.started.complete(false) }
            return emptyList()
        }
        quotaUse = quotaUse.answered(valid.granted, round.sentAt, context.times.quota.lease, now)
        recordedByOwner += valid.granted
        round.waiters.forEach { it.started.complete(tryStart(it)) }
        status = QuotaStatus(valid.inUse, valid.cap, valid.scarce, quotaUse.running.total, now)
        return if (round.request.keeps.batch > valid.mayKeepBatch) excessBatch(valid.mayKeepBatch) else emptyList()
    }

    private class Waiter(
        val requestClass: RequestClass,
        val revoked: CompletableJob,
    ) {
        val started = CompletableDeferred<Boolean>()
    }

    private class RequestRound(
        val request: QuotaLeaseRequest,
        val waiters: List<Waiter>,
        val sentAt: MonotonicTime,
    )
}
