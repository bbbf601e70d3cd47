package org.agatestream.core

/** Names and numbers by which an owner decides on the slots of a backend server. */
public class SlotRules(
    public val setting: BackendServerSetting,
    public val times: QuotaTimes,
    public val chart: BackendChart,
)

/** An owner's exact account of one backend server's slots over all VMs, and how far the server has warmed up. */
public data class SlotLedger(
    val quota: QuotaLedger,
    val warmth: BackendWarmth = BackendWarmth(),
) {
    /** Returns the number of requests that may run at once; as many of them as are left may be batch items. */
    public fun cap(setting: BackendServerSetting): QuotaCap = QuotaCap(warmth.slots(setting))

    /** Takes [results] into account and applies [ask]. */
    public fun ask(
        ask: QuotaAsk,
        results: ServerResults,
        rules: SlotRules,
        now: MonotonicTime,
    ): Pair<SlotLedger, QuotaAnswer> {
        val seen = warmth.record(results, rules.setting, rules.chart)
        val cap = QuotaCap(seen.slots(rules.setting))
        val (left, answer) = quota.ask(ask, cap, rules.times, now)
        return SlotLedger(left, seen) to answer
    }
}
