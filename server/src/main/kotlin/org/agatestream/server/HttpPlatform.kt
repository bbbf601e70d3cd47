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

/** Meets the platform's table service, object store and VM list over HTTP; each call lasts at most [timeout]. */
public class HttpPlatform(
    private val client: HttpClient,
    private val address: String,
    private val vm: VmId,
    private val timeout: Duration = 2.seconds,
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
        return when (val reply = call("POST", "/table/commit", body)) {
            Reply.NotSent -> CommitResult.Unavailable
            Reply.Lost -> CommitResult.Unknown
            is Reply.Answer -> reply.toCommitResult()
        }
    }

    override suspend fun put(
        name: String,
        bytes: ByteArray,
    ): Boolean {
        val reply = call("PUT", "/objects/$name", bytes)
        return reply is Reply.Answer && reply.status == STATUS_OK
    }

    override suspend fun get(name: String): ReadResult<ByteArray> = call("GET", "/objects/$name").toRead { it }

    override suspend fun list(): ReadResult<List<ListedVm>> =
        call("GET", "/vms").toRead { decode(ListSerializer(ListedVm.serializer()), it) }

    private suspend fun call(
        method: String,
        target: String,
        body: ByteArray = ByteArray(0),
    ): Reply {
        val headers = listOf("x-agatestream-vm" to vm.value)
        val request = HttpRequestSpec(address, method, target, headers, body)
        return withTimeoutOrNull(timeout) { exchange(request) } ?: Reply.Lost
    }

    private suspend fun exchange(request: HttpRequestSpec): Reply =
        when (val result = client.exchange(request)) {
            is ExchangeResult.NotSent -> Reply.NotSent
            is ExchangeResult.Lost -> Reply.Lost
            is ExchangeResult.Answered -> readReply(result)
        }

    private suspend fun readReply(result: ExchangeResult.Answered): Reply =
        try {
            when (val body = result.answer.readBody(MAX_ANSWER_BYTES)) {
                is Outcome.Ok -> Reply.Answer(result.answer.status, body.value)
                is Outcome.Failed -> Reply.Lost
            }
        } finally {
            result.answer.close()
        }

    private fun Reply.Answer.toCommitResult(): CommitResult =
        when (status) {
            STATUS_OK -> CommitResult.Committed
            STATUS_CONFLICT -> CommitResult.Conflict(decode(ListSerializer(Row.serializer()), body))
            STATUS_UNAVAILABLE -> CommitResult.Unavailable
            else -> CommitResult.Unknown
        }

    private inline fun <T> Reply.toRead(parse: (ByteArray) -> T): ReadResult<T> =
        when {
            this !is Reply.Answer -> ReadResult.Unavailable
            status == STATUS_OK -> ReadResult.Found(parse(body))
            status == STATUS_ABSENT -> ReadResult.Absent
            else -> ReadResult.Unavailable
        }

    /** What became of a call to the platform. */
    private sealed interface Reply {
        class Answer(
            val status: Int,
            val body: ByteArray,
        ) : Reply

        data object NotSent : Reply

        data object Lost : Reply
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
        const val STATUS_ABSENT = 404
        const val STATUS_CONFLICT = 409
        const val STATUS_UNAVAILABLE = 503
        const val MAX_ANSWER_BYTES = 16 * 1024 * 1024

        fun <T> encode(
            serializer: KSerializer<T>,
            value: T,
        ): ByteArray = Json.encodeToString(serializer, value).encodeToByteArray()

        fun <T> decode(
            serializer: KSerializer<T>,
            bytes: ByteArray,
        ): T = Json.decodeFromString(serializer, bytes.decodeToString())
    }
}
