package org.agatestream.core

import kotlinx.serialization.Serializable
import kotlin.jvm.JvmInline
import kotlin.time.Duration
import kotlin.time.Duration.Companion.seconds

/** The fencing token of an order to an engine; engines that check it refuse a lower one than they have seen. */
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
 * Returns the fencing number of orders issued at this head: plan epoch in the high bits, settings revision in the low.
 *
 * A new owner of an engine knows a later epoch than the previous owner, so its orders have higher numbers.
 */
public fun FleetHead.toFencingNumber(): FencingNumber =
    FencingNumber((epoch.number shl REVISION_BITS) or revision.number)

/** An owner's record of the orders that it sent to one engine. */
public data class EngineOrderState(
    /** The last confirmed order of each model. */
    val confirmed: Map<ModelId, ConfirmedOrder> = emptyMap(),
    val failures: Int = 0,
    val retryAt: MonotonicTime? = null,
    /** The number of the last order that the engine refused as stale. */
    val refusedNumber: FencingNumber? = null,
)

/** An order that the engine executed. */
public data class ConfirmedOrder(
    val number: FencingNumber,
    val at: MonotonicTime,
)

/** The next step for one engine. */
public sealed interface EngineOrderStep {
    /** Order the engine to load [model]. */
    public data class Load(
        val model: ModelId,
        val number: FencingNumber,
    ) : EngineOrderStep

    /** No order is due. */
    public data object Idle : EngineOrderStep
}

/** The engine's response to an order. */
public enum class EngineOrderResult {
    DONE,

    /** The engine has seen an order with a higher number. */
    REFUSED_AS_OLD,
    FAILED,
}

/** The intervals at which orders are repeated. */
public data class EngineOrderTimes(
    /**
     * How often a confirmed order is repeated.
     *
     * An engine that does not check fencing numbers may execute a delayed order of a previous owner; the repeat
     * corrects that.
     */
    val repeat: Duration = 30.seconds,
    val backoff: Backoff = Backoff(first = 1.seconds, max = 30.seconds),
)

/**
 * Returns the next order for an engine that should have [models] loaded.
 *
 * Call it only while this VM is the engine's owner at [now], and check ownership again right before sending.
 */
public fun EngineOrderState.next(
    models: List<ModelId>,
    number: FencingNumber,
    times: EngineOrderTimes,
    now: MonotonicTime,
): EngineOrderStep {
    val isOutdated = refusedNumber != null && number <= refusedNumber
    if (isOutdated || (retryAt != null && now < retryAt)) return EngineOrderStep.Idle
    val model = models.firstOrNull { isDue(it, number, times, now) } ?: return EngineOrderStep.Idle
    return EngineOrderStep.Load(model, number)
}

/** Returns the record after the engine responded to [step] with [result]; [jitter], from 0 to 1, spreads repeats. */
public fun EngineOrderState.after(
    step: EngineOrderStep.Load,
    result: EngineOrderResult,
    times: EngineOrderTimes,
    jitter: Double,
    now: MonotonicTime,
): EngineOrderState =
    when (result) {
        EngineOrderResult.DONE -> {
            val order = ConfirmedOrder(step.number, now - times.repeat * jitter / 2)
            copy(confirmed = confirmed + (step.model to order), failures = 0, retryAt = null)
        }

        EngineOrderResult.REFUSED_AS_OLD -> {
            copy(refusedNumber = step.number)
        }

        EngineOrderResult.FAILED -> {
            val wait = times.backoff.delay(failures + 1, jitter)
            copy(failures = failures + 1, retryAt = now + wait)
        }
    }

private fun EngineOrderState.isDue(
    model: ModelId,
    number: FencingNumber,
    times: EngineOrderTimes,
    now: MonotonicTime,
): Boolean {
    val order = confirmed[model] ?: return true
    return order.number.epoch() != number.epoch() || now - order.at >= times.repeat
}

private fun FencingNumber.epoch(): Long = number shr REVISION_BITS
