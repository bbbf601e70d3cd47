package org.agatestream.server

import kotlinx.coroutines.withTimeoutOrNull
import kotlinx.serialization.KSerializer
import kotlinx.serialization.Serializable
import kotlinx.serialization.builtins.ListSerializer
import kotlinx.serialization.json.Json
import org.agatestream.core.CommitResult
import org.agatestream.core.ListedVm
import org.agatestream.core.ObjectStore
import org.agatestream.core.Outcome
import org.agatestream.core.ReadResult
import org.agatestream.core.Row
import org.agatestream.core.TableService
import org.agatestream.core.Transaction
import org.agatestream.core.VmId
import org.agatestream.core.VmList
import org.agatestream.http.ExchangeResult
import org.agatestream.http.HttpClient
import org.agatestream.http.HttpRequestSpec
import org.agatestream.http.readBody
import kotlin.time.Duration
import kotlin.time.Duration.Companion.seconds

/** A client of the platform's table service, object store and VM list over HTTP. */
public class HttpPlatform(
    private val client: HttpClient,
    private val address: String,
    private val vm: VmId,
    /** The longest time without a byte in a call. */
    private val stallTimeout: Duration = DEFAULT_STALL_TIMEOUT,
) : TableService,
    ObjectStore,
    VmList {
    override suspend fun read(key: String): ReadResult<Row> =
        call(
            "POST",
            "/table/read",
            encode(ReadBody.serializer(), ReadBody(key)),
        ).toRead { decode(Row.serializer(), it) }

    override suspend fun scan(
        prefix: String,
        after: String,
        limit: Int,
    ): ReadResult<List<Row>> {
        val body = encode(ScanBody.serializer(), ScanBody(prefix, after, limit))
        return call("POST", "/table/scan", body).toRead { decode(ListSerializer(Row.serializer()), it) }
    }

    override suspend fun commit(transaction: Transaction): CommitResult {
        val body = encode(Transaction.serializer(), transaction)
        return when (val result = call("POST", "/table/commit", body)) {
            CallResult.NotSent -> CommitResult.Unavailable
            CallResult.Lost -> CommitResult.Unknown
            is CallResult.Received -> result.toCommitResult()
        }
    }

    override suspend fun put(
        name: String,
        bytes: ByteArray,
    ): Boolean {
        val result = call("PUT", "/objects/$name", bytes)
        return result is CallResult.Received && result.status == STATUS_OK
    }

    override suspend fun get(name: String): ReadResult<ByteArray> {
        val result = call("GET", "/objects/$name")
        // Other bodies are JSON, which tells where it is cut.
        val mayBeCut = result is CallResult.Received && !result.isDelimited
        return if (mayBeCut) ReadResult.Unavailable else result.toRead { it }
    }

    override suspend fun list(): ReadResult<List<ListedVm>> =
        call("GET", "/vms").toRead { decode(ListSerializer(ListedVm.serializer()), it) }

    private suspend fun call(
        method: String,
        target: String,
        body: ByteArray = ByteArray(0),
    ): CallResult {
        val headers = listOf("x-agatestream-vm" to vm.value)
        val request = HttpRequestSpec(address, method, target, headers, body, stallTimeout = stallTimeout)
        return withTimeoutOrNull(CALL_TIMEOUT) { exchange(request) } ?: CallResult.Lost
    }

    private suspend fun exchange(request: HttpRequestSpec): CallResult =
        when (val result = client.exchange(request)) {
            is ExchangeResult.NotSent -> CallResult.NotSent
            is ExchangeResult.Lost -> CallResult.Lost
            is ExchangeResult.Answered -> readResponse(result)
        }

    private suspend fun readResponse(result: ExchangeResult.Answered): CallResult =
        try {
            when (val body = result.response.readBody(MAX_RESPONSE_BYTES)) {
                is Outcome.Ok -> {
                    CallResult.Received(
                        result.response.status,
                        body.value,
                        result.response.isBodyDelimited,
                    )
                }

                is Outcome.Failed -> {
                    CallResult.Lost
                }
            }
        } finally {
            result.response.close()
        }

    private fun CallResult.Received.toCommitResult(): CommitResult =
        when (status) {
            STATUS_OK -> CommitResult.Committed
            STATUS_CONFLICT -> decode(ListSerializer(Row.serializer()), body).toConflict()
            STATUS_UNAVAILABLE -> CommitResult.Unavailable
            else -> CommitResult.Unknown
        }

    private fun List<Row>?.toConflict(): CommitResult = this?.let { CommitResult.Conflict(it) } ?: CommitResult.Unknown

    /** Returns the value that [parse] returns, or that the read failed if it returns null. */
    private inline fun <T : Any> CallResult.toRead(parse: (ByteArray) -> T?): ReadResult<T> =
        when {
            this !is CallResult.Received -> ReadResult.Unavailable
            status == STATUS_OK -> parse(body)?.let { ReadResult.Found(it) } ?: ReadResult.Unavailable
            status == STATUS_NOT_FOUND -> ReadResult.Absent
            else -> ReadResult.Unavailable
        }

    /** The result of a call to the platform. */
    private sealed interface CallResult {
        class Received(
            val status: Int,
            val body: ByteArray,
            val isDelimited: Boolean,
        ) : CallResult

        data object NotSent : CallResult

        data object Lost : CallResult
    }

    @Serializable
    private data class ReadBody(
        val key: String,
    )

    @Serializable
    private data class ScanBody(
        val prefix: String,
        val after: String,
        val limit: Int,
    )

    private companion object {
        const val STATUS_OK = 200
        const val STATUS_NOT_FOUND = 404
        const val STATUS_CONFLICT = 409
        const val STATUS_UNAVAILABLE = 503
        const val MAX_RESPONSE_BYTES = 16 * 1024 * 1024

        val DEFAULT_STALL_TIMEOUT = 2.seconds

        // Time for the largest object on a link of 2 Mbit/s.
        val CALL_TIMEOUT = 60.seconds

        fun <T> encode(
            serializer: KSerializer<T>,
            value: T,
        ): ByteArray = Json.encodeToString(serializer, value).encodeToByteArray()

        /** Parses a body; returns null if it is malformed, as where it was cut. */
        fun <T : Any> decode(
            serializer: KSerializer<T>,
            bytes: ByteArray,
        ): T? =
            try {
                Json.decodeFromString(serializer, bytes.decodeToString())
            } catch (_: IllegalArgumentException) {
                null
            }
    }
}
