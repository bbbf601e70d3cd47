package org.agatestream.core

import java.time.Instant
import java.time.LocalDate
import java.time.LocalDateTime
import java.time.LocalTime
import java.time.ZoneId
import kotlin.math.min
import kotlin.time.Duration
import kotlin.time.toJavaDuration

/** What a cap on running requests covers. */
public sealed interface CapScope {
    /** All backend servers. */
    public data object Fleet : CapScope

    /** The backend servers of one failure domain. */
    public data class Domain(
        val id: FailureDomainId,
    ) : CapScope
}

/** A span of time from [start] to before [end]. */
public data class TimeWindow(
    val start: Instant,
    val end: Instant,
)

/**
 * Returns the window that begins on [date], local to the setting's time zone.
 *
 * Where the clock is set forward over an end of the window, that end is the moment of the change. Where it is set back,
 * a repeated start is the first and a repeated end the second of the two, so that the window is never shortened.
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

/** Returns whether the window is in force at some time from [now] until [lead] later. */
public fun QuietHoursSetting.isInForce(
    now: Instant,
    lead: Duration = Duration.ZERO,
): Boolean {
    val today = now.atZone(ZoneId.of(timeZone)).toLocalDate()
    val last = now.plus(lead.toJavaDuration())
    return (-1L..1L).any { days ->
        val window = windowOf(today.plusDays(days))
        window.start <= last && now < window.end
    }
}

/**
 * Returns the cap on the requests of [scope] at [now], or null if there is none.
 *
 * With a [lead] it is the cap of every window that is in force by then, so that requests can be counted before.
 */
public fun FleetView.runningCap(
    scope: CapScope,
    now: Instant,
    lead: Duration = Duration.ZERO,
): QuotaCap? {
    val windows = quietHours.values.filter { it.scope() == scope && it.isInForce(now, lead) }
    val caps =
        windows.map { QuotaCap(it.maxRunning, min(it.maxBatchRunning, it.maxRunning)) } +
            listOfNotNull(standingCap(scope))
    if (caps.isEmpty()) return null
    return QuotaCap(caps.minOf { it.total }, caps.minOf { it.batch })
}

private fun FleetView.standingCap(scope: CapScope): QuotaCap? =
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
