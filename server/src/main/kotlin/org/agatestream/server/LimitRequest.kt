@file:OptIn(ExperimentalSerializationApi::class)

package org.agatestream.server

import kotlinx.serialization.ExperimentalSerializationApi
import kotlinx.serialization.SerialName
import kotlinx.serialization.Serializable
import kotlinx.serialization.cbor.CborLabel
import org.agatestream.core.BackendServerId
import org.agatestream.core.ClassCounts
import org.agatestream.core.FailureDomainId
import org.agatestream.core.ServerResults
import org.agatestream.core.TokenGrant
import org.agatestream.core.TokenRequest
import org.agatestream.core.WorkspaceId
import kotlin.time.Duration
import kotlin.time.Duration.Companion.microseconds
import kotlin.time.Duration.Companion.milliseconds

/** A request to the owner of a limit, or from an owner to a holder. */
@Serializable
public sealed interface LimitRequest : PeerRequest

/** The response to a [LimitRequest]. */
@Serializable
public sealed interface LimitResponse : PeerResponse

/** Requests tokens of one or more workspaces. */
@Serializable
@SerialName("t")
public data class TokenGrantRequest(
    @CborLabel(1) val takes: List<WorkspaceTokenRequest>,
) : LimitRequest

/** Requests tokens of one share of a workspace. */
@Serializable
public data class WorkspaceTokenRequest(
    @CborLabel(1) val workspace: WorkspaceId,
    @CborLabel(2) val share: Int,
    @CborLabel(3) val needed: Int,
    @CborLabel(4) val ahead: Int = 0,
    @CborLabel(5) val maxWaitMillis: Int = 0,
    @CborLabel(6) val holdMillis: Int = 0,
    /** How long the sender waits for the response. */
    @CborLabel(7) val answerWithinMillis: Int = 0,
)

/** The grants for the entries of a [TokenGrantRequest], in the same order. */
@Serializable
@SerialName("g")
public data class TokenGrantResponse(
    @CborLabel(1) val grants: List<WorkspaceTokenGrant>,
) : LimitResponse

/** The tokens that a share granted. */
@Serializable
public data class WorkspaceTokenGrant(
    @CborLabel(1) val ready: Int = 0,
    @CborLabel(2) val delayed: Int = 0,
    @CborLabel(3) val firstWaitMicros: Long = 0,
    @CborLabel(4) val spacingMicros: Long = 0,
    @CborLabel(5) val ahead: Int = 0,
    @CborLabel(6) val nextTokenInMicros: Long = 0,
    /** False if the VM does not own the share, in which case nothing is granted. */
    @CborLabel(7) val isOwner: Boolean = true,
)

/** Identifies a limit on concurrent requests that has one owner. */
@Serializable
public sealed interface QuotaKey {
    /** The slots of one backend server. */
    @Serializable
    @SerialName("s")
    public data class Server(
        @CborLabel(1) val id: BackendServerId,
    ) : QuotaKey

    /** One share of the cap of a failure domain. */
    @Serializable
    @SerialName("d")
    public data class Domain(
        @CborLabel(1) val id: FailureDomainId,
        @CborLabel(2) val share: Int,
    ) : QuotaKey

    /** One share of the cap of the whole fleet. */
    @Serializable
    @SerialName("f")
    public data class Fleet(
        @CborLabel(1) val share: Int,
    ) : QuotaKey
}

/** Reports to the owner what the sender holds of a quota and requests more. */
@Serializable
@SerialName("q")
public data class QuotaLeaseRequest(
    @CborLabel(1) val key: QuotaKey,
    @CborLabel(2) val sequence: Long,
    @CborLabel(3) val keeps: ClassCounts = ClassCounts.NONE,
    @CborLabel(4) val wants: ClassCounts = ClassCounts.NONE,
    /** The results that the sender observed of a backend server since its last request. */
    @CborLabel(5) val results: ServerResults = ServerResults.NONE,
) : LimitRequest

/** The response to a [QuotaLeaseRequest]. */
@Serializable
@SerialName("l")
public data class QuotaLeaseResponse(
    @CborLabel(1) val granted: ClassCounts = ClassCounts.NONE,
    @CborLabel(2) val mayKeepBatch: Int = 0,
    @CborLabel(3) val scarce: Boolean = false,
    /** The requests of all VMs as recorded by the owner. */
    @CborLabel(4) val inUse: Int = 0,
    /** The current limit on concurrent requests. */
    @CborLabel(5) val cap: Int = 0,
    /** False if the VM does not own the quota, in which case nothing is granted. */
    @CborLabel(6) val isOwner: Boolean = true,
) : LimitResponse

/** Requires a holder to cancel batch items down to [keepBatch] and to release its idle quota. */
@Serializable
@SerialName("w")
public data class ReduceQuotaRequest(
    @CborLabel(1) val key: QuotaKey,
    @CborLabel(2) val keepBatch: Int,
) : LimitRequest

/** Acknowledges a [ReduceQuotaRequest]. */
@Serializable
@SerialName("y")
public data object ReduceQuotaResponse : LimitResponse

internal fun TokenRequest.toMessage(
    workspace: WorkspaceId,
    share: Int,
): WorkspaceTokenRequest =
    WorkspaceTokenRequest(
        workspace = workspace,
        share = share,
        needed = needed,
        ahead = prefetchCount,
        maxWaitMillis = maxWait.inWholeMilliseconds.toInt(),
        holdMillis = if (prefetchCount > 0) prefetchValidity.inWholeMilliseconds.toInt() else 0,
        answerWithinMillis = responseTimeout.inWholeMilliseconds.toInt(),
    )

internal fun WorkspaceTokenRequest.toTokenRequest(): TokenRequest =
    TokenRequest(needed, ahead, maxWaitMillis.milliseconds, holdMillis.milliseconds, answerWithinMillis.milliseconds)

internal fun TokenGrant.toMessage(): WorkspaceTokenGrant =
    WorkspaceTokenGrant(
        ready = ready,
        delayed = delayed,
        firstWaitMicros = firstWait.toMicros(),
        spacingMicros = spacing.toMicros(),
        ahead = prefetchCount,
        nextTokenInMicros = nextTokenIn.toMicros(),
    )

internal fun WorkspaceTokenGrant.toGrant(): TokenGrant =
    TokenGrant(
        ready = ready,
        delayed = delayed,
        firstWait = firstWaitMicros.microseconds,
        spacing = spacingMicros.microseconds,
        prefetchCount = ahead,
        nextTokenIn = nextTokenInMicros.microseconds,
    )

// Rounded up, so that no token is used early.
private fun Duration.toMicros(): Long = (inWholeNanoseconds.coerceAtMost(MAX_WAIT_NANOS) + 999) / 1000

private const val MAX_WAIT_NANOS = 3_600_000_000_000L
