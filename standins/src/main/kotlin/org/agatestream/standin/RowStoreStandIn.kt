package org.agatestream.standin

import kotlinx.coroutines.delay
import kotlinx.coroutines.withTimeoutOrNull
import kotlinx.serialization.SerialName
import kotlinx.serialization.Serializable
import org.agatestream.http.query
import java.util.Base64
import kotlin.time.Duration.Companion.milliseconds

/** Stands in for the users' platform's store of rows and objects. */
internal class RowStoreStandIn : AutoCloseable {
    private val server = StandInServer(::handle)
    private val restricted = StandInServer { if (turnsSomeAway) refuse(it) else handle(it) }
    private val rows = LinkedHashMap<Triple<String, String, String>, StoreRow>()
    private val objects = HashMap<String, ByteArray>()
    private var version = 0L

    /** True while every call is refused. */
    @Volatile
    var isDown: Boolean = false

    /** True while every call at the second address is refused. */
    @Volatile
    var turnsSomeAway: Boolean = false

    /** Listens on loopback and returns the port; 0 takes a free one. */
    fun listen(port: Int): Int = server.listen(port)

    /** Listens at a second address, whose callers may be turned away, and returns its port; 0 takes a free one. */
    fun listenForSome(port: Int): Int = restricted.listen(port)

    /** Writes a row of an operator or a backend server. */
    fun put(
        table: String,
        key: String,
        text: String,
    ) {
        val value = Base64.getEncoder().encodeToString(text.encodeToByteArray())
        synchronized(rows) { apply(StoreTransaction(upserts = listOf(StoreRow(table, "", key, value)))) }
    }

    /** Returns the text of a row, or null if there is none. */
    fun valueOf(
        table: String,
        key: String,
    ): String? {
        val value = synchronized(rows) { rows[Triple(table, "", key)]?.value } ?: return null
        return Base64.getDecoder().decode(value).decodeToString()
    }

    override fun close() {
        server.close()
        restricted.close()
    }

    private suspend fun refuse(received: StandInCall): Unit = received.call.respond(STATUS_REFUSED, JSON, ByteArray(0))

    private suspend fun handle(received: StandInCall) {
        if (isDown) return refuse(received)
        val verb = received.path.removePrefix("/-/")
        when (verb.substringBefore('/')) {
            "rows-tx" -> transact(received)
            "rows-get" -> received.respondJson(STATUS_OK, StorePage.serializer(), read(received))
            "rows-parts" -> received.respondJson(STATUS_OK, StoreParts.serializer(), parts(received))
            "rows-feed" -> received.respondJson(STATUS_OK, StorePage.serializer(), awaitChanges(received))
            "blob-put" -> put(received, verb.substringAfter('/'))
            "blob-get" -> get(received, verb.substringAfter('/'))
            "blob-drop" -> received.call.respond(STATUS_OK, JSON, ByteArray(0)).also { drop(verb.substringAfter('/')) }
            else -> received.call.respond(STATUS_NOT_FOUND, JSON, ByteArray(0))
        }
    }

    private suspend fun transact(received: StandInCall) {
        val asked = received.parse(StoreTransaction.serializer())
        val conflict =
            synchronized(rows) {
                val current = asked.expected.mapNotNull { rows[it.name]?.takeIf { row -> row.value != null } }
                val holds = asked.expected.all { (liveVersion(it) ?: 0L) == (it.ver ?: 0L) }
                if (holds) apply(asked)
                if (holds) null else StorePage(current, version)
            }
        if (conflict == null) {
            received.respondJson(STATUS_OK, StorePage.serializer(), StorePage(ver = version))
        } else {
            received.respondJson(STATUS_CONFLICT, StorePage.serializer(), conflict)
        }
    }

    private fun liveVersion(row: StoreRow): Long? = rows[row.name]?.takeIf { it.value != null }?.ver

    private fun apply(asked: StoreTransaction) {
        version++
        for (row in asked.upserts) rows[row.name] = row.copy(ver = version)
        for (row in asked.remove) rows[row.name] = row.copy(value = null, ver = version, removed = true)
    }

    private fun read(received: StandInCall): StorePage {
        val call = received.call
        val from = call.query("From")
        val to = call.query("To")
        val limit = call.query("Limit")?.toInt() ?: MAX_ROWS
        return synchronized(rows) {
            val all =
                rows.values
                    .filter {
                        it.table == call.query("Table") && it.part == call.query("part").orEmpty() &&
                            it.value != null
                    }.filter { (from == null || it.key >= from) && (to == null || it.key < to) }
                    .sortedBy { it.key }
            StorePage(all.take(limit), version, all.size > limit)
        }
    }

    private fun parts(received: StandInCall): StoreParts =
        synchronized(rows) {
            val table = rows.values.filter { it.table == received.call.query("Table") && it.value != null }
            StoreParts(table.map { it.part }.distinct().sorted())
        }

    private suspend fun awaitChanges(received: StandInCall): StorePage {
        val table = received.call.query("Table")
        val after = received.call.query("After")?.toLong() ?: 0
        val wait = received.call.query("WaitMs")?.toLong() ?: 0
        val changed =
            withTimeoutOrNull(wait.milliseconds) {
                var page = changes(table, after)
                while (page.rows.isEmpty()) {
                    delay(POLL)
                    page = changes(table, after)
                }
                page
            }
        return changed ?: changes(table, after)
    }

    private fun changes(
        table: String?,
        after: Long,
    ): StorePage =
        synchronized(rows) {
            val changed = rows.values.filter { it.table == table && (it.ver ?: 0) > after }
            StorePage(changed.sortedBy { it.ver }, version)
        }

    private suspend fun put(
        received: StandInCall,
        name: String,
    ) {
        val isNew = synchronized(rows) { objects.putIfAbsent(name, received.body) == null }
        received.call.respond(if (isNew) STATUS_OK else STATUS_CONFLICT, JSON, ByteArray(0))
    }

    private suspend fun get(
        received: StandInCall,
        name: String,
    ) {
        val bytes = synchronized(rows) { objects[name] }
        received.call.respond(if (bytes == null) STATUS_NOT_FOUND else STATUS_OK, BYTES, bytes ?: ByteArray(0))
    }

    private fun drop(name: String) {
        synchronized(rows) { objects -= name }
    }

    private companion object {
        const val STATUS_OK = 200
        const val STATUS_NOT_FOUND = 404
        const val STATUS_CONFLICT = 412
        const val STATUS_REFUSED = 503
        const val MAX_ROWS = 500
        const val JSON = "application/json"
        const val BYTES = "application/octet-stream"
        val POLL = 5.milliseconds
    }
}

@Serializable
private data class StoreRow(
    @SerialName("Table") val table: String,
    @SerialName("part") val part: String = "",
    @SerialName("Key") val key: String,
    @SerialName("Value") val value: String? = null,
    @SerialName("Ver") val ver: Long? = null,
    @SerialName("Removed") val removed: Boolean = false,
) {
    val name: Triple<String, String, String> get() = Triple(table, part, key)
}

@Serializable
private class StoreTransaction(
    @SerialName("ExpectedRev") val expected: List<StoreRow> = emptyList(),
    @SerialName("Upserts") val upserts: List<StoreRow> = emptyList(),
    @SerialName("Remove") val remove: List<StoreRow> = emptyList(),
)

@Serializable
private class StorePage(
    @SerialName("Rows") val rows: List<StoreRow> = emptyList(),
    @SerialName("Ver") val ver: Long = 0,
    @SerialName("HasMore") val hasMore: Boolean = false,
)

@Serializable
private class StoreParts(
    @SerialName("parts") val parts: List<String>,
    @SerialName("HasMore") val hasMore: Boolean = false,
)
