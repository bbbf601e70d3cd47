package org.agatestream.core

import kotlinx.serialization.json.Json
import java.time.Instant

/** An operator's request to change settings; idempotent by its [change] id. */
public data class ConfigWrite(
    val change: ChangeId,
    val operator: KeyId,
    val changes: List<PathChange>,
    /** The expected revision of the last change by path, for optimistic locking; [Revision.NONE] if absent. */
    val expected: Map<String, Revision> = emptyMap(),
)

/** A validated change with its transaction and the resulting head. */
public data class PreparedWrite(
    val head: FleetHead,
    val transaction: Transaction,
    val entry: ConfigLogEntry,
)

/** The next step after the table's response to the transaction of a [PreparedWrite]. */
public sealed interface CommitStep {
    /** The change is durable at [head] and can be propagated. */
    public data class Committed(
        val head: FleetHead,
    ) : CommitStep

    /** Another change was committed first; prepare again with the latest state. */
    public data object RetryPrepare : CommitStep

    /** Read the row of the change id to learn whether the change took effect. */
    public data object ReadChange : CommitStep

    /** The change did not take effect. */
    public data class Refused(
        val failure: Failure,
    ) : CommitStep
}

/**
 * Validates [write] against this state and returns its transaction.
 *
 * [headRow] is the head row at which the state was read; the transaction conflicts if another change commits first.
 * Fails with `CHANGE_PENDING` if this state is not at the head's revision, with `REVISION_CONFLICT` if a path changed
 * since its expected revision, and with the failure of [validate].
 */
public fun ConfigState.prepare(
    write: ConfigWrite,
    headRow: Row?,
    at: Instant,
    validate: (Map<String, String>, Revision) -> Outcome<FleetView>,
): Outcome<PreparedWrite> {
    val head = headRow.toFleetHead()
    if (head.revision != revision) return ErrorKind.CHANGE_PENDING.toFailed("settings not read up to ${head.revision}")
    val conflict = write.expected.entries.firstOrNull { (path, expected) -> revisionOf(path) != expected }
    if (conflict != null) {
        val currentRevision = revisionOf(conflict.key)
        return ErrorKind.REVISION_CONFLICT.toFailed("${conflict.key} changed at revision $currentRevision")
    }
    val next = head.copy(revision = revision.next())
    val entry = ConfigLogEntry(next.revision, write.change, write.operator, at.toEpochMilli(), write.changes)
    return validate(apply(entry.toDelta()).values, next.revision).map {
        PreparedWrite(next, entry.toTransaction(headRow, next), entry)
    }
}

/** Returns the next step after the table responded to the transaction of this write with [result]. */
public fun PreparedWrite.onCommit(result: CommitResult): CommitStep =
    when (result) {
        CommitResult.Committed -> CommitStep.Committed(head)
        CommitResult.Unknown -> CommitStep.ReadChange
        CommitResult.Unavailable -> CommitStep.Refused(tableUnavailable())
        is CommitResult.Conflict -> if (hasChange(result)) CommitStep.ReadChange else CommitStep.RetryPrepare
    }

/** Returns the next step after reading the row of the change id and the log row that it names. */
public fun ConfigWrite.onChangeRead(
    changeRow: ReadResult<Row>,
    logRow: Row?,
    epoch: PlanEpoch,
): CommitStep =
    when (changeRow) {
        is ReadResult.Found -> onChangeFound(changeRow.value.toChangeRevision(), logRow, epoch)
        ReadResult.Absent -> CommitStep.RetryPrepare
        ReadResult.Unavailable -> CommitStep.Refused(tableUnavailable())
    }

private fun ConfigWrite.onChangeFound(
    revision: Revision,
    logRow: Row?,
    epoch: PlanEpoch,
): CommitStep =
    if (logRow != null && logRow.toConfigLogEntry().changes != changes) {
        CommitStep.Refused(Failure(ErrorKind.KEY_REUSED, "change id $change made another change at $revision"))
    } else {
        CommitStep.Committed(FleetHead(revision, epoch))
    }

private fun PreparedWrite.hasChange(conflict: CommitResult.Conflict): Boolean =
    conflict.current.any { it.key == entry.change.toChangeKey() && it.version != RowVersion.ABSENT }

private fun tableUnavailable(): Failure = Failure(ErrorKind.PLATFORM_UNAVAILABLE, "the table service did not answer")

private fun ConfigLogEntry.toTransaction(
    headRow: Row?,
    head: FleetHead,
): Transaction =
    Transaction(
        conditions =
            listOf(
                RowCondition(HEAD_KEY, headRow?.version ?: RowVersion.ABSENT),
                RowCondition(change.toChangeKey(), RowVersion.ABSENT),
            ),
        writes =
            changes.map { RowWrite(ENTRY_PREFIX + it.path, Json.encodeToString(ConfigEntry(it.value, revision))) } +
                RowWrite(revision.toLogKey(), Json.encodeToString(this)) +
                RowWrite(change.toChangeKey(), Json.encodeToString(revision)) +
                RowWrite(HEAD_KEY, Json.encodeToString(head)),
    )
