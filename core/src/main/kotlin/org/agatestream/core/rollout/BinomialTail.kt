package org.agatestream.core.rollout

import kotlin.math.exp
import kotlin.math.ln

/** Returns the probability of at least [hits] hits in [trials] independent trials of probability [chance] each. */
internal fun binomialTail(
    trials: Int,
    hits: Int,
    chance: Double,
): Double {
    if (hits <= 0) return 1.0
    if (hits > trials) return 0.0
    val odds = ln(chance) - ln(1 - chance)
    var logTerm = trials * ln(1 - chance)
    var tail = if (hits == 0) exp(logTerm) else 0.0
    for (count in 1..trials) {
        logTerm += ln((trials - count + 1).toDouble() / count) + odds
        if (count >= hits) tail += exp(logTerm)
    }
    return minOf(1.0, tail)
}
