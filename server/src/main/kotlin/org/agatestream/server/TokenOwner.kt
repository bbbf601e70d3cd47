package org.agatestream.server

import org.agatestream.core.MonotonicTime
import org.agatestream.core.TokenShare
import org.agatestream.core.WorkspaceId
import org.agatestream.core.WorkspaceSetting
import org.agatestream.core.shareCount
import org.agatestream.core.toShare
import java.util.concurrent.ConcurrentHashMap

/** Returns the name by which the shares of a workspace's rate are owned. */
internal fun WorkspaceId.toLimitKey(): String = "rate/$value"

/** Grants tokens of the workspace shares that this VM owns. */
internal class TokenOwner(
    private val context: LimitContext,
) {
    private val shares = ConcurrentHashMap<OwnedShareId, OwnedTokens>()
    private val counts = ConcurrentHashMap<WorkspaceId, ShareCount>()
    private val granted = context.registry.counter("agatestream.limit.tokens", "result", "granted")
    private val refused = context.registry.counter("agatestream.limit.tokens", "result", "refused")

    fun answer(ask: TokenAsk): TokenAnswer = TokenAnswer(ask.takes.map { answer(it) })

    private fun answer(take: WorkspaceTake): WorkspaceGrant {
        val setting = context.fleet().workspaces[take.workspace]?.setting ?: return NOT_OWNER
        val now = context.now()
        val count = countOf(take.workspace, setting, now)
        val share = OwnedShare(take.workspace.toLimitKey(), take.share, count.number)
        val since = context.rights.ownedSince(share, now) ?: return NOT_OWNER
        return take(take, Right(since, count), setting, now)
    }

    private fun take(
        take: WorkspaceTake,
        right: Right,
        setting: WorkspaceSetting,
        now: MonotonicTime,
    ): WorkspaceGrant {
        var grant = NOT_OWNER
        shares.compute(OwnedShareId(take.workspace, take.share)) { _, old ->
            val share = old.under(right, setting, now)
            if (now < share.at) return@compute OwnedTokens(right.since, share)
            val (left, taken) = share.take(take.toTake(), now)
            grant = taken.toMessage()
            OwnedTokens(right.since, left)
        }
        granted.increment((grant.ready + grant.delayed + grant.ahead).toDouble())
        refused.increment((take.needed - grant.ready - grant.delayed).toDouble())
        return grant
    }

    /**
     * Returns the share under the present setting; one that was lost in between starts empty.
     *
     * After a change of the number of shares nothing grows until every other owner knows of it.
     */
    private fun OwnedTokens?.under(
        right: Right,
        setting: WorkspaceSetting,
        now: MonotonicTime,
    ): TokenShare {
        val wanted = setting.toShare(right.count.number)
        val settled = right.count.changedAt?.plus(context.times.settingSpread)
        return when {
            this == null || since != right.since -> TokenShare.empty(wanted, maxOf(right.since, settled ?: right.since))
            share.setting == wanted && share.raise == null -> share
            share.raise?.setting == wanted -> share
            else -> share.change(wanted, now, maxOf(now, settled ?: now))
        }
    }

    private fun countOf(
        workspace: WorkspaceId,
        setting: WorkspaceSetting,
        now: MonotonicTime,
    ): ShareCount {
        val number = setting.shareCount()
        return counts.compute(workspace) { _, old ->
            when {
                old == null -> ShareCount(number, changedAt = null)
                old.number == number -> old
                else -> ShareCount(number, changedAt = now)
            }
        }!!
    }

    private data class OwnedShareId(
        val workspace: WorkspaceId,
        val share: Int,
    )

    private class OwnedTokens(
        val since: MonotonicTime,
        val share: TokenShare,
    )

    private class ShareCount(
        val number: Int,
        /** When this VM saw the number change, or null if it never did. */
        val changedAt: MonotonicTime?,
    )

    private class Right(
        val since: MonotonicTime,
        val count: ShareCount,
    )

    private companion object {
        val NOT_OWNER = WorkspaceGrant(isOwner = false)
    }
}
