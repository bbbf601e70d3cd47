package org.agatestream.server

import org.agatestream.core.Outcome
import org.agatestream.core.RowChange
import org.agatestream.core.RowName
import org.agatestream.core.RowPage
import org.agatestream.core.RowStore
import org.agatestream.core.ServiceId
import org.agatestream.core.StoreRead
import org.agatestream.core.StoreTime
import org.agatestream.core.StoredRow
import org.agatestream.core.WriteResult
import org.agatestream.core.rollout.RolloutRecord
import org.agatestream.core.rollout.RolloutStatus
import org.agatestream.platform.RolloutStatusRows
import org.agatestream.platform.encodeRolloutStatus
import org.agatestream.platform.parseRolloutStatus

/** What the store holds of a service's latest roll-out. */
internal class StoredRollout(
    val record: RolloutRecord?,
    val status: RolloutStatus?,
    private val recordVersion: Long,
    private val statusVersion: Long,
    /** The version of the row that names the coordinator; 0 if there is none. */
    val coordinatorVersion: Long,
    /** When the store made this snapshot; null if it did not say. */
    val readAt: StoreTime?,
) {
    /** Returns the conditions of a write that replaces this content, by the coordinator named in [coordinatorVersion]. */
    fun conditions(service: ServiceId): Map<RowName, Long> =
        mapOf(
            FleetTables.rollout(service) to recordVersion,
            RolloutStatusRows.of(service) to statusVersion,
            FleetTables.coordinator to coordinatorVersion,
        )
}

/** Reads and writes the rows of roll-outs. */
internal class RolloutRows(
    private val store: RowStore,
) {
    /** Returns the rows of [service]; null if the store does not answer. */
    suspend fun read(service: ServiceId): StoredRollout? {
        val coordinator = readRow(FleetTables.coordinator) ?: return null
        val status = readRow(RolloutStatusRows.of(service)) ?: return null
        val record = readRow(FleetTables.rollout(service)) ?: return null
        val recordRow = record.rows.firstOrNull()
        val statusRow = status.rows.firstOrNull()
        return StoredRollout(
            record = recordRow?.value?.let { FleetTables.decode(RolloutRecord.serializer(), it) },
            status = statusRow?.let { readStatus(it) },
            recordVersion = recordRow?.version ?: 0,
            statusVersion = statusRow?.version ?: 0,
            coordinatorVersion = coordinator.rows.firstOrNull()?.version ?: 0,
            readAt = record.readAt,
        )
    }

    /** Returns the status of [service]; null if there is none or the store does not answer. */
    suspend fun readStatus(service: ServiceId): RolloutStatus? =
        readRow(RolloutStatusRows.of(service))?.rows?.firstOrNull()?.let { readStatus(it) }

    /** Writes [record] and the status that goes with it, if the store still has [known]. */
    suspend fun write(
        service: ServiceId,
        known: StoredRollout,
        record: RolloutRecord,
    ): WriteResult {
        val status = RolloutStatus(record.stage.outcome, record.target)
        val value = FleetTables.encode(RolloutRecord.serializer(), record)
        val changes = arrayListOf(RowChange(FleetTables.rollout(service), value))
        if (status != known.status) changes += RowChange(RolloutStatusRows.of(service), encodeRolloutStatus(status))
        return store.write(known.conditions(service), changes)
    }

    private suspend fun readRow(name: RowName): RowPage? =
        (store.rows(name.table, name.partition, name.key, name.key + '\u0000', 1) as? StoreRead.Found)?.value

    private fun readStatus(row: StoredRow): RolloutStatus? {
        val value = row.value ?: return null
        return when (val parsed = parseRolloutStatus(value)) {
            is Outcome.Ok -> {
                parsed.value
            }

            is Outcome.Failed -> {
                EventLog.warn("rollout_status_unreadable", "row" to row.name.key, "reason" to parsed.failure.message)
                null
            }
        }
    }
}
