package org.agatestream.server

import kotlinx.coroutines.delay
import org.agatestream.core.Backoff
import org.agatestream.core.BatchNames
import org.agatestream.core.ChunkClaim
import org.agatestream.core.ChunkObservation
import org.agatestream.core.ChunkRecord
import org.agatestream.core.ClaimStep
import org.agatestream.core.FairShare
import org.agatestream.core.GoneVms
import org.agatestream.core.HolderEvidence
import org.agatestream.core.JobId
import org.agatestream.core.JobSpec
import org.agatestream.core.MonotonicTime
import org.agatestream.core.ReadResult
import org.agatestream.core.Row
import org.agatestream.core.RowVersion
import org.agatestream.core.WorkspaceId
import org.agatestream.core.afterCommit
import org.agatestream.core.claimExisting
import org.agatestream.core.claimFresh
import org.agatestream.core.parseJobSpec
import org.agatestream.core.toIdleTransaction
import kotlin.time.Duration.Companion.seconds

/** A chunk that this VM has claimed by a commit sent at [sentAt]. */
internal class ClaimedChunk(
    val claim: ChunkClaim,
    val sentAt: MonotonicTime,
) {
    val key: String = BatchNames.chunkKey(claim.spec.id, claim.record.index)
}

/**
 * Finds a chunk to work on: the workspace that is furthest behind its share, its job with the earliest deadline,
 * and a free chunk of that job. Each search reads a bounded number of rows.
 */
internal class ChunkSearch(
    private val ports: BatchPorts,
) {
    private val backoff = Backoff()
    private val observations = LruMap<String, ChunkObservation>(MAX_OBSERVATIONS)
    private val noFreeChunkUntil = LruMap<JobId, MonotonicTime>(MAX_OBSERVATIONS)
    private val cursors = LruMap<JobId, Int>(MAX_OBSERVATIONS)
    private var fairShare = FairShare()
    private var goneVms = GoneVms()
    private var consecutiveFailures = 0

    /** Claims a chunk that is not among [held], or returns null. */
    suspend fun next(held: Set<String>): ClaimedChunk? {
        goneVms = goneVms.onList(ports.coordination.vms.map { it.id })
        val rows = scan(BatchNames.ACTIVE_PREFIX, "", MAX_WORKSPACES) ?: return null
        val active = rows.map { WorkspaceId(it.key.removePrefix(BatchNames.ACTIVE_PREFIX)) }
        val salt = ports.self.hashCode()
        var triedJobs = 0
        for (workspace in fairShare.order(active) { it.hashCode() xor salt }) {
            for (spec in openJobs(workspace)) {
                if (triedJobs++ >= MAX_JOBS) return null
                val claimed = claimFrom(spec, held) ?: continue
                fairShare = fairShare.recordServed(workspace, ports.rules.maxChunkItems, weightOf(workspace), active)
                return claimed
            }
        }
        return null
    }

    private fun weightOf(workspace: WorkspaceId): Int =
        ports.coordination.fleet.workspaces[workspace]
            ?.setting
            ?.batchWeight ?: 1

    /** Returns the jobs of [workspace] by deadline, without those that recently had no free chunk. */
    private suspend fun openJobs(workspace: WorkspaceId): List<JobSpec> {
        val accepted = ports.table.read(BatchNames.acceptedKey(workspace)) as? ReadResult.Found ?: return emptyList()
        var after = ""
        repeat(MAX_PAGES) { page ->
            val rows = scan(BatchNames.openPrefix(workspace), after, JOB_PAGE) ?: return emptyList()
            if (rows.isEmpty()) {
                if (page == 0) removeIdle(workspace, accepted.value.version)
                return emptyList()
            }
            val now = ports.clock()
            val specs = rows.map { parseJobSpec(it.value) }.filter { (noFreeChunkUntil[it.id] ?: now) <= now }
            if (specs.isNotEmpty()) return specs
            after = rows.last().key
        }
        return emptyList()
    }

    private suspend fun removeIdle(
        workspace: WorkspaceId,
        accepted: RowVersion,
    ) {
        ports.table.commit(toIdleTransaction(workspace, accepted))
    }

    private suspend fun claimFrom(
        spec: JobSpec,
        held: Set<String>,
    ): ClaimedChunk? {
        val first = cursors[spec.id] ?: ports.random.nextInt(spec.chunks)
        var start = first
        repeat(MAX_WINDOWS) {
            val end = minOf(start + CHUNK_PAGE, spec.chunks)
            val claims = claimsIn(spec, start, end, held) ?: return null
            for (claim in claims.shuffled(ports.random).take(MAX_CLAIMS)) commit(claim)?.let { return it }
            start = if (end == spec.chunks) 0 else end
            cursors[spec.id] = start
        }
        noFreeChunkUntil[spec.id] =
            ports.clock() + NO_FREE_CHUNK_DELAY / 2 + NO_FREE_CHUNK_DELAY * ports.random.nextDouble()
        return null
    }

    /** Lists the claimable chunks from [start] until [end], exclusive; null if the table does not respond. */
    private suspend fun claimsIn(
        spec: JobSpec,
        start: Int,
        end: Int,
        held: Set<String>,
    ): List<ChunkClaim>? {
        val after = if (start == 0) "" else BatchNames.chunkKey(spec.id, start - 1)
        val rows = scan(BatchNames.chunkPrefix(spec.id), after, end - start) ?: return null
        val byKey = rows.associateBy { it.key }
        val now = ports.clock()
        return (start until end).mapNotNull { index ->
            val key = BatchNames.chunkKey(spec.id, index)
            val row = byKey[key]
            when {
                key in held -> null
                row == null -> spec.claimFresh(index, ports.self)
                else -> spec.claimExisting(row, holderEvidence(row), ports.self, now, ports.rules)
            }
        }
    }

    /** Returns the evidence on the liveness of the row's holder, and records the row's version if it is new. */
    private fun holderEvidence(row: Row): HolderEvidence {
        val holder = ChunkRecord.parse(row.value).holder ?: return HolderEvidence.None
        if (holder in goneVms) return HolderEvidence.Gone
        val known = observations[row.key]
        if (known?.version == row.version) return HolderEvidence.Unchanged(known)
        observations[row.key] = ChunkObservation(row.version, ports.clock())
        return HolderEvidence.None
    }

    private suspend fun commit(claim: ChunkClaim): ClaimedChunk? {
        val sentAt = ports.clock()
        var attempt = 1
        while (true) {
            when (claim.afterCommit(ports.table.commit(claim.toTransaction()), attempt)) {
                ClaimStep.HELD -> return ClaimedChunk(claim, sentAt)
                ClaimStep.MISSED -> return null
                ClaimStep.REPEAT -> delay(backoff.delay(attempt++, ports.random))
            }
        }
    }

    /** Scans with a growing backoff after failures, so that the VMs do not all return at once after an outage. */
    private suspend fun scan(
        prefix: String,
        after: String,
        limit: Int,
    ): List<Row>? =
        when (val rows = ports.table.scan(prefix, after, limit)) {
            is ReadResult.Found -> {
                consecutiveFailures = 0
                rows.value
            }

            is ReadResult.Absent -> {
                emptyList()
            }

            is ReadResult.Unavailable -> {
                delay(backoff.delay(++consecutiveFailures, ports.random))
                null
            }
        }

    private companion object {
        const val MAX_OBSERVATIONS = 4_096
        const val MAX_WORKSPACES = 1_000
        const val MAX_JOBS = 4
        const val MAX_PAGES = 4
        const val JOB_PAGE = 32
        const val CHUNK_PAGE = 100
        const val MAX_WINDOWS = 4
        const val MAX_CLAIMS = 4
        val NO_FREE_CHUNK_DELAY = 2.seconds
    }
}
