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
import org.agatestream.core.TokenTake
import org.agatestream.core.WorkspaceId
import kotlin.time.Duration
import kotlin.time.Duration.Companion.microseconds
import kotlin.time.Duration.Companion.milliseconds

/** An ask to the owner of a limit. */
@Serializable
public sealed interface LimitAsk : PeerAsk

/** The answer of the owner of a limit. */
@Serializable
public sealed interface LimitAnswer : PeerAnswer

/** Asks for tokens of one or more workspaces. */
@Serializable
@SerialName("t")
public data class TokenAsk(
    @CborLabel(1) val takes: List<WorkspaceTake>,
) : LimitAsk

/** Asks for tokens of one share of a workspace. */
@Serializable
public data class WorkspaceTake(
    @CborLabel(1) val workspace: WorkspaceId,
    @CborLabel(2) val share: Int,
    @CborLabel(3) val needed: Int,
    @CborLabel(4) val ahead: Int = 0,
    @CborLabel(5) val maxWaitMillis: Int = 0,
    @CborLabel(6) val holdMillis: Int = 0,
    /** How long the sender waits for the answer. */
    @CborLabel(7) val answerWithinMillis: Int = 0,
)

/** The answers to the takes of a [TokenAsk], in their order. */
@Serializable
@SerialName("g")
public data class TokenAnswer(
    @CborLabel(1) val grants: List<WorkspaceGrant>,
) : LimitAnswer

/** What a share granted. */
@Serializable
public data class WorkspaceGrant(
    @CborLabel(1) val ready: Int = 0,
    @CborLabel(2) val delayed: Int = 0,
    @CborLabel(3) val firstWaitMicros: Long = 0,
    @CborLabel(4) val spacingMicros: Long = 0,
    @CborLabel(5) val ahead: Int = 0,
    @CborLabel(6) val nextTokenInMicros: Long = 0,
    /** False if the VM does not own the share; then it granted nothing. */
    @CborLabel(7) val isOwner: Boolean = true,
)

/** A number of requests that may run at once, as a limit with one owner. */
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

/** Tells the owner what the sender keeps of a quota and asks for more. */
@Serializable
@SerialName("q")
public data class QuotaLeaseAsk(
    @CborLabel(1) val key: QuotaKey,
    @CborLabel(2) val sequence: Long,
    @CborLabel(3) val keeps: ClassCounts = ClassCounts.NONE,
    @CborLabel(4) val wants: ClassCounts = ClassCounts.NONE,
    /** What the sender saw of a backend server since its last ask. */
    @CborLabel(5) val results: ServerResults = ServerResults.NONE,
) : LimitAsk

/** The answer to a [QuotaLeaseAsk]. */
@Serializable
@SerialName("l")
public data class QuotaLeaseAnswer(
    @CborLabel(1) val granted: ClassCounts = ClassCounts.NONE,
    @CborLabel(2) val mayKeepBatch: Int = 0,
    @CborLabel(3) val scarce: Boolean = false,
    /** Requests of all VMs, in the owner's account. */
    @CborLabel(4) val inUse: Int = 0,
    /** Requests that may run at once at present. */
    @CborLabel(5) val cap: Int = 0,
    /** False if the VM does not own the quota; then it granted nothing. */
    @CborLabel(6) val isOwner: Boolean = true,
) : LimitAnswer

/** Tells a holder to cancel batch items down to [keepBatch] and to give back what it doesn't use. */
@Serializable
@SerialName("w")
public data class GiveWayAsk(
    @CborLabel(1) val key: QuotaKey,
    @CborLabel(2) val keepBatch: Int,
) : LimitAsk

/** Says that a [GiveWayAsk] was taken down. */
@Serializable
@SerialName("y")
public data object GiveWayAnswer : LimitAnswer

internal fun TokenTake.toMessage(
    workspace: WorkspaceId,
    share: Int,
): WorkspaceTake =
    WorkspaceTake(
        workspace = workspace,
        share = share,
        needed = needed,
        ahead = ahead,
        maxWaitMillis = maxWait.inWholeMilliseconds.toInt(),
        holdMillis = if (ahead > 0) hold.inWholeMilliseconds.toInt() else 0,
        answerWithinMillis = answerWithin.inWholeMilliseconds.toInt(),
    )

internal fun WorkspaceTake.toTake(): TokenTake =
    TokenTake(needed, ahead, maxWaitMillis.milliseconds, holdMillis.milliseconds, answerWithinMillis.milliseconds)

internal fun TokenGrant.toMessage(): WorkspaceGrant =
    WorkspaceGrant(
        ready = ready,
        delayed = delayed,
        firstWaitMicros = firstWait.toMicros(),
        spacingMicros = spacing.toMicros(),
        ahead = ahead,
        nextTokenInMicros = nextTokenIn.toMicros(),
    )

internal fun WorkspaceGrant.toGrant(): TokenGrant =
    TokenGrant(
        ready = ready,
        delayed = delayed,
        firstWait = firstWaitMicros.microseconds,
        spacing = spacingMicros.microseconds,
        ahead = ahead,
        nextTokenIn = nextTokenInMicros.microseconds,
    )

// Rounded up, so that no token counts early.
private fun Duration.toMicros(): Long = (inWholeNanoseconds.coerceAtMost(MOST_WAIT_NANOS) + 999) / 1000

private const val MOST_WAIT_NANOS = 3_600_000_000_000L
