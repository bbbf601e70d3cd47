package org.agatestream.server

import org.agatestream.core.AdmissionTimes
import org.agatestream.core.QuotaTimes
import kotlin.time.Duration
import kotlin.time.Duration.Companion.milliseconds
import kotlin.time.Duration.Companion.minutes
import kotlin.time.Duration.Companion.seconds

/** The durations that govern requests, leases and renewals of owned limits. */
public data class LimitTimes(
    val admission: AdmissionTimes = AdmissionTimes(),
    val quota: QuotaTimes = QuotaTimes(lease = 3.seconds, longestRequest = 10.minutes, onlineWait = 200.milliseconds),
    /** How often a VM renews the quotas it holds. */
    val renewal: Duration = 1.seconds,
    /** Timeout of a quota request. */
    val quotaTimeout: Duration = 250.milliseconds,
    /** Delay before a VM retries a quota that was exhausted. */
    val quotaRetry: Duration = 25.milliseconds,
    /** The fraction by which a lease may last longer on a slow clock. */
    val clockDrift: Double = 0.01,
    /** The time within which every current VM has applied an accepted setting. */
    val settingPropagation: Duration = 3.seconds,
    /** The age of the load that an engine reports. */
    val loadLag: Duration = 1.seconds,
    /** How long a new owner waits for an engine's load report before it grants slots without one. */
    val loadReportWait: Duration = 3.seconds,
    /** How long before a window of quiet hours running requests start to be counted. */
    val capCountingLead: Duration = 15.seconds,
)

/** Returns the time after which a lease has expired on the clock of any VM. */
internal fun LimitTimes.maxLeaseDuration(): Duration = quota.lease * (1 + clockDrift)
