package org.agatestream.standin

import kotlinx.coroutines.delay
import kotlinx.coroutines.withTimeoutOrNull
import kotlinx.serialization.SerialName
import kotlinx.serialization.Serializable
import org.agatestream.http.query
import java.util.Base64
import kotlin.time.Duration.Companion.milliseconds

/** An in-memory row and object store of the users' platform for tests. */
internal class RowStoreStandIn : AutoCloseable {
    private val server = StandInServer(::handle)
    private val restrictedServer = StandInServer { if (isRestrictedDown) refuse(it) else handle(it) }
    private val rows = LinkedHashMap<Triple<String, String, String>, StoreRow>()
    private val objects = HashMap<String, ByteArray>()
    private var version = 0L

    /** While true, all calls are refused with status 503. */
    @Volatile
    var isDown: Boolean = false

    /** While true, all calls at the restricted address are refused with status 503. */
    @Volatile
    var isRestrictedDown: Boolean = false

    /** Listens on loopback and returns the port; 0 selects a free one. */
    fun listen(port: Int): Int = server.listen(port)

    /** Listens at the restricted address and returns its port; 0 selects a free one. */
    fun listenRestricted(port: Int): Int = restrictedServer.listen(port)

    /** Writes a row, as an operator or a backend server does. */
    fun put(
        table: String,
        key: String,
        text: String,
    ) {
        putAll(table, mapOf(key to text))
    }

    /** Writes rows, by their keys, in one transaction, so that no reader sees a part of them. */
    fun putAll(
        table: String,
        texts: Map<String, String>,
    ) {
        val upserts =
            texts.map { (key, text) ->
                StoreRow(table, "", key, Base64.getEncoder().encodeToString(text.encodeToByteArray()))
            }
        synchronized(rows) { apply(StoreTransaction(upserts = upserts)) }
    }

    /** Returns the text of a row, or null if the row does not exist. */
    fun valueOf(
        table: String,
        key: String,
    ): String? {
        val value = synchronized(rows) { rows[Triple(table, "", key)]?.value } ?: return null
        return Base64.getDecoder().decode(value).decodeToString()
    }

    override fun close() {
        server.close()
        restrictedServer.close()
    }

    private suspend fun refuse(received: StandInCall): Unit =
        received.httpCall.respond(STATUS_UNAVAILABLE, JSON, ByteArray(0))

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
            "blob-drop" -> delete(received, verb.substringAfter('/'))
            else -> received.httpCall.respond(STATUS_NOT_FOUND, JSON, ByteArray(0))
        }
    }

    private suspend fun transact(received: StandInCall) {
        val transaction = received.parse(StoreTransaction.serializer())
        val conflict =
            synchronized(rows) {
                val current = transaction.expected.mapNotNull { rows[it.name]?.takeIf { row -> row.value != null } }
                val isExpected = transaction.expected.all { (liveVersion(it) ?: 0L) == (it.ver ?: 0L) }
                if (isExpected) apply(transaction)
                if (isExpected) null else StorePage(current, version)
            }
        if (conflict == null) {
            received.respondJson(STATUS_OK, StorePage.serializer(), StorePage(ver = version))
        } else {
            received.respondJson(STATUS_CONFLICT, StorePage.serializer(), conflict)
        }
    }

    private fun liveVersion(row: StoreRow): Long? = rows[row.name]?.takeIf { it.value != null }?.ver

    private fun apply(transaction: StoreTransaction) {
        version++
        for (row in transaction.upserts) rows[row.name] = row.copy(ver = version)
        for (row in transaction.remove) rows[row.name] = row.copy(value = null, ver = version, removed = true)
    }

    private fun read(received: StandInCall): StorePage {
        val call = received.httpCall
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
            val table = rows.values.filter { it.table == received.httpCall.query("Table") && it.value != null }
            StoreParts(table.map { it.part }.distinct().sorted())
        }

    private suspend fun awaitChanges(received: StandInCall): StorePage {
        val table = received.httpCall.query("Table")
        val after = received.httpCall.query("After")?.toLong() ?: 0
        val wait = received.httpCall.query("WaitMs")?.toLong() ?: 0
        val changed =
            withTimeoutOrNull(wait.milliseconds) {
                var page = changes(table, after)
                while (page.rows.isEmpty()) {
                    delay(POLL_INTERVAL)
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
        received.httpCall.respond(if (isNew) STATUS_OK else STATUS_CONFLICT, JSON, ByteArray(0))
    }

    private suspend fun get(
        received: StandInCall,
        name: String,
    ) {
        val bytes = synchronized(rows) { objects[name] }
        received.httpCall.respond(if (bytes == null) STATUS_NOT_FOUND else STATUS_OK, BYTES, bytes ?: ByteArray(0))
    }

    private suspend fun delete(
        received: StandInCall,
        name: String,
    ) {
        received.httpCall.respond(STATUS_OK, JSON, ByteArray(0))
        synchronized(rows) { objects -= name }
    }

    private companion object {
        const val STATUS_OK = 200
        const val STATUS_NOT_FOUND = 404
        const val STATUS_CONFLICT = 412
        const val STATUS_UNAVAILABLE = 503
        const val MAX_ROWS = 500
        const val JSON = "application/json"
        const val BYTES = "application/octet-stream"
        val POLL_INTERVAL = 5.milliseconds
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
    @SerialName("NowMs") val nowMs: Long = System.nanoTime() / NANOS_PER_MILLI,
)

private const val NANOS_PER_MILLI = 1_000_000

@Serializable
private class StoreParts(
    @SerialName("parts") val parts: List<String>,
    @SerialName("HasMore") val hasMore: Boolean = false,
)
