package org.agatestream.server

import org.agatestream.core.BackendServerSetting
import org.agatestream.core.CapScope
import org.agatestream.core.FleetView
import org.agatestream.core.QuotaCap
import org.agatestream.core.runningCap

/** The number of shares that a cap is split into, so that losing one owner stops only part of the work. */
internal const val CAP_SHARES = 3

/** Returns the share that determines the owner of the quota. */
internal fun QuotaKey.toOwnedShare(): OwnedShare =
    when (this) {
        is QuotaKey.Server -> OwnedShare("slots/$id")
        is QuotaKey.Domain -> OwnedShare("running/$id", share, CAP_SHARES)
        is QuotaKey.Fleet -> OwnedShare("running", share, CAP_SHARES)
    }

/** Returns the quota's name in log lines. */
internal fun QuotaKey.toLogText(): String = toOwnedShare().let { if (it.count > 1) "${it.key}#${it.share}" else it.key }

/** Returns the scope of a cap on running requests, or null for the slots of a backend server. */
internal fun QuotaKey.toScope(): CapScope? =
    when (this) {
        is QuotaKey.Server -> null
        is QuotaKey.Domain -> CapScope.Domain(id)
        is QuotaKey.Fleet -> CapScope.Fleet
    }

/** Returns the fraction of this cap that the share of [key] grants. */
internal fun QuotaCap.shareOf(key: QuotaKey): QuotaCap = split(key.toOwnedShare().share, CAP_SHARES)

/** Returns the keys of the caps that apply to a backend server, as one list of shares per cap. */
internal fun BackendServerSetting.capKeys(): List<List<QuotaKey>> =
    listOf(
        List(CAP_SHARES) { QuotaKey.Fleet(it) },
        List(CAP_SHARES) { QuotaKey.Domain(failureDomain, it) },
    )

/** Returns whether requests under the quota must be counted now, including the lead time before a window. */
internal fun LimitContext.isCounted(
    key: QuotaKey,
    fleet: FleetView,
): Boolean {
    val scope = key.toScope() ?: return true
    return fleet.runningCap(scope, wallTime(), times.capCountingLead) != null
}
