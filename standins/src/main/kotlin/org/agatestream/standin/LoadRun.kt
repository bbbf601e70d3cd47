package org.agatestream.standin

import kotlin.time.DurationUnit

/** The calls of a load and their results. */
internal class LoadRun(
    private val calls: List<Pair<CallSpec.Complete, CallResult>>,
) {
    /** Counts calls by outcome: `ok`, `refused`, `lost`, `wrong`, or an error code. */
    fun count(outcome: String): Long = calls.count { (spec, result) -> hasOutcome(outcome, spec, result) }.toLong()

    /** Returns a description of the first interval that exceeds [rate] per second plus [burst], or null. */
    fun rateViolation(
        rate: Double,
        burst: Int,
    ): String? {
        val served = calls.map { it.second }.filter { it.status == STATUS_OK }
        for (first in served) {
            // A call sent after the start of the interval and answered before its end was admitted within it.
            val admitted = served.filter { it.sentAt >= first.sentAt }.sortedBy { it.answeredAt }
            admitted.forEachIndexed { index, last ->
                val seconds = (last.answeredAt - first.sentAt).toDouble(DurationUnit.SECONDS)
                val allowed = burst + rate * seconds
                if (index + 1 > allowed) return "${index + 1} calls in $seconds s, allowed are $allowed"
            }
        }
        return null
    }

    override fun toString(): String {
        val codes = calls.mapNotNull { it.second.code }.groupingBy { it }.eachCount()
        val counts = listOf("ok", "refused", "lost", "wrong").joinToString(" ") { "$it=${count(it)}" }
        return "calls=${calls.size} $counts" + codes.entries.joinToString("") { " ${it.key}=${it.value}" }
    }

    private fun hasOutcome(
        outcome: String,
        spec: CallSpec.Complete,
        result: CallResult,
    ): Boolean =
        when (outcome) {
            "ok" -> result.isCorrectFor(spec)
            "refused" -> result.code != null
            "lost" -> result.status <= 0 || !result.isComplete
            "wrong" -> result.status == STATUS_OK && result.isComplete && !result.isCorrectFor(spec)
            else -> result.code == outcome
        }
}
