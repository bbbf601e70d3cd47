package org.agatestream.server

import kotlinx.coroutines.delay
import org.agatestream.core.Backoff
import org.agatestream.core.BatchNames
import org.agatestream.core.Checkpoint
import org.agatestream.core.CheckpointStep
import org.agatestream.core.JobRecord
import org.agatestream.core.ReadResult
import org.agatestream.core.Row
import org.agatestream.core.Transaction

/** Stores the results of a checkpoint, then commits its row; repeats until the outcome is known. */
internal class CheckpointWriter(
    private val ports: BatchPorts,
) {
    private val backoff = Backoff()

    /** Commits the row, which makes the results readable; call it after [storeResults]. */
    suspend fun commit(checkpoint: Checkpoint): CheckpointStep {
        var failures = 0
        while (true) {
            val transaction = transactionOf(checkpoint) ?: return CheckpointStep.Lost
            val step = checkpoint.afterCommit(ports.table.commit(transaction))
            if (step is CheckpointStep.Committed || step is CheckpointStep.Lost) return step
            delay(backoff.delay(++failures, ports.random))
        }
    }

    /** Stores the results under a name that no row refers to yet. */
    suspend fun storeResults(checkpoint: Checkpoint) {
        val name = checkpoint.objectName ?: return
        val bytes = checkpoint.toObject()
        var failures = 0
        while (!ports.objects.put(name, bytes)) delay(backoff.delay(++failures, ports.random))
    }

    private suspend fun transactionOf(checkpoint: Checkpoint): Transaction? {
        if (!checkpoint.completes) return checkpoint.toTransaction()
        val row = readJob(checkpoint) ?: return null
        return checkpoint.toTransaction(JobRecord.parse(row.value), row.version)
    }

    private suspend fun readJob(checkpoint: Checkpoint): Row? {
        val key = BatchNames.jobKey(checkpoint.spec.workspace, checkpoint.spec.id)
        var failures = 0
        while (true) {
            when (val row = ports.table.read(key)) {
                is ReadResult.Found -> return row.value
                is ReadResult.Absent -> return null
                is ReadResult.Unavailable -> delay(backoff.delay(++failures, ports.random))
            }
        }
    }
}
