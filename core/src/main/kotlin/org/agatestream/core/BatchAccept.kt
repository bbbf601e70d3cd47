package org.agatestream.core

import java.security.MessageDigest
import java.time.Instant
import java.util.HexFormat

/** Derives a job's id from the caller's [jobKey], so that a retry through any VM finds the same job. */
public fun jobIdOf(
    workspace: WorkspaceId,
    jobKey: String,
): JobId {
    val digest = MessageDigest.getInstance("SHA-256").digest("$workspace\n$jobKey".encodeToByteArray())
    return JobId(HexFormat.of().formatHex(digest, 0, JOB_ID_BYTES))
}

/** Parses a job's deadline: an RFC 3339 time or a number of seconds from [now]; fails with `MALFORMED_REQUEST`. */
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

/** Returns whether [target] is idempotent, which batch items require since they may run more than once. */
public fun FleetView.isBatchTarget(target: String): Boolean {
    val route = findOnlineRoute("POST", target) ?: return false
    return when (val found = route.getOrElse { return false }) {
        is OnlineRoute.Completion -> true
        is OnlineRoute.Service -> found.idempotent
        is OnlineRoute.Entries, is OnlineRoute.Models -> false
    }
}

/** Returns the transaction that accepts this job. */
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
 * Returns the transaction that removes [workspace] from the workspaces with open jobs.
 *
 * [accepted] is the version of the row [BatchNames.acceptedKey], read before the scan that found no open job. That row
 * is never deleted, so its version never recurs.
 */
public fun toIdleTransaction(
    workspace: WorkspaceId,
    accepted: RowVersion,
): Transaction =
    Transaction(
        conditions = listOf(RowCondition(BatchNames.acceptedKey(workspace), accepted)),
        writes = listOf(RowWrite(BatchNames.activeKey(workspace), null)),
    )

/** The next step of the VM that accepts a job. */
public sealed interface AcceptStep {
    /** The job is accepted; [fresh] is false if an earlier request accepted it. */
    public data class Accepted(
        public val job: JobRecord,
        public val fresh: Boolean,
    ) : AcceptStep

    /** The job is refused. */
    public data class Refused(
        public val failure: Failure,
    ) : AcceptStep

    /** The response was lost: commit the same transaction again. */
    public data object Retry : AcceptStep
}

/** Returns the next step after the response to commit number [attempt] (from 1) of [toAcceptTransaction]. */
public fun JobSpec.afterAccept(
    result: CommitResult,
    attempt: Int,
): AcceptStep =
    when (result) {
        is CommitResult.Committed -> AcceptStep.Accepted(JobRecord(this, JobState.OPEN), fresh = true)
        is CommitResult.Conflict -> matchExisting(JobRecord.parse(result.current.first().value))
        is CommitResult.Unknown if attempt < MAX_ACCEPT_ATTEMPTS -> AcceptStep.Retry
        is CommitResult.Unavailable if attempt == 1 -> AcceptStep.Refused(notStoredFailure())
        is CommitResult.Unavailable if attempt < MAX_ACCEPT_ATTEMPTS -> AcceptStep.Retry
        else -> AcceptStep.Refused(Failure(ErrorKind.CHANGE_PENDING, "the job may have been accepted; send it again"))
    }

/** Compares this job with the existing job of the same id. */
private fun JobSpec.matchExisting(existing: JobRecord): AcceptStep =
    if (existing.spec.digest == digest) {
        AcceptStep.Accepted(existing, fresh = existing.spec.upload == upload)
    } else {
        AcceptStep.Refused(keyReusedFailure())
    }

/** Returns the failure of a job whose idempotency key is in use for a different job. */
public fun keyReusedFailure(): Failure = Failure(ErrorKind.KEY_REUSED, "the idempotency key names another job")

private fun notStoredFailure(): Failure = Failure(ErrorKind.PLATFORM_UNAVAILABLE, "the job was not stored")

private const val JOB_ID_BYTES = 16
private const val MAX_ACCEPT_ATTEMPTS = 4
private const val MAX_DEADLINE_SECONDS = 366L * 24 * 3600
