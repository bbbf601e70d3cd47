package org.agatestream.server

import kotlinx.coroutines.CoroutineScope
import kotlinx.coroutines.delay
import kotlinx.coroutines.withTimeoutOrNull
import kotlinx.serialization.ExperimentalSerializationApi
import kotlinx.serialization.SerialName
import kotlinx.serialization.Serializable
import kotlinx.serialization.cbor.ByteString
import org.agatestream.core.MonotonicTime
import org.agatestream.core.RowChange
import org.agatestream.core.RowName
import org.agatestream.core.RowPage
import org.agatestream.core.RowStore
import org.agatestream.core.StoreRead
import org.agatestream.core.VmId
import org.agatestream.core.WriteResult
import java.io.ByteArrayOutputStream
import kotlin.time.Duration
import kotlin.time.Duration.Companion.milliseconds
import kotlin.time.Duration.Companion.seconds

/** A store call that a VM without access to the store sends to another VM. */
@Serializable
@SerialName("org.agatestream.server.StoreAsk")
internal sealed interface StoreRequest : PeerRequest {
    @Serializable
    @SerialName("store-rows")
    class Rows(
        val table: String,
        @SerialName("part")
        val partition: String,
        val from: String?,
        val to: String?,
        val limit: Int?,
    ) : StoreRequest

    @Serializable
    @SerialName("store-write")
    class Write(
        val expected: List<ExpectedRow>,
        val changes: List<RowChange>,
    ) : StoreRequest

    @OptIn(ExperimentalSerializationApi::class)
    @Serializable
    @SerialName("store-put")
    class PutObject(
        val name: String,
        @ByteString val bytes: ByteArray,
    ) : StoreRequest

    @Serializable
    @SerialName("store-get")
    class GetObject(
        val name: String,
        /** The position of the piece that is asked for; null from builds that ask for the whole object. */
        val from: Int? = null,
    ) : StoreRequest
}

@Serializable
internal class ExpectedRow(
    val name: RowName,
    val version: Long,
)

/** The result of a relayed read: a page of rows or bytes of an object; both are null if it [isGone] or [isPending]. */
@OptIn(ExperimentalSerializationApi::class)
@Serializable
@SerialName("store-read")
internal class RelayedRead(
    val page: RowPage? = null,
    @ByteString val bytes: ByteArray? = null,
    val isGone: Boolean = false,
    /** The size of the object of which [bytes] are a piece; null if they are the whole object. */
    val total: Int? = null,
    /** True if the relay is still reading the object, or has to read others first. */
    val isPending: Boolean = false,
) : PeerResponse

@Serializable
@SerialName("store-written")
internal class RelayedWrite(
    val result: WriteResult,
) : PeerResponse

/** Calls the store through [direct], or through other VMs while the store is unreachable from this one. */
internal class StoreRelay(
    private val direct: RowStore,
    private val network: PeerNetwork,
    private val isStoreReachable: () -> Boolean,
    /** The VMs that may reach the store, in order of preference. */
    private val relays: () -> List<VmId>,
    scope: CoroutineScope,
) : RowStore {
    private val relayedObjects = RelayedObjects(direct, scope)

    /** Makes a store call on behalf of another VM. */
    suspend fun answer(request: StoreRequest): PeerResponse? {
        if (!isStoreReachable()) {
            val isWrite = request is StoreRequest.Write || request is StoreRequest.PutObject
            return if (isWrite) RelayedWrite(WriteResult.NotDone("the relay does not reach the store")) else null
        }
        return when (request) {
            is StoreRequest.Rows -> {
                val page = direct.rows(request.table, request.partition, request.from, request.to, request.limit)
                page.toRelayed { RelayedRead(page = it) }
            }

            is StoreRequest.GetObject -> {
                val from = request.from
                if (from != null) return relayedObjects.piece(request.name, from, MonotonicTime.now())
                direct.getObject(request.name).toRelayed { RelayedRead(bytes = it) }
            }

            is StoreRequest.PutObject -> {
                RelayedWrite(direct.putObject(request.name, request.bytes))
            }

            is StoreRequest.Write -> {
                RelayedWrite(direct.write(request.expected.associate { it.name to it.version }, request.changes))
            }
        }
    }

    override suspend fun rows(
        table: String,
        partition: String,
        from: String?,
        to: String?,
        limit: Int?,
    ): StoreRead<RowPage> {
        if (isStoreReachable()) return direct.rows(table, partition, from, to, limit)
        return relayRead(StoreRequest.Rows(table, partition, from, to, limit)) { it.page }
    }

    override suspend fun getObject(name: String): StoreRead<ByteArray> {
        if (isStoreReachable()) return direct.getObject(name)
        return withTimeoutOrNull(RELAYED_OBJECT_TIMEOUT) { relayObject(name) } ?: NOT_REACHED
    }

    /** Reads an object piece by piece; what one relay has passed on need not come from the next one, too. */
    private suspend fun relayObject(name: String): StoreRead<ByteArray> {
        val content = ByteArrayOutputStream()
        for (relay in relays().take(MAX_RELAYS)) {
            while (true) {
                val request = StoreRequest.GetObject(name, content.size())
                val read = network.call(relay, request, RELAY_TIMEOUT) as? RelayedRead ?: break
                if (read.isGone) return StoreRead.Gone
                if (read.isPending) {
                    delay(PENDING_INTERVAL)
                    continue
                }
                val bytes = read.bytes ?: break
                val total = read.total ?: return StoreRead.Found(bytes)
                content.write(bytes)
                if (content.size() >= total) return StoreRead.Found(content.toByteArray())
                if (bytes.isEmpty()) break
            }
        }
        return NOT_REACHED
    }

    override suspend fun write(
        expected: Map<RowName, Long>,
        changes: List<RowChange>,
    ): WriteResult {
        if (isStoreReachable()) return direct.write(expected, changes)
        return relayWrite(StoreRequest.Write(expected.map { (name, version) -> ExpectedRow(name, version) }, changes))
    }

    override suspend fun putObject(
        name: String,
        bytes: ByteArray,
    ): WriteResult =
        if (isStoreReachable()) direct.putObject(name, bytes) else relayWrite(StoreRequest.PutObject(name, bytes))

    override suspend fun partitions(table: String): StoreRead<List<String>> = direct.partitions(table)

    override suspend fun changes(
        table: String,
        after: Long,
        wait: Duration,
    ): StoreRead<RowPage> = direct.changes(table, after, wait)

    override suspend fun deleteObject(name: String): WriteResult = direct.deleteObject(name)

    private suspend fun <T> relayRead(
        request: StoreRequest,
        value: (RelayedRead) -> T?,
    ): StoreRead<T> {
        for (relay in relays().take(MAX_RELAYS)) {
            val read = network.call(relay, request, RELAY_TIMEOUT) as? RelayedRead ?: continue
            if (read.isGone) return StoreRead.Gone
            value(read)?.let { return StoreRead.Found(it) }
        }
        return NOT_REACHED
    }

    /** Returns [WriteResult.NotDone] only if every relay refused: one that did not answer may have made the write. */
    private suspend fun relayWrite(request: StoreRequest): WriteResult {
        var isUncertain = false
        for (relay in relays().take(MAX_RELAYS)) {
            when (val answer = network.call(relay, request, RELAY_TIMEOUT)) {
                is RelayedWrite -> if (answer.result !is WriteResult.NotDone) return answer.result
                else -> isUncertain = true
            }
        }
        if (isUncertain) return WriteResult.Unknown("no relay answered")
        return WriteResult.NotDone("the store is not reached")
    }

    private companion object {
        // A job should be accepted within 400 ms; two attempts leave time for the caller to retry at another VM.
        const val MAX_RELAYS = 2
        val RELAY_TIMEOUT = 1.seconds
        val PENDING_INTERVAL = 100.milliseconds

        // As long as a call to the store may take.
        val RELAYED_OBJECT_TIMEOUT = 60.seconds
        val NOT_REACHED = StoreRead.Unavailable("neither this VM nor others reach the store")
    }
}

/** Returns the response that passes a read on; null, so that another relay is asked, if the store is not available. */
internal fun <T> StoreRead<T>.toRelayed(encode: (T) -> RelayedRead): PeerResponse? =
    when (this) {
        is StoreRead.Found -> encode(value)
        is StoreRead.Gone -> RelayedRead(isGone = true)
        is StoreRead.Unavailable -> null
    }
