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

/** The environment variable with the API key of the caller or operator. */
internal const val KEY_VARIABLE: String = "AGATESTREAM_KEY"

/** The environment variable with the entry addresses, separated by commas. */
internal const val ENTRY_VARIABLE: String = "AGATESTREAM_ENTRY"

/** The outcome of an API call. */
internal sealed interface ApiResult {
    /** The server responded, possibly with an error. */
    class Response(
        val status: Int,
        val body: ByteArray,
    ) : ApiResult {
        val text: String
            get() = body.decodeToString()
    }

    /** No entry address could be reached, or no complete response arrived. */
    data class Unreachable(
        val reason: String,
    ) : ApiResult
}

/** An API client that connects to a fleet through its entry addresses. */
internal class ApiClient(
    private val addresses: List<String>,
    private val key: String?,
    private val timeout: Duration = 30.seconds,
) {
    private val loops = EventLoops(threads = 1)
    private val client = HttpClient(loops)

    /** Calls the first reachable address; a request that was sent is not retried at another address. */
    suspend fun call(
        method: String,
        target: String,
        body: ByteArray = ByteArray(0),
        headers: List<Pair<String, String>> = emptyList(),
    ): ApiResult {
        for (address in addresses) {
            val outcome = callAddress(address, method, target, body, headers)
            if (outcome != null) return outcome
        }
        return ApiResult.Unreachable("none of the entry addresses ${addresses.joinToString()} can be reached")
    }

    /** Calls one address; returns null if the request was not sent. */
    suspend fun callAddress(
        address: String,
        method: String,
        target: String,
        body: ByteArray = ByteArray(0),
        headers: List<Pair<String, String>> = emptyList(),
    ): ApiResult? {
        val authorization = key?.let { listOf("authorization" to "Bearer $it") }.orEmpty()
        val request = HttpRequestSpec(address, method, target, authorization + headers, body)
        return withTimeoutOrNull(timeout) { exchange(request) }
            ?: ApiResult.Unreachable("no response from $address within $timeout")
    }

    fun close() {
        loops.close()
    }

    private suspend fun exchange(request: HttpRequestSpec): ApiResult? =
        when (val result = client.exchange(request)) {
            is ExchangeResult.NotSent -> null
            is ExchangeResult.Lost -> ApiResult.Unreachable("no response from ${request.address}: ${result.reason}")
            is ExchangeResult.Answered -> readResponse(result)
        }

    private suspend fun readResponse(result: ExchangeResult.Answered): ApiResult =
        when (val body = result.response.readBody(MAX_RESPONSE_BYTES)) {
            is Outcome.Ok -> ApiResult.Response(result.response.status, body.value)
            is Outcome.Failed -> ApiResult.Unreachable(body.failure.message)
        }

    companion object {
        private const val MAX_RESPONSE_BYTES = 1 shl 30

        /** Creates a client for [entry], or for the entry addresses in the environment. */
        fun of(entry: String?): ApiClient {
            val text = entry ?: System.getenv(ENTRY_VARIABLE) ?: "127.0.0.1:8080"
            return ApiClient(text.split(',').map { it.trim() }, System.getenv(KEY_VARIABLE))
        }
    }
}

/** Prints the response or the error and returns the exit status. */
internal fun ApiResult.print(): ExitStatus =
    when (this) {
        is ApiResult.Unreachable -> {
            System.err.println(reason)
            ExitStatus.FAILED
        }

        is ApiResult.Response -> {
            printResponse()
        }
    }

private fun ApiResult.Response.printResponse(): ExitStatus {
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
