package org.agatestream.server

import org.agatestream.core.BackendServerSetting
import org.agatestream.core.CapScope
import org.agatestream.core.FleetView
import org.agatestream.core.QuotaCap
import org.agatestream.core.runningCap

/** The shares that a cap is split into, so that the loss of one owner stops a part of the work and not all. */
internal const val CAP_SHARES = 3

/** Returns the share by which the quota is owned. */
internal fun QuotaKey.toOwnedShare(): OwnedShare =
    when (this) {
        is QuotaKey.Server -> OwnedShare("slots/$id")
        is QuotaKey.Domain -> OwnedShare("running/$id", share, CAP_SHARES)
        is QuotaKey.Fleet -> OwnedShare("running", share, CAP_SHARES)
    }

/** Returns the quota's name in log lines. */
internal fun QuotaKey.toText(): String = toOwnedShare().let { if (it.count > 1) "${it.key}#${it.share}" else it.key }

/** Returns the scope of a cap on running requests, or null for the slots of a backend server. */
internal fun QuotaKey.toScope(): CapScope? =
    when (this) {
        is QuotaKey.Server -> null
        is QuotaKey.Domain -> CapScope.Domain(id)
        is QuotaKey.Fleet -> CapScope.Fleet
    }

/** Returns the part of this cap that the share of [key] grants. */
internal fun QuotaCap.shareOf(key: QuotaKey): QuotaCap = split(key.toOwnedShare().share, CAP_SHARES)

/** Returns the keys of the caps that cover a backend server, a list of shares for each cap. */
internal fun BackendServerSetting.capKeys(): List<List<QuotaKey>> =
    listOf(
        List(CAP_SHARES) { QuotaKey.Fleet(it) },
        List(CAP_SHARES) { QuotaKey.Domain(failureDomain, it) },
    )

/** Returns whether requests of the quota have to be counted now or within the lead before a window. */
internal fun LimitContext.isCounted(
    key: QuotaKey,
    fleet: FleetView,
): Boolean {
    val scope = key.toScope() ?: return true
    return fleet.runningCap(scope, wallTime(), times.capLead) != null
}
