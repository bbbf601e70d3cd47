package org.agatestream.standin

import kotlinx.coroutines.Dispatchers
import kotlinx.coroutines.withContext
import org.agatestream.core.MonotonicTime
import org.agatestream.http.RUN_HEADER
import org.agatestream.http.parseErrorBody
import java.io.IOException
import java.io.InputStream
import java.net.ConnectException
import java.net.URI
import java.net.http.HttpClient
import java.net.http.HttpRequest
import java.net.http.HttpResponse
import java.net.http.HttpTimeoutException
import java.time.Duration

/** The result of a call as seen by its caller. */
internal data class CallResult(
    val sentAt: MonotonicTime,
    /** When the response head arrived or the call failed. */
    val answeredAt: MonotonicTime,
    /** The HTTP status; 0 if no response arrived, [STATUS_NOT_SENT] if the connection failed. */
    val status: Int,
    val body: String,
    /** True if the body is complete. */
    val isComplete: Boolean,
    /** The run state in an error response, or null. */
    val run: String? = null,
) {
    val code: String? get() = if (status >= MIN_ERROR_STATUS) parseErrorBody(body)?.error?.code else null

    /** True if the call has not run, so that it may be sent to another VM. */
    val hasNotRun: Boolean get() = status == STATUS_NOT_SENT || run == "no"

    override fun toString(): String {
        val parts = listOfNotNull("status=$status", code?.let { "code=$it" }, run?.let { "run=$it" })
        return parts.joinToString(" ") + if (isComplete) "" else " incomplete"
    }

    companion object {
        const val STATUS_NOT_SENT = -1
        private const val MIN_ERROR_STATUS = 400
    }
}

/** An HTTP client with persistent connections, as callers of the system use. */
internal class ScenarioCaller {
    private val client =
        HttpClient
            .newBuilder()
            .version(HttpClient.Version.HTTP_1_1)
            .connectTimeout(Duration.ofSeconds(CONNECT_TIMEOUT_SECONDS))
            .build()

    // Calls block their threads; those of Dispatchers.IO are shared by the callers of all scenarios.
    private val threads = Dispatchers.IO.limitedParallelism(MAX_CALLS)

    /** Makes a call; the stream is closed after [leaveAfter] events unless it is null. */
    suspend fun send(
        address: String,
        method: String,
        target: String,
        headers: Map<String, String> = emptyMap(),
        body: String = "",
        leaveAfter: Int? = null,
    ): CallResult =
        withContext(threads) {
            val publisher = HttpRequest.BodyPublishers.ofString(body)
            val request = HttpRequest.newBuilder(URI("http://$address$target")).method(method, publisher)
            headers.forEach { (name, value) -> request.header(name, value) }
            request.timeout(Duration.ofSeconds(RESPONSE_TIMEOUT_SECONDS))
            exchange(request.build(), leaveAfter)
        }

    private fun exchange(
        request: HttpRequest,
        leaveAfter: Int?,
    ): CallResult {
        val sentAt = MonotonicTime.now()
        val response =
            try {
                client.send(request, HttpResponse.BodyHandlers.ofInputStream())
            } catch (e: IOException) {
                val isNotSent = e is ConnectException || e is java.net.http.HttpConnectTimeoutException
                val status = if (isNotSent) CallResult.STATUS_NOT_SENT else 0
                return CallResult(sentAt, MonotonicTime.now(), status, describe(e), isComplete = false)
            }
        val answeredAt = MonotonicTime.now()
        val text = StringBuilder()
        val isComplete = response.body().use { read(it, text, leaveAfter) }
        val run = response.headers().firstValue(RUN_HEADER).orElse(null)
        return CallResult(sentAt, answeredAt, response.statusCode(), text.toString(), isComplete, run)
    }

    private fun read(
        stream: InputStream,
        text: StringBuilder,
        leaveAfter: Int?,
    ): Boolean {
        var events = 0
        val reader = stream.bufferedReader()
        try {
            while (true) {
                val line = reader.readLine() ?: return true
                text.append(line).append('\n')
                if (line.startsWith("data:")) events++
                if (events == leaveAfter) return false
            }
        } catch (_: IOException) {
            return false
        }
    }

    private fun describe(e: IOException): String =
        if (e is HttpTimeoutException) {
            "no response within $RESPONSE_TIMEOUT_SECONDS s"
        } else {
            e.message ?: e.javaClass.simpleName
        }

    private companion object {
        const val MAX_CALLS = 512
        const val CONNECT_TIMEOUT_SECONDS = 2L
        const val RESPONSE_TIMEOUT_SECONDS = 60L
    }
}
