package org.agatestream.server

import org.agatestream.core.BackendChart
import org.agatestream.core.BackendServerSetting
import org.agatestream.core.BackendWarmth
import org.agatestream.core.MonotonicTime
import org.agatestream.core.QuotaAnswer
import org.agatestream.core.QuotaAsk
import org.agatestream.core.QuotaCap
import org.agatestream.core.QuotaLedger
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
            val account = (old?.takeIf { it.since == since } ?: open(ask.key, since, now)).dropGone().record(ask)
            val cap = account.cap(ask.key) ?: return@compute old
            val (ledger, answer) = account.ledger.ask(ask.toQuotaAsk(from), cap, context.times.quota, now)
            val changed = account.copy(ledger = ledger)
            decision = QuotaDecision(answer.toMessage(ledger, cap), changed.giveWay(from, cap, now))
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
        EventLog.info("quota_opened", "quota" to key.toText(), "opens_in_ms" to (opensAt - now).inWholeMilliseconds)
        return Account(since, QuotaLedger(opensAt))
    }

    private fun Account.record(ask: QuotaLeaseAsk): Account {
        val setting = setting(ask.key) ?: return this
        val next = warmth.record(ask.results, setting, chart)
        if (next.state != warmth.state) {
            EventLog.info(
                "backend_warmth",
                "server" to ask.key.toText(),
                "state" to next.state,
                "was" to warmth.state,
            )
        }
        return copy(warmth = next)
    }

    private fun Account.dropGone(): Account {
        val gone = ledger.leases.keys.filter { context.rights.isGone(it) }
        return if (gone.isEmpty()) this else copy(ledger = gone.fold(ledger) { left, vm -> left.gone(vm) })
    }

    /** Returns the present cap; null if the backend server is unknown. */
    private fun Account.cap(key: QuotaKey): QuotaCap? {
        val scope = key.toScope()
        if (scope != null) return context.fleet().runningCap(scope, context.wallTime()) ?.shareOf(key) ?: UNLIMITED
        return setting(key)?.let { QuotaCap(warmth.slots(it)) }
    }

    private fun setting(key: QuotaKey): BackendServerSetting? =
        (key as? QuotaKey.Server)?.let {
            context.fleet().backendServers[it.id]
        }

    private fun Account.giveWay(
        from: VmId,
        cap: QuotaCap,
        now: MonotonicTime,
    ): Map<VmId, Int> = ledger.giveWay(cap, now) - from

    private data class Account(
        val since: MonotonicTime,
        val ledger: QuotaLedger,
        val warmth: BackendWarmth = BackendWarmth(),
    )

    private companion object {
        val NOT_OWNER = QuotaDecision(QuotaLeaseAnswer(isOwner = false))
        val UNLIMITED = QuotaCap(Int.MAX_VALUE)
    }
}

private fun QuotaLeaseAsk.toQuotaAsk(from: VmId): QuotaAsk = QuotaAsk(from, sequence, keeps, wants)

private fun QuotaAnswer.toMessage(
    ledger: QuotaLedger,
    cap: QuotaCap,
): QuotaLeaseAnswer =
    QuotaLeaseAnswer(
        granted = granted,
        mayKeepBatch = mayKeepBatch,
        scarce = scarce,
        inUse = ledger.held.total,
        cap = cap.total,
    )
