package org.agatestream.server

import org.agatestream.core.RowChange
import org.agatestream.core.RowStore
import org.agatestream.core.StoredRow
import org.agatestream.core.VmId
import org.agatestream.core.WriteResult

/** The VMs that the store lists, including this one's own entry. */
internal class VmRoster(
    private val config: PlatformVmConfig,
    private val self: VmId,
    private val store: RowStore,
) {
    private class Entry(
        val record: VmRecord,
        val version: Long,
    )

    private val entries = HashMap<String, Entry>()
    private var isOwnEntryCurrent = false

    val size: Int get() = entries.size

    /** All listed VMs. */
    val all: List<LiveVm> get() = entries.map { (name, entry) -> entry.record.toLive(name) }

    /** The listed VMs that are not marked as silent. */
    val responsive: List<LiveVm>
        get() = entries.filterValues { !it.record.isSilent }.map { (name, entry) -> entry.record.toLive(name) }

    /** Drops all entries before a full read. */
    fun clear() {
        entries.clear()
        isOwnEntryCurrent = false
    }

    /** Applies the row of the VM [name]. */
    fun applyRow(
        name: String,
        row: StoredRow,
    ) {
        val record = row.value?.let { FleetTables.decode(VmRecord.serializer(), it) }
        if (record == null) entries -= name else entries[name] = Entry(record, row.version)
        if (name == config.name) isOwnEntryCurrent = record?.id == self && !record.isSilent
    }

    /** Writes this VM's entry unless the store's is up to date. */
    suspend fun ensureListed() {
        if (isOwnEntryCurrent) return
        val own = VmRecord(self, config.callerAddress, config.peerAddress, config.failureDomain)
        val result = store.write(emptyMap(), listOf(RowChange(FleetTables.vm(config.name), encode(own))))
        isOwnEntryCurrent = result is WriteResult.Written
    }

    /** Marks a VM as silent, so that VMs without contact to the coordinator learn of it too. */
    suspend fun markSilent(name: String) {
        val entry = entries[name] ?: return
        EventLog.info("vm_marked_silent", "vm" to entry.record.id)
        val row = FleetTables.vm(name)
        store.write(mapOf(row to entry.version), listOf(RowChange(row, encode(entry.record.copy(isSilent = true)))))
    }

    /** Deletes the entry of a VM that leaves or has been silent for long. */
    suspend fun unlist(name: String) {
        if (name !in entries) return
        EventLog.info("vm_unlisted", "vm" to name)
        store.write(emptyMap(), listOf(RowChange(FleetTables.vm(name), null)))
    }

    private fun encode(record: VmRecord): ByteArray = FleetTables.encode(VmRecord.serializer(), record)

    private fun VmRecord.toLive(name: String): LiveVm = LiveVm(id, name, caller, peer, domain)
}
