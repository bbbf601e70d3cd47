package org.agatestream.server

import org.agatestream.core.MonotonicTime
import org.agatestream.core.RateAccount
import org.agatestream.core.ShareCounts
import org.agatestream.core.ShareOwnership
import org.agatestream.core.ShareSetting
import org.agatestream.core.WorkspaceId
import org.agatestream.core.take
import org.agatestream.core.toShare
import org.agatestream.core.updatedFor
import java.util.concurrent.ConcurrentHashMap

/** Returns the key of the shares of a workspace's rate. */
internal fun WorkspaceId.toLimitKey(): String = "rate/$value"

/** Grants tokens of the workspace shares that this VM owns. */
internal class TokenOwner(
    private val context: LimitContext,
) {
    private val accounts = ConcurrentHashMap<ShareId, RateAccount>()

    @Volatile
    private var shareCounts = ShareCounts(context.startedAt)
    private val granted = context.registry.counter("agatestream.limit.tokens", "result", "granted")
    private val refused = context.registry.counter("agatestream.limit.tokens", "result", "refused")

    /** Applies the settings now in force and records when the number of shares of a workspace changes. */
    @Synchronized
    fun updateShareCounts(now: MonotonicTime): ShareCounts {
        shareCounts = shareCounts.apply(context.fleet(), now)
        return shareCounts
    }

    fun handle(request: TokenGrantRequest): TokenGrantResponse = TokenGrantResponse(request.takes.map { grantFor(it) })

    private fun grantFor(request: WorkspaceTokenRequest): WorkspaceTokenGrant {
        val setting = context.fleet().workspaces[request.workspace]?.setting ?: return NOT_OWNER
        val now = context.now()
        val count = shareCounts[request.workspace] ?: updateShareCounts(now)[request.workspace] ?: return NOT_OWNER
        val share = OwnedShare(request.workspace.toLimitKey(), request.share, count.number)
        val since = context.rights.ownedSince(share, now) ?: return NOT_OWNER
        val span = context.times.admission.grantSpan
        val settledAt = count.since + context.times.settingPropagation + span
        val ownership = ShareOwnership(since, settledAt, inheritedGrantsUsableAt = since + span)
        return grantTokens(request, ownership, setting.toShare(count.number), now)
    }

    private fun grantTokens(
        request: WorkspaceTokenRequest,
        ownership: ShareOwnership,
        setting: ShareSetting,
        now: MonotonicTime,
    ): WorkspaceTokenGrant {
        var grant = NOT_OWNER
        accounts.compute(ShareId(request.workspace, request.share)) { _, old ->
            val account = old.updatedFor(ownership, setting, now)
            val taken = account.take(request.toTokenRequest(), now)
            taken?.let { grant = it.second.toMessage() }
            taken?.first ?: account
        }
        granted.increment((grant.ready + grant.delayed + grant.ahead).toDouble())
        refused.increment((request.needed - grant.ready - grant.delayed).toDouble())
        return grant
    }

    private data class ShareId(
        val workspace: WorkspaceId,
        val share: Int,
    )

    private companion object {
        val NOT_OWNER = WorkspaceTokenGrant(isOwner = false)
    }
}
