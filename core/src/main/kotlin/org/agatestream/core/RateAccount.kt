package org.agatestream.core

/** How a VM came to own a share of a workspace's rate. */
public data class RateRight(
    /** Since when the VM has owned the share without a break. */
    val since: MonotonicTime,
    /** When every owner knows the present number of shares and what it granted before has counted. */
    val settledAt: MonotonicTime,
    /** When all tokens that the owner before granted for later have counted. */
    val inheritedAt: MonotonicTime,
)

/** An owner's account of a share; it counts only under the right that it was begun with. */
public data class RateAccount(
    val since: MonotonicTime,
    /** The share grants nothing before this time. */
    val begins: MonotonicTime,
    val share: TokenShare,
)

/** The number of shares of a workspace as one VM knows it. */
public data class ShareCount(
    val number: Int,
    /** When the VM learned the number. */
    val since: MonotonicTime,
)

/** The numbers of shares of all workspaces; they are compared at each revision, so that no change is missed. */
public data class ShareCounts(
    private val startedAt: MonotonicTime,
    private val byWorkspace: Map<WorkspaceId, ShareCount> = emptyMap(),
) {
    /** Takes down the settings that are in force from [now] on. */
    public fun apply(
        fleet: FleetView,
        now: MonotonicTime,
    ): ShareCounts =
        copy(
            byWorkspace =
                byWorkspace +
                    fleet.workspaces.mapValues { (id, workspace) -> next(id, workspace.setting.shareCount(), now) },
        )

    /** Returns the present number for a workspace, or null if it isn't known. */
    public operator fun get(workspace: WorkspaceId): ShareCount? = byWorkspace[workspace]

    private fun next(
        id: WorkspaceId,
        number: Int,
        now: MonotonicTime,
    ): ShareCount {
        val old = byWorkspace[id] ?: return ShareCount(number, startedAt)
        return if (old.number == number) old else ShareCount(number, now)
    }
}

/**
 * Returns the account as it stands under [right] and [setting] at [now].
 *
 * An account of an earlier right is worthless, since others may have granted in between; the share starts empty. After a
 * change of the number of shares nothing grows before it is settled.
 */
public fun RateAccount?.under(
    right: RateRight,
    setting: ShareSetting,
    now: MonotonicTime,
): RateAccount {
    val begins = maxOf(right.inheritedAt, right.settledAt)
    return when {
        this == null || since != right.since -> RateAccount(right.since, begins, TokenShare.empty(setting, begins))
        (share.raise?.setting ?: share.setting) == setting -> this
        else -> copy(share = share.change(setting, now, maxOf(now, right.settledAt)))
    }
}

/** Takes tokens at [now]; returns null before the share begins. */
public fun RateAccount.take(
    take: TokenTake,
    now: MonotonicTime,
): Pair<RateAccount, TokenGrant>? {
    if (now < begins) return null
    val (left, grant) = share.take(take, now)
    return copy(share = left) to grant
}
