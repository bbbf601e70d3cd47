package org.agatestream.server

import org.agatestream.core.BackendChart
import org.agatestream.core.BackendKind
import org.agatestream.core.BackendServerId
import org.agatestream.core.BackendServerSetting
import org.agatestream.core.MonotonicTime
import org.agatestream.core.QuotaCap
import org.agatestream.core.QuotaLedger
import org.agatestream.core.QuotaRequest
import org.agatestream.core.QuotaResponse
import org.agatestream.core.SlotLedger
import org.agatestream.core.SlotRules
import org.agatestream.core.VmId
import org.agatestream.core.runningCap
import java.util.concurrent.ConcurrentHashMap

/** An owner's response and the holders that must cancel batch items, with the number that each may keep. */
internal class QuotaOwnerDecision(
    val response: QuotaLeaseResponse,
    val batchLimits: Map<VmId, Int> = emptyMap(),
)

/** Tracks the exact use of the quotas that this VM owns. */
internal class QuotaOwner(
    private val context: LimitContext,
    private val chart: BackendChart,
) {
    private val accounts = ConcurrentHashMap<QuotaKey, Account>()

    fun handle(
        from: VmId,
        request: QuotaLeaseRequest,
    ): QuotaOwnerDecision {
        val now = context.now()
        val since = context.rights.ownedSince(request.key.toOwnedShare(), now) ?: return NOT_OWNER
        var decision = NOT_OWNER
        accounts.compute(request.key) { _, old ->
            val account = (old?.takeIf { it.since == since } ?: open(request.key, since, now)).withoutGoneHolders()
            val (changed, response) = account.apply(from, request, now) ?: return@compute old
            decision = QuotaOwnerDecision(response.toMessage(changed), changed.batchLimits(account, now) - from)
            changed
        }
        return decision
    }

    /** Opens an account that grants nothing until the previous owner's leases expire and the holders have reported. */
    private fun open(
        key: QuotaKey,
        since: MonotonicTime,
        now: MonotonicTime,
    ): Account {
        val leasesMayStartUntil = if (key is QuotaKey.Server) since else now + context.times.settingPropagation
        val opensAt = leasesMayStartUntil + context.times.maxLeaseDuration()
        val awaitsReportUntil = (opensAt + context.times.loadReportWait).takeIf { key.isEngine() }
        EventLog.info("quota_opened", "quota" to key.toLogText(), "opens_in_ms" to (opensAt - now).inWholeMilliseconds)
        return Account(since, SlotLedger(QuotaLedger(opensAt, awaitsReportUntil = awaitsReportUntil)), UNLIMITED)
    }

    private fun QuotaKey.isEngine(): Boolean =
        this is QuotaKey.Server && context.fleet().backendServers[id]?.kind == BackendKind.ENGINE

    /** Returns the engines whose slots this VM owns; their load reveals requests that no holder reports. */
    fun engines(): Set<BackendServerId> =
        accounts.keys
            .filter {
                it.isEngine()
            }.mapTo(HashSet()) { (it as QuotaKey.Server).id }

    /** Reconciles the account of [server] with its load report. */
    fun onLoad(
        server: BackendServerId,
        report: LoadReport,
    ) {
        val takenAt = context.now() - context.times.loadLag
        accounts.computeIfPresent(QuotaKey.Server(server)) { _, account ->
            val quota = account.ledger.quota.report(report.running + report.waiting, takenAt)
            account.copy(ledger = account.ledger.copy(quota = quota))
        }
    }

    /** Returns the batch limits to send to holders; if the cap has dropped, every holder must release idle slots. */
    private fun Account.batchLimits(
        before: Account,
        now: MonotonicTime,
    ): Map<VmId, Int> {
        val limits = ledger.quota.batchLimitsByHolder(cap, now)
        if (cap.total >= before.cap.total || before.cap == UNLIMITED) return limits
        return ledger.quota.leases.mapValues { (vm, lease) -> limits[vm] ?: lease.counts.batch }
    }

    private fun Account.withoutGoneHolders(): Account {
        val gone =
            ledger.quota.leases.keys
                .filter { context.rights.isGone(it) }
        return if (gone.isEmpty()) {
            this
        } else {
            copy(
                ledger = ledger.copy(quota = gone.fold(ledger.quota) { left, vm -> left.withoutHolder(vm) }),
            )
        }
    }

    /** Applies a request; returns null if the backend server is unknown. */
    private fun Account.apply(
        from: VmId,
        request: QuotaLeaseRequest,
        now: MonotonicTime,
    ): Pair<Account, QuotaResponse>? =
        when (val key = request.key) {
            is QuotaKey.Server -> context.fleet().backendServers[key.id]?.let { applySlots(from, request, it, now) }
            is QuotaKey.Domain, is QuotaKey.Fleet -> applyCap(from, request, now)
        }

    private fun Account.applySlots(
        from: VmId,
        request: QuotaLeaseRequest,
        setting: BackendServerSetting,
        now: MonotonicTime,
    ): Pair<Account, QuotaResponse> {
        val rules = SlotRules(setting, context.times.quota, chart)
        val (changed, response) = ledger.request(request.toQuotaRequest(from), request.results, rules, now)
        val state = changed.warmth.state
        if (state != ledger.warmth.state) {
            EventLog.info(
                "backend_warmth",
                "quota" to request.key.toLogText(),
                "state" to state,
                "was" to ledger.warmth.state,
            )
        }
        return copy(ledger = changed, cap = changed.cap(setting)) to response
    }

    private fun Account.applyCap(
        from: VmId,
        request: QuotaLeaseRequest,
        now: MonotonicTime,
    ): Pair<Account, QuotaResponse> {
        val scope = checkNotNull(request.key.toScope())
        val currentCap = context.fleet().runningCap(scope, context.wallTime())?.shareOf(request.key) ?: UNLIMITED
        val (changed, response) =
            ledger.quota.request(
                request.toQuotaRequest(from),
                currentCap,
                context.times.quota,
                now,
            )
        return copy(ledger = ledger.copy(quota = changed), cap = currentCap) to response
    }

    private companion object {
        val NOT_OWNER = QuotaOwnerDecision(QuotaLeaseResponse(isOwner = false))
        val UNLIMITED = QuotaCap(Int.MAX_VALUE)
    }
}

/** The account of one quota; [since] is the start of the ownership under which it was opened. */
private data class Account(
    val since: MonotonicTime,
    val ledger: SlotLedger,
    val cap: QuotaCap,
)

private fun QuotaLeaseRequest.toQuotaRequest(from: VmId): QuotaRequest = QuotaRequest(from, sequence, keeps, wants)

private fun QuotaResponse.toMessage(account: Account): QuotaLeaseResponse =
    QuotaLeaseResponse(
        granted = granted,
        mayKeepBatch = mayKeepBatch,
        scarce = scarce,
        inUse = account.ledger.quota.held.total,
        cap = account.cap.total,
    )
