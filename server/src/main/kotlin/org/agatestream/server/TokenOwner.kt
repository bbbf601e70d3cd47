package org.agatestream.server

import org.agatestream.core.MonotonicTime
import org.agatestream.core.RateAccount
import org.agatestream.core.RateRight
import org.agatestream.core.ShareCounts
import org.agatestream.core.ShareSetting
import org.agatestream.core.WorkspaceId
import org.agatestream.core.take
import org.agatestream.core.toShare
import org.agatestream.core.under
import java.util.concurrent.ConcurrentHashMap

/** Returns the name by which the shares of a workspace's rate are owned. */
internal fun WorkspaceId.toLimitKey(): String = "rate/$value"

/** Grants tokens of the workspace shares that this VM owns. */
internal class TokenOwner(
    private val context: LimitContext,
) {
    private val accounts = ConcurrentHashMap<ShareId, RateAccount>()

    @Volatile
    private var counts = ShareCounts(context.startedAt)
    private val granted = context.registry.counter("agatestream.limit.tokens", "result", "granted")
    private val refused = context.registry.counter("agatestream.limit.tokens", "result", "refused")

    /** Takes down the settings now in force, so that a changed number of shares is known from then on. */
    @Synchronized
    fun learn(now: MonotonicTime): ShareCounts {
        counts = counts.apply(context.fleet(), now)
        return counts
    }

    fun answer(ask: TokenAsk): TokenAnswer = TokenAnswer(ask.takes.map { answer(it) })

    private fun answer(take: WorkspaceTake): WorkspaceGrant {
        val setting = context.fleet().workspaces[take.workspace]?.setting ?: return NOT_OWNER
        val now = context.now()
        val count = counts[take.workspace] ?: learn(now)[take.workspace] ?: return NOT_OWNER
        val share = OwnedShare(take.workspace.toLimitKey(), take.share, count.number)
        val since = context.rights.ownedSince(share, now) ?: return NOT_OWNER
        val span = context.times.admission.grantSpan
        val settledAt = count.since + context.times.settingSpread + span
        return take(take, RateRight(since, settledAt, inheritedAt = since + span), setting.toShare(count.number), now)
    }

    private fun take(
        take: WorkspaceTake,
        right: RateRight,
        setting: ShareSetting,
        now: MonotonicTime,
    ): WorkspaceGrant {
        var grant = NOT_OWNER
        accounts.compute(ShareId(take.workspace, take.share)) { _, old ->
            val account = old.under(right, setting, now)
            val taken = account.take(take.toTake(), now)
            taken?.let { grant = it.second.toMessage() }
            taken?.first ?: account
        }
        granted.increment((grant.ready + grant.delayed + grant.ahead).toDouble())
        refused.increment((take.needed - grant.ready - grant.delayed).toDouble())
        return grant
    }

    private data class ShareId(
        val workspace: WorkspaceId,
        val share: Int,
    )

    private companion object {
        val NOT_OWNER = WorkspaceGrant(isOwner = false)
    }
}
