package org.agatestream.core

import kotlinx.serialization.Serializable
import kotlin.jvm.JvmInline
import kotlin.time.Duration
import kotlin.time.Duration.Companion.seconds

/** The number that an order to an engine carries; engines that check it refuse a lower one than they have seen. */
@Serializable
@JvmInline
public value class FencingNumber(
    public val number: Long,
) : Comparable<FencingNumber> {
    override fun compareTo(other: FencingNumber): Int = number.compareTo(other.number)

    override fun toString(): String = number.toString()
}

private const val REVISION_BITS = 40

/**
 * Returns the fencing number of orders given at this head: the epoch of the plan, then the revision of the settings.
 *
 * A VM that takes an engine over knows a later epoch than the one before it, so its orders have higher numbers.
 */
public fun FleetHead.toFencingNumber(): FencingNumber =
    FencingNumber((epoch.number shl REVISION_BITS) or revision.number)

/** What an owner remembers of the orders it gave to one engine. */
public data class EngineOrderMemory(
    /** The number under which each model was last confirmed, and when. */
    val confirmed: Map<ModelId, ConfirmedOrder> = emptyMap(),
    val failures: Int = 0,
    val notBefore: MonotonicTime? = null,
    /** The number under which the engine refused an order as old. */
    val refusedAt: FencingNumber? = null,
)

/** An order that the engine carried out. */
public data class ConfirmedOrder(
    val number: FencingNumber,
    val at: MonotonicTime,
)

/** What to do next about one engine. */
public sealed interface EngineOrderStep {
    /** Order the engine to load [model]. */
    public data class Load(
        val model: ModelId,
        val number: FencingNumber,
    ) : EngineOrderStep

    /** Nothing is due. */
    public data object Rest : EngineOrderStep
}

/** How the engine took an order. */
public enum class EngineOrderResult {
    DONE,

    /** The engine has seen an order with a higher number. */
    REFUSED_AS_OLD,
    FAILED,
}

/** The spans by which orders are repeated. */
public data class EngineOrderTimes(
    /**
     * How often a confirmed order is repeated.
     *
     * An engine that checks no numbers may carry out a late order of an owner that was paused; the repeat undoes it.
     */
    val repeat: Duration = 30.seconds,
    val backoff: Backoff = Backoff(first = 1.seconds, longest = 30.seconds),
)

/**
 * Returns the next order for an engine that should have [models] loaded.
 *
 * Call it only while this VM may act as the engine's owner at [now], and ask again right before sending.
 */
public fun EngineOrderMemory.next(
    models: List<ModelId>,
    number: FencingNumber,
    times: EngineOrderTimes,
    now: MonotonicTime,
): EngineOrderStep {
    val isOutdated = refusedAt != null && number <= refusedAt
    if (isOutdated || (notBefore != null && now < notBefore)) return EngineOrderStep.Rest
    val due = models.firstOrNull { isDue(it, number, times, now) } ?: return EngineOrderStep.Rest
    return EngineOrderStep.Load(due, number)
}

/** Returns the memory after the engine answered [step] with [result]; [jitter] spreads repeats, from 0 to 1. */
public fun EngineOrderMemory.after(
    step: EngineOrderStep.Load,
    result: EngineOrderResult,
    times: EngineOrderTimes,
    jitter: Double,
    now: MonotonicTime,
): EngineOrderMemory =
    when (result) {
        EngineOrderResult.DONE -> {
            val order = ConfirmedOrder(step.number, now - times.repeat * jitter / 2)
            copy(confirmed = confirmed + (step.model to order), failures = 0, notBefore = null)
        }

        EngineOrderResult.REFUSED_AS_OLD -> {
            copy(refusedAt = step.number)
        }

        EngineOrderResult.FAILED -> {
            val wait = times.backoff.delay(failures + 1, jitter)
            copy(failures = failures + 1, notBefore = now + wait)
        }
    }

private fun EngineOrderMemory.isDue(
    model: ModelId,
    number: FencingNumber,
    times: EngineOrderTimes,
    now: MonotonicTime,
): Boolean {
    val order = confirmed[model] ?: return true
    return order.number.epoch() != number.epoch() || now - order.at >= times.repeat
}

private fun FencingNumber.epoch(): Long = number shr REVISION_BITS
