package org.agatestream.core

/** The inputs by which an owner grants the slots of a backend server. */
public class SlotRules(
    public val setting: BackendServerSetting,
    public val times: QuotaTimes,
    public val chart: BackendChart,
)

/** An owner's exact count of the slots of one backend server across all VMs, and the server's warm-up state. */
public data class SlotLedger(
    val quota: QuotaLedger,
    val warmth: BackendWarmth = BackendWarmth(),
) {
    /** Returns the number of requests that may run concurrently; batch items may use all slots left. */
    public fun cap(setting: BackendServerSetting): QuotaCap = QuotaCap(warmth.slots(setting))

    /** Records [results] and applies the quota request [request]. */
    public fun request(
        request: QuotaRequest,
        results: ServerResults,
        rules: SlotRules,
        now: MonotonicTime,
    ): Pair<SlotLedger, QuotaResponse> {
        val updatedWarmth = warmth.record(results, rules.setting, rules.chart)
        val cap = QuotaCap(updatedWarmth.slots(rules.setting))
        val (updatedQuota, answer) = quota.request(request, cap, rules.times, now)
        return SlotLedger(updatedQuota, updatedWarmth) to answer
    }
}
