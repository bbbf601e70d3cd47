package org.agatestream.server

import org.agatestream.core.BackendChart
import org.agatestream.core.BackendKind
import org.agatestream.core.BackendServerId
import org.agatestream.core.BackendServerSetting
import org.agatestream.core.MonotonicTime
import org.agatestream.core.QuotaAnswer
import org.agatestream.core.QuotaAsk
import org.agatestream.core.QuotaCap
import org.agatestream.core.QuotaLedger
import org.agatestream.core.SlotLedger
import org.agatestream.core.SlotRules
import org.agatestream.core.VmId
import org.agatestream.core.runningCap
import java.util.concurrent.ConcurrentHashMap

/** An owner's answer and the holders that must cancel batch items, with the number that each may keep. */
internal class QuotaDecision(
    val answer: QuotaLeaseAnswer,
    val giveWay: Map<VmId, Int> = emptyMap(),
)

/** Keeps the exact accounts of the quotas that this VM owns. */
internal class QuotaOwner(
    private val context: LimitContext,
    private val chart: BackendChart,
) {
    private val accounts = ConcurrentHashMap<QuotaKey, Account>()

    fun answer(
        from: VmId,
        ask: QuotaLeaseAsk,
    ): QuotaDecision {
        val now = context.now()
        val since = context.rights.ownedSince(ask.key.toOwnedShare(), now) ?: return NOT_OWNER
        var decision = NOT_OWNER
        accounts.compute(ask.key) { _, old ->
            val account = (old?.takeIf { it.since == since } ?: open(ask.key, since, now)).dropGone()
            val (changed, answer) = account.apply(from, ask, now) ?: return@compute old
            decision = QuotaDecision(answer.toMessage(changed), changed.giveWay(account, now) - from)
            changed
        }
        return decision
    }

    /** A new owner grants nothing until the leases of the owner before it are over and their holders have reported. */
    private fun open(
        key: QuotaKey,
        since: MonotonicTime,
        now: MonotonicTime,
    ): Account {
        val counted = if (key is QuotaKey.Server) since else now + context.times.settingSpread
        val opensAt = counted + context.times.leaseOver()
        val awaitsReportUntil = (opensAt + context.times.loadReportWait).takeIf { key.isEngine() }
        EventLog.info("quota_opened", "quota" to key.toText(), "opens_in_ms" to (opensAt - now).inWholeMilliseconds)
        return Account(since, SlotLedger(QuotaLedger(opensAt, awaitsReportUntil = awaitsReportUntil)), UNLIMITED)
    }

    private fun QuotaKey.isEngine(): Boolean =
        this is QuotaKey.Server && context.fleet().backendServers[id]?.kind == BackendKind.ENGINE

    /** The engines whose slots this VM accounts for; it reads their load to find what nobody reports. */
    fun engines(): Set<BackendServerId> =
        accounts.keys
            .filter {
                it.isEngine()
            }.mapTo(HashSet()) { (it as QuotaKey.Server).id }

    /** Compares the account of [server] with its load report. */
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

    /** After a relapse of a backend server every holder gives its idle slots back. */
    private fun Account.giveWay(
        before: Account,
        now: MonotonicTime,
    ): Map<VmId, Int> {
        val giveWay = ledger.quota.giveWay(cap, now)
        if (cap.total >= before.cap.total || before.cap == UNLIMITED) return giveWay
        return ledger.quota.leases.mapValues { (vm, lease) -> giveWay[vm] ?: lease.counts.batch }
    }

    private fun Account.dropGone(): Account {
        val gone =
            ledger.quota.leases.keys
                .filter { context.rights.isGone(it) }
        return if (gone.isEmpty()) {
            this
        } else {
            copy(
                ledger = ledger.copy(quota = gone.fold(ledger.quota) { left, vm -> left.gone(vm) }),
            )
        }
    }

    /** Applies an ask; returns null if the backend server is unknown. */
    private fun Account.apply(
        from: VmId,
        ask: QuotaLeaseAsk,
        now: MonotonicTime,
    ): Pair<Account, QuotaAnswer>? =
        when (val key = ask.key) {
            is QuotaKey.Server -> context.fleet().backendServers[key.id]?.let { applySlots(from, ask, it, now) }
            is QuotaKey.Domain, is QuotaKey.Fleet -> applyCap(from, ask, now)
        }

    private fun Account.applySlots(
        from: VmId,
        ask: QuotaLeaseAsk,
        setting: BackendServerSetting,
        now: MonotonicTime,
    ): Pair<Account, QuotaAnswer> {
        val rules = SlotRules(setting, context.times.quota, chart)
        val (changed, answer) = ledger.ask(ask.toQuotaAsk(from), ask.results, rules, now)
        val state = changed.warmth.state
        if (state != ledger.warmth.state) {
            EventLog.info("backend_warmth", "quota" to ask.key.toText(), "state" to state, "was" to ledger.warmth.state)
        }
        return copy(ledger = changed, cap = changed.cap(setting)) to answer
    }

    private fun Account.applyCap(
        from: VmId,
        ask: QuotaLeaseAsk,
        now: MonotonicTime,
    ): Pair<Account, QuotaAnswer> {
        val scope = checkNotNull(ask.key.toScope())
        val present = context.fleet().runningCap(scope, context.wallTime())?.shareOf(ask.key) ?: UNLIMITED
        val (changed, answer) = ledger.quota.ask(ask.toQuotaAsk(from), present, context.times.quota, now)
        return copy(ledger = ledger.copy(quota = changed), cap = present) to answer
    }

    private companion object {
        val NOT_OWNER = QuotaDecision(QuotaLeaseAnswer(isOwner = false))
        val UNLIMITED = QuotaCap(Int.MAX_VALUE)
    }
}

/** The account of one quota under the right that it was begun with. */
private data class Account(
    val since: MonotonicTime,
    val ledger: SlotLedger,
    val cap: QuotaCap,
)

private fun QuotaLeaseAsk.toQuotaAsk(from: VmId): QuotaAsk = QuotaAsk(from, sequence, keeps, wants)

private fun QuotaAnswer.toMessage(account: Account): QuotaLeaseAnswer =
    QuotaLeaseAnswer(
        granted = granted,
        mayKeepBatch = mayKeepBatch,
        scarce = scarce,
        inUse = account.ledger.quota.held.total,
        cap = account.cap.total,
    )
