package org.agatestream.server

import org.agatestream.core.CommitResult
import org.agatestream.core.CommitStep
import org.agatestream.core.ConfigWrite
import org.agatestream.core.ErrorKind
import org.agatestream.core.Failure
import org.agatestream.core.FleetHead
import org.agatestream.core.HEAD_KEY
import org.agatestream.core.MonotonicTime
import org.agatestream.core.Outcome
import org.agatestream.core.PlanEpoch
import org.agatestream.core.PreparedWrite
import org.agatestream.core.ReadResult
import org.agatestream.core.Revision
import org.agatestream.core.TableService
import org.agatestream.core.onChangeRead
import org.agatestream.core.onCommit
import org.agatestream.core.prepare
import org.agatestream.core.toChangeKey
import org.agatestream.core.toChangeRevision
import org.agatestream.core.toFailed
import org.agatestream.core.toFleetHead
import org.agatestream.core.toLogKey
import org.agatestream.core.toOk
import java.time.Instant
import kotlin.time.Duration
import kotlin.time.Duration.Companion.seconds

private const val MAX_ATTEMPTS = 8
private val IN_FORCE_TIMEOUT: Duration = 4.seconds

/** Changes the configuration: commits to the table, then waits until a majority of the planned VMs has applied it. */
internal class ConfigWriter(
    private val table: TableService,
    private val store: FleetStore,
    private val sync: TableSync,
    private val propagator: ChangePropagator,
    private val clock: () -> MonotonicTime,
) {
    /**
     * Makes the change and returns its revision once it is in force.
     *
     * Fails with `CHANGE_PENDING` if it may be durable but was not confirmed in force; a retry with the same change id
     * returns its outcome.
     */
    suspend fun put(
        write: ConfigWrite,
        at: Instant,
    ): Outcome<Revision> {
        val head =
            when (val committed = commit(write, at)) {
                is Outcome.Failed -> return committed
                is Outcome.Ok -> committed.value
            }
        sync.catchUp(head)
        val isInForce = store.state.head.covers(head) && propagator.propagate(clock() + IN_FORCE_TIMEOUT)
        EventLog.info("change_made", "change" to write.change, "revision" to head.revision, "in_force" to isInForce)
        if (isInForce) return head.revision.toOk()
        return ErrorKind.CHANGE_PENDING.toFailed("revision ${head.revision} is durable but not yet seen in force")
    }

    private suspend fun commit(
        write: ConfigWrite,
        at: Instant,
    ): Outcome<FleetHead> {
        var mayBeCommitted = false
        repeat(MAX_ATTEMPTS) {
            when (val step = attempt(write, at) { mayBeCommitted = true }) {
                is CommitStep.Committed -> return step.head.toOk()
                is CommitStep.Refused -> return Outcome.Failed(step.failure.orPending(mayBeCommitted))
                CommitStep.RetryPrepare, CommitStep.ReadChange -> Unit
            }
        }
        return ErrorKind.CHANGE_PENDING.toFailed("other changes were faster $MAX_ATTEMPTS times")
    }

    private suspend fun attempt(
        write: ConfigWrite,
        at: Instant,
        onUnknown: () -> Unit,
    ): CommitStep {
        val recorded = readChange(write)
        if (recorded != CommitStep.RetryPrepare) return recorded
        val headRow = table.read(HEAD_KEY).rowOr { return refused() }
        if (!sync.catchUp(headRow.toFleetHead())) return refused()
        val prepared =
            when (val outcome = store.state.config.prepare(write, headRow, at, store.parse)) {
                is Outcome.Failed -> return outcome.failure.toStep()
                is Outcome.Ok -> outcome.value
            }
        return commit(prepared, write, onUnknown)
    }

    private suspend fun commit(
        prepared: PreparedWrite,
        write: ConfigWrite,
        onUnknown: () -> Unit,
    ): CommitStep {
        val result = table.commit(prepared.transaction)
        if (result == CommitResult.Unknown) onUnknown()
        val step = prepared.onCommit(result)
        if (step is CommitStep.Committed) store.apply(prepared.entry.toDelta(), store.state.plan)
        return if (step == CommitStep.ReadChange) readChange(write) else step
    }

    private suspend fun readChange(write: ConfigWrite): CommitStep {
        val row = table.read(write.change.toChangeKey())
        val revision = (row as? ReadResult.Found)?.value?.toChangeRevision()
        val log = revision?.let { table.read(it.toLogKey()).rowOr { return refused() } }
        return write.onChangeRead(row, log, PlanEpoch(0))
    }

    private fun Failure.toStep(): CommitStep =
        if (kind == ErrorKind.CHANGE_PENDING) CommitStep.RetryPrepare else CommitStep.Refused(this)

    private fun refused(): CommitStep =
        CommitStep.Refused(Failure(ErrorKind.PLATFORM_UNAVAILABLE, "the table service did not answer"))

    private fun Failure.orPending(mayBeCommitted: Boolean): Failure =
        if (mayBeCommitted && kind == ErrorKind.PLATFORM_UNAVAILABLE) copy(kind = ErrorKind.CHANGE_PENDING) else this
}
