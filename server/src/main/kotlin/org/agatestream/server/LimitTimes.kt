package org.agatestream.server

import org.agatestream.core.AdmissionTimes
import org.agatestream.core.QuotaTimes
import kotlin.time.Duration
import kotlin.time.Duration.Companion.milliseconds
import kotlin.time.Duration.Companion.minutes
import kotlin.time.Duration.Companion.seconds

/** The spans by which owned limits are asked for, leased and renewed. */
public data class LimitTimes(
    val admission: AdmissionTimes = AdmissionTimes(),
    val quota: QuotaTimes = QuotaTimes(lease = 3.seconds, longestRequest = 10.minutes, onlineWait = 200.milliseconds),
    /** How often a VM renews the quotas it holds. */
    val renewal: Duration = 1.seconds,
    /** How long an answer to a quota ask is waited for. */
    val quotaTimeout: Duration = 250.milliseconds,
    /** Pause before a VM asks again for a quota of which nothing was left. */
    val quotaRetry: Duration = 25.milliseconds,
    /** How much longer the lease of a slow clock may last. */
    val clockDrift: Double = 0.01,
    /** Within this span every current VM knows an accepted setting. */
    val settingSpread: Duration = 3.seconds,
    /** How old the load is that an engine reports. */
    val loadLag: Duration = 1.seconds,
    /** How long a new owner waits for an engine's load report before it grants slots without one. */
    val loadReportWait: Duration = 3.seconds,
    /** How long before a window of quiet hours the running requests are counted. */
    val capLead: Duration = 15.seconds,
)

/** Returns how long an owner waits so that a lease by another clock is surely over. */
internal fun LimitTimes.leaseOver(): Duration = quota.lease * (1 + clockDrift)
