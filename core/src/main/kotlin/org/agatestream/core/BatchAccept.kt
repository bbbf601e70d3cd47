package org.agatestream.core

import java.security.MessageDigest
import java.time.Instant
import java.util.HexFormat

/** Derives the id of the job that a caller names by [jobKey], so that a resend finds it through any VM. */
public fun jobIdOf(
    workspace: WorkspaceId,
    jobKey: String,
): JobId {
    val digest = MessageDigest.getInstance("SHA-256").digest("$workspace\n$jobKey".encodeToByteArray())
    return JobId(HexFormat.of().formatHex(digest, 0, JOB_ID_BYTES))
}

/** Parses the deadline of a job: an RFC 3339 time, or seconds from [now]. */
public fun parseDeadline(
    text: String,
    now: Instant,
): Outcome<Instant> {
    val seconds = text.toLongOrNull()
    if (seconds != null) {
        if (seconds !in 0..MAX_DEADLINE_SECONDS) {
            return ErrorKind.MALFORMED_REQUEST.toFailed("the deadline is not within 0 to $MAX_DEADLINE_SECONDS seconds")
        }
        return now.plusSeconds(seconds).toOk()
    }
    return runCatching {
        java.time.OffsetDateTime
            .parse(text)
            .toInstant()
            .toOk()
    }.getOrElse { ErrorKind.MALFORMED_REQUEST.toFailed("the deadline is no RFC 3339 time and no number of seconds") }
}

/** Returns whether every run of [target] may be repeated, as a batch item's run must be. */
public fun FleetView.isBatchTarget(target: String): Boolean {
    val route = findOnlineRoute("POST", target) ?: return false
    return when (val found = route.getOrElse { return false }) {
        is OnlineRoute.Completion -> true
        is OnlineRoute.Service -> found.idempotent
        is OnlineRoute.Entries, is OnlineRoute.Models -> false
    }
}

/** Makes the transaction that accepts a job. */
public fun JobSpec.toAcceptTransaction(): Transaction {
    val key = BatchNames.jobKey(workspace, id)
    return Transaction(
        conditions = listOf(RowCondition(key, RowVersion.ABSENT)),
        writes =
            listOf(
                RowWrite(key, JobRecord(this, JobState.OPEN).toRowValue()),
                RowWrite(BatchNames.openKey(this), toRowValue()),
                RowWrite(BatchNames.activeKey(workspace), "{}"),
                RowWrite(BatchNames.acceptedKey(workspace), "{}"),
            ),
    )
}

/**
 * Makes the transaction that takes [workspace] off the workspaces with open jobs.
 *
 * The row of [BatchNames.acceptedKey] must have been read at [accepted] before no open job was found. That row is
 * never deleted, so its version never comes again.
 */
public fun toIdleTransaction(
    workspace: WorkspaceId,
    accepted: RowVersion,
): Transaction =
    Transaction(
        conditions = listOf(RowCondition(BatchNames.acceptedKey(workspace), accepted)),
        writes = listOf(RowWrite(BatchNames.activeKey(workspace), null)),
    )

/** What the accepting VM does next. */
public sealed interface AcceptStep {
    /** The job is accepted; [fresh] is false if an earlier call accepted it. */
    public data class Accepted(
        public val job: JobRecord,
        public val fresh: Boolean,
    ) : AcceptStep

    /** The job is refused. */
    public data class Refused(
        public val failure: Failure,
    ) : AcceptStep

    /** The answer was lost: commit the same transaction again. */
    public data object Repeat : AcceptStep
}

/** Decides on the answer to the [attempt]th commit of [toAcceptTransaction], counted from 1. */
public fun JobSpec.afterAccept(
    result: CommitResult,
    attempt: Int,
): AcceptStep =
    when (result) {
        is CommitResult.Committed -> AcceptStep.Accepted(JobRecord(this, JobState.OPEN), fresh = true)
        is CommitResult.Conflict -> matchExisting(JobRecord.parse(result.current.first().value))
        is CommitResult.Unknown if attempt < MAX_ACCEPT_ATTEMPTS -> AcceptStep.Repeat
        is CommitResult.Unavailable if attempt == 1 -> AcceptStep.Refused(notStored())
        is CommitResult.Unavailable if attempt < MAX_ACCEPT_ATTEMPTS -> AcceptStep.Repeat
        else -> AcceptStep.Refused(Failure(ErrorKind.CHANGE_PENDING, "the job may have been accepted; send it again"))
    }

/** Compares this job with the one that holds its id already. */
private fun JobSpec.matchExisting(existing: JobRecord): AcceptStep =
    if (existing.spec.digest == digest) {
        AcceptStep.Accepted(existing, fresh = existing.spec.upload == upload)
    } else {
        AcceptStep.Refused(reused())
    }

/** The failure of a job whose key already names another one. */
public fun reused(): Failure = Failure(ErrorKind.KEY_REUSED, "the idempotency key names another job")

private fun notStored(): Failure = Failure(ErrorKind.PLATFORM_UNAVAILABLE, "the job was not stored")

private const val JOB_ID_BYTES = 16
private const val MAX_ACCEPT_ATTEMPTS = 4
private const val MAX_DEADLINE_SECONDS = 366L * 24 * 3600
