package org.agatestream.core

/** A VM's ownership of a share of a workspace's rate. */
public data class ShareOwnership(
    /** Start of the VM's uninterrupted ownership. */
    val since: MonotonicTime,
    /** When all owners know the current number of shares and all tokens granted under the former one are usable. */
    val settledAt: MonotonicTime,
    /** When the delayed tokens that the previous owner granted have all become usable. */
    val inheritedGrantsUsableAt: MonotonicTime,
)

/** An owner's account of a share; valid only during the ownership in which it was opened. */
public data class RateAccount(
    /** Start of the ownership, as in [ShareOwnership.since]. */
    val since: MonotonicTime,
    /** The share grants nothing before this time. */
    val startsAt: MonotonicTime,
    val share: TokenShare,
)

/** The number of shares of a workspace, as known to one VM. */
public data class ShareCount(
    val number: Int,
    /** When the VM learned the number. */
    val since: MonotonicTime,
)

/** The numbers of shares of all workspaces, compared at each revision so that no change is missed. */
public data class ShareCounts(
    private val startedAt: MonotonicTime,
    private val byWorkspace: Map<WorkspaceId, ShareCount> = emptyMap(),
) {
    /** Returns the counts after applying the settings that are in force from [now] on. */
    public fun apply(
        fleet: FleetView,
        now: MonotonicTime,
    ): ShareCounts =
        copy(
            byWorkspace =
                byWorkspace +
                    fleet.workspaces.mapValues { (id, workspace) ->
                        updatedCount(id, workspace.setting.shareCount(), now)
                    },
        )

    /** Returns the current number for [workspace], or null if it isn't known. */
    public operator fun get(workspace: WorkspaceId): ShareCount? = byWorkspace[workspace]

    private fun updatedCount(
        id: WorkspaceId,
        number: Int,
        now: MonotonicTime,
    ): ShareCount {
        val previous = byWorkspace[id] ?: return ShareCount(number, startedAt)
        return if (previous.number == number) previous else ShareCount(number, now)
    }
}

/**
 * Returns the account under [ownership] and [setting] at [now].
 *
 * The share starts empty if this account is from an earlier ownership, since another owner may have granted tokens in
 * between. After a change of the number of shares no share grows before [ShareOwnership.settledAt].
 */
public fun RateAccount?.updatedFor(
    ownership: ShareOwnership,
    setting: ShareSetting,
    now: MonotonicTime,
): RateAccount {
    val startsAt = maxOf(ownership.inheritedGrantsUsableAt, ownership.settledAt)
    return when {
        this == null || since != ownership.since -> {
            RateAccount(
                ownership.since,
                startsAt,
                TokenShare.empty(setting, startsAt),
            )
        }

        (share.pendingIncrease?.setting ?: share.setting) == setting -> {
            this
        }

        else -> {
            copy(share = share.change(setting, now, maxOf(now, ownership.settledAt)))
        }
    }
}

/** Returns the account after [request] at [now] with the granted tokens, or null before [RateAccount.startsAt]. */
public fun RateAccount.take(
    request: TokenRequest,
    now: MonotonicTime,
): Pair<RateAccount, TokenGrant>? {
    if (now < startsAt) return null
    val (remaining, grant) = share.take(request, now)
    return copy(share = remaining) to grant
}
