package org.agatestream.standin

import kotlin.time.DurationUnit

/** The calls of a load and what became of them. */
internal class LoadRun(
    private val calls: List<Pair<CallSpec.Complete, CallResult>>,
) {
    /** Counts calls by outcome: `ok`, `refused`, `lost`, `wrong`, or an error code. */
    fun count(outcome: String): Long = calls.count { (spec, result) -> matches(outcome, spec, result) }.toLong()

    /** Returns where the load got more than [rate] and [burst] allow, or null. */
    fun excess(
        rate: Double,
        burst: Int,
    ): String? {
        val served = calls.map { it.second }.filter { it.status == STATUS_OK }
        for (first in served) {
            // A call that was sent after the span's start and answered before its end was admitted within it.
            val inside = served.filter { it.sent >= first.sent }.sortedBy { it.answered }
            inside.forEachIndexed { index, last ->
                val span = (last.answered - first.sent).toDouble(DurationUnit.SECONDS)
                val allowed = burst + rate * span
                if (index + 1 > allowed) return "${index + 1} calls in $span s, allowed are $allowed"
            }
        }
        return null
    }

    override fun toString(): String {
        val codes = calls.mapNotNull { it.second.code }.groupingBy { it }.eachCount()
        val counts = listOf("ok", "refused", "lost", "wrong").joinToString(" ") { "$it=${count(it)}" }
        return "calls=${calls.size} $counts" + codes.entries.joinToString("") { " ${it.key}=${it.value}" }
    }

    private fun matches(
        outcome: String,
        spec: CallSpec.Complete,
        result: CallResult,
    ): Boolean =
        when (outcome) {
            "ok" -> result.isWhole(spec)
            "refused" -> result.code != null
            "lost" -> result.status <= 0 || !result.complete
            "wrong" -> result.status == STATUS_OK && result.complete && !result.isWhole(spec)
            else -> result.code == outcome
        }
}
