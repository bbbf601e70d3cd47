package org.agatestream.core

import java.time.Instant
import java.time.LocalDate
import java.time.LocalDateTime
import java.time.LocalTime
import java.time.ZoneId
import kotlin.math.min
import kotlin.time.Duration
import kotlin.time.toJavaDuration

/** The scope of a cap on running requests. */
public sealed interface CapScope {
    /** All backend servers. */
    public data object Fleet : CapScope

    /** The backend servers of one failure domain. */
    public data class Domain(
        val id: FailureDomainId,
    ) : CapScope
}

/** A time interval from [start] (inclusive) to [end] (exclusive). */
public data class TimeWindow(
    val start: Instant,
    val end: Instant,
)

/**
 * Returns the window that begins on the local [date] in the setting's time zone.
 *
 * If a boundary falls into a daylight saving gap, it becomes the moment of the transition. If it falls into an overlap,
 * the start is the earlier and the end the later of the two instants, so that the window is never shortened.
 */
public fun QuietHoursSetting.windowOf(date: LocalDate): TimeWindow {
    val zone = ZoneId.of(timeZone)
    val start = LocalTime.parse(from)
    val end = LocalTime.parse(to)
    val endDate = if (end <= start) date.plusDays(1) else date
    return TimeWindow(
        date.atTime(start).toInstant(zone, later = false),
        endDate.atTime(end).toInstant(zone, later = true),
    )
}

/** Returns whether the window is in force at any time from [now] until [lead] later. */
public fun QuietHoursSetting.isInForce(
    now: Instant,
    lead: Duration = Duration.ZERO,
): Boolean {
    val today = now.atZone(ZoneId.of(timeZone)).toLocalDate()
    val windowsUntil = now.plus(lead.toJavaDuration())
    return (-1L..1L).any { days ->
        val window = windowOf(today.plusDays(days))
        window.start <= windowsUntil && now < window.end
    }
}

/**
 * Returns the cap on running requests of [scope] at [now], or null if there is none.
 *
 * Includes windows that start within [lead], so that requests can be counted before a window begins.
 */
public fun FleetView.runningCap(
    scope: CapScope,
    now: Instant,
    lead: Duration = Duration.ZERO,
): QuotaCap? {
    val windows = quietHours.values.filter { it.scope() == scope && it.isInForce(now, lead) }
    val caps =
        windows.map { QuotaCap(it.maxRunning, min(it.maxBatchRunning, it.maxRunning)) } +
            listOfNotNull(configuredCap(scope))
    if (caps.isEmpty()) return null
    return QuotaCap(caps.minOf { it.total }, caps.minOf { it.batch })
}

private fun FleetView.configuredCap(scope: CapScope): QuotaCap? =
    when (scope) {
        CapScope.Fleet -> null
        is CapScope.Domain -> failureDomains[scope.id]?.maxRunning?.let { QuotaCap(it) }
    }

private fun QuietHoursSetting.scope(): CapScope = failureDomain?.let { CapScope.Domain(it) } ?: CapScope.Fleet

private fun LocalDateTime.toInstant(
    zone: ZoneId,
    later: Boolean,
): Instant {
    val offsets = zone.rules.getValidOffsets(this)
    if (offsets.isEmpty()) return zone.rules.getTransition(this).instant
    return toInstant(if (later) offsets.last() else offsets.first())
}
