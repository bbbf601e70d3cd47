package org.agatestream.cli

import kotlinx.coroutines.withTimeoutOrNull
import org.agatestream.core.Outcome
import org.agatestream.http.EventLoops
import org.agatestream.http.ExchangeResult
import org.agatestream.http.HttpClient
import org.agatestream.http.HttpRequestSpec
import org.agatestream.http.parseErrorBody
import org.agatestream.http.readBody
import kotlin.time.Duration
import kotlin.time.Duration.Companion.seconds

/** The environment variable that holds the caller's or operator's key. */
internal const val KEY_VARIABLE: String = "AGATESTREAM_KEY"

/** The environment variable that holds entry addresses, separated by commas. */
internal const val ENTRY_VARIABLE: String = "AGATESTREAM_ENTRY"

/** The answer to a call of the API. */
internal sealed interface ApiReply {
    /** The server answered. */
    class Answer(
        val status: Int,
        val body: ByteArray,
    ) : ApiReply {
        val text: String
            get() = body.decodeToString()
    }

    /** No entry address took the call. */
    data class Unreachable(
        val reason: String,
    ) : ApiReply
}

/** Calls the API of a fleet through one of its entry addresses. */
internal class ApiClient(
    private val addresses: List<String>,
    private val key: String?,
    private val timeout: Duration = 30.seconds,
) {
    private val loops = EventLoops(threads = 1)
    private val client = HttpClient(loops)

    /** Calls the first address that can be reached; a call that was sent is not repeated elsewhere. */
    suspend fun call(
        method: String,
        target: String,
        body: ByteArray = ByteArray(0),
        headers: List<Pair<String, String>> = emptyList(),
    ): ApiReply {
        for (address in addresses) {
            val reply = callAddress(address, method, target, body, headers)
            if (reply != null) return reply
        }
        return ApiReply.Unreachable("no entry address of ${addresses.joinToString()} can be reached")
    }

    /** Calls one address; returns null if the call was not sent. */
    suspend fun callAddress(
        address: String,
        method: String,
        target: String,
        body: ByteArray = ByteArray(0),
        headers: List<Pair<String, String>> = emptyList(),
    ): ApiReply? {
        val authorization = key?.let { listOf("authorization" to "Bearer $it") }.orEmpty()
        val request = HttpRequestSpec(address, method, target, authorization + headers, body)
        return withTimeoutOrNull(timeout) { exchange(request) } ?: ApiReply.Unreachable("$address did not answer")
    }

    fun close() {
        loops.close()
    }

    private suspend fun exchange(request: HttpRequestSpec): ApiReply? =
        when (val result = client.exchange(request)) {
            is ExchangeResult.NotSent -> null
            is ExchangeResult.Lost -> ApiReply.Unreachable("${request.address} did not answer: ${result.reason}")
            is ExchangeResult.Answered -> readAnswer(result)
        }

    private suspend fun readAnswer(result: ExchangeResult.Answered): ApiReply =
        when (val body = result.answer.readBody(MAX_ANSWER_BYTES)) {
            is Outcome.Ok -> ApiReply.Answer(result.answer.status, body.value)
            is Outcome.Failed -> ApiReply.Unreachable(body.failure.message)
        }

    companion object {
        private const val MAX_ANSWER_BYTES = 1 shl 30

        /** Makes a client from the options and the environment. */
        fun of(entry: String?): ApiClient {
            val text = entry ?: System.getenv(ENTRY_VARIABLE) ?: "127.0.0.1:8080"
            return ApiClient(text.split(',').map { it.trim() }, System.getenv(KEY_VARIABLE))
        }
    }
}

/** Prints the answer and returns the exit status that goes with it. */
internal fun ApiReply.print(): ExitStatus =
    when (this) {
        is ApiReply.Unreachable -> {
            System.err.println(reason)
            ExitStatus.FAILED
        }

        is ApiReply.Answer -> {
            printAnswer()
        }
    }

private fun ApiReply.Answer.printAnswer(): ExitStatus {
    if (status in 200..299) {
        print(text)
        if (!text.endsWith("\n")) println()
        return ExitStatus.DONE
    }
    val error = parseErrorBody(text)?.error
    System.err.println(error?.let { "${it.code}: ${it.message} (run: ${it.run})" } ?: "status $status: $text")
    return if (error?.code == "invalid_setting") ExitStatus.BAD_USE else ExitStatus.FAILED
}

/** Runs [block] with a client and closes it. */
internal suspend fun withApi(
    entry: String?,
    block: suspend (ApiClient) -> ExitStatus,
): ExitStatus {
    val api = ApiClient.of(entry)
    return try {
        block(api)
    } finally {
        api.close()
    }
}
