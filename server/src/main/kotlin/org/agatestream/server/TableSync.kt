package org.agatestream.server

import kotlinx.coroutines.sync.Mutex
import kotlinx.coroutines.sync.withLock
import org.agatestream.core.ConfigDelta
import org.agatestream.core.ConfigEntry
import org.agatestream.core.ConfigLogEntry
import org.agatestream.core.ConfigState
import org.agatestream.core.ENTRY_PREFIX
import org.agatestream.core.FleetHead
import org.agatestream.core.HEAD_KEY
import org.agatestream.core.LOG_PREFIX
import org.agatestream.core.MonotonicTime
import org.agatestream.core.PLAN_KEY
import org.agatestream.core.Plan
import org.agatestream.core.ReadResult
import org.agatestream.core.Revision
import org.agatestream.core.Row
import org.agatestream.core.TableService
import org.agatestream.core.toConfigEntry
import org.agatestream.core.toConfigLogEntry
import org.agatestream.core.toFleetHead
import org.agatestream.core.toLogKey
import org.agatestream.core.toPlan

private const val PAGE_ROWS = 1000

/** Returns the row, or null if there is none; calls [onUnavailable] if the table did not respond. */
internal inline fun ReadResult<Row>.rowOr(onUnavailable: () -> Nothing): Row? =
    when (this) {
        is ReadResult.Found -> value
        ReadResult.Absent -> null
        ReadResult.Unavailable -> onUnavailable()
    }

/** Reads settings and plan from the table into a [FleetStore]. */
internal class TableSync(
    private val table: TableService,
    private val store: FleetStore,
    private val clock: () -> MonotonicTime,
) {
    private val syncMutex = Mutex()

    /** Reads the head and catches up with it if behind. Returns whether the table responded. */
    suspend fun readHead(): Boolean {
        val sentAt = clock()
        val head = table.read(HEAD_KEY).rowOr { return false }.toFleetHead()
        val state = store.update { it.onTableHead(head, sentAt) }
        return state.head.covers(head) || catchUp(head)
    }

    /** Reads from the table until this VM is at or past [head]; returns false if it isn't, as after a failed read. */
    suspend fun catchUp(head: FleetHead): Boolean =
        syncMutex.withLock {
            if (store.state.head.covers(head)) return true
            val config = store.state.config
            val delta = (if (config.revision == Revision.NONE) readAll(head) else readLog(config)) ?: return false
            val plan = if (store.state.plan.epoch >= head.epoch) store.state.plan else readPlan() ?: return false
            store.apply(delta, plan)
            store.state.head.covers(head)
        }

    /** Reads up to [limit] accepted changes after [after], oldest first; null if the table did not respond. */
    suspend fun history(
        after: Revision,
        limit: Int,
    ): List<ConfigLogEntry>? =
        when (val rows = table.scan(LOG_PREFIX, after.toLogKey(), limit)) {
            is ReadResult.Found -> rows.value.map { it.toConfigLogEntry() }
            ReadResult.Absent -> emptyList()
            ReadResult.Unavailable -> null
        }

    private suspend fun readPlan(): Plan? = table.read(PLAN_KEY).rowOr { return null }.toPlan()

    private suspend fun readLog(config: ConfigState): ConfigDelta? {
        var upTo = config.revision
        val entries = HashMap<String, ConfigEntry>()
        while (true) {
            val page = history(upTo, PAGE_ROWS) ?: return null
            for (log in page) {
                entries += log.toDelta().entries
                upTo = log.revision
            }
            if (page.size < PAGE_ROWS) return ConfigDelta(config.revision, upTo, entries)
        }
    }

    /** Reads all entries page by page, then the log of the changes made during that read. */
    private suspend fun readAll(head: FleetHead): ConfigDelta? {
        val entries = HashMap<String, ConfigEntry>()
        var after = ""
        while (true) {
            val page = table.scan(ENTRY_PREFIX, after, PAGE_ROWS)
            val rows = if (page is ReadResult.Found) page.value else emptyList()
            if (page is ReadResult.Unavailable) return null
            for (row in rows) entries[row.key.removePrefix(ENTRY_PREFIX)] = row.toConfigEntry()
            if (rows.size < PAGE_ROWS) break
            after = rows.last().key
        }
        val later = readLog(ConfigState(head.revision)) ?: return null
        for ((path, entry) in later.entries) {
            entries.merge(path, entry) { old, new -> maxOf(old, new, compareBy { it.revision }) }
        }
        return ConfigDelta(Revision.NONE, later.upTo, entries)
    }
}
