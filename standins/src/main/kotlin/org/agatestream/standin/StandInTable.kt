package org.agatestream.standin

import org.agatestream.core.CommitResult
import org.agatestream.core.Row
import org.agatestream.core.RowVersion
import org.agatestream.core.Transaction
import java.util.TreeMap

/** An in-memory table with serializable transactions. */
internal class StandInTable {
    private val rows = TreeMap<String, Row>()

    @Synchronized
    fun read(key: String): Row? = rows[key]

    /** Returns up to [limit] rows whose keys start with [prefix] and come after [after], in key order. */
    @Synchronized
    fun scan(
        prefix: String,
        after: String,
        limit: Int,
    ): List<Row> =
        rows
            .tailMap(maxOf(prefix, after), true)
            .values
            .asSequence()
            .filter { it.key > after }
            .takeWhile { it.key.startsWith(prefix) }
            .take(limit)
            .toList()

    @Synchronized
    fun commit(transaction: Transaction): CommitResult {
        val unmet = transaction.conditions.filter { current(it.key).version != it.version }
        if (unmet.isNotEmpty()) return CommitResult.Conflict(unmet.map { current(it.key) })
        transaction.writes.forEach { write ->
            val value = write.value
            if (value == null) {
                rows.remove(write.key)
            } else {
                rows[write.key] = Row(write.key, value, RowVersion(current(write.key).version.value + 1))
            }
        }
        return CommitResult.Committed
    }

    private fun current(key: String): Row = rows[key] ?: Row(key, "", RowVersion.ABSENT)
}
