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

/** The answer to a call as its caller saw it. */
internal data class CallResult(
    val sent: MonotonicTime,
    /** When the head of the answer was there, or the call was given up. */
    val answered: MonotonicTime,
    /** The HTTP status; 0 if no answer came, [NOT_SENT] if there was no connection. */
    val status: Int,
    val body: String,
    /** True if the body came to its proper end. */
    val complete: Boolean,
    /** The `run` word of a refusal, or null. */
    val run: String? = null,
) {
    val code: String? get() = if (status >= MIN_ERROR) parseErrorBody(body)?.error?.code else null

    /** True if the call has not run and may be sent to another VM. */
    val isUnrun: Boolean get() = status == NOT_SENT || run == "no"

    override fun toString(): String {
        val parts = listOfNotNull("status=$status", code?.let { "code=$it" }, run?.let { "run=$it" })
        return parts.joinToString(" ") + if (complete) "" else " incomplete"
    }

    companion object {
        const val NOT_SENT = -1
        private const val MIN_ERROR = 400
    }
}

/** Calls HTTP addresses as a caller of the system does, over connections that stay open. */
internal class ScenarioCaller {
    private val client =
        HttpClient
            .newBuilder()
            .version(HttpClient.Version.HTTP_1_1)
            .connectTimeout(Duration.ofSeconds(CONNECT_SECONDS))
            .build()

    /** Makes a call; with [leaveAfter] the caller closes the stream after so many events. */
    suspend fun send(
        address: String,
        method: String,
        target: String,
        headers: Map<String, String> = emptyMap(),
        body: String = "",
        leaveAfter: Int? = null,
    ): CallResult =
        withContext(Dispatchers.IO) {
            val publisher = HttpRequest.BodyPublishers.ofString(body)
            val request = HttpRequest.newBuilder(URI("http://$address$target")).method(method, publisher)
            headers.forEach { (name, value) -> request.header(name, value) }
            request.timeout(Duration.ofSeconds(ANSWER_SECONDS))
            exchange(request.build(), leaveAfter)
        }

    private fun exchange(
        request: HttpRequest,
        leaveAfter: Int?,
    ): CallResult {
        val sent = MonotonicTime.now()
        val response =
            try {
                client.send(request, HttpResponse.BodyHandlers.ofInputStream())
            } catch (e: IOException) {
                val notSent = e is ConnectException || e is java.net.http.HttpConnectTimeoutException
                val status = if (notSent) CallResult.NOT_SENT else 0
                return CallResult(sent, MonotonicTime.now(), status, describe(e), complete = false)
            }
        val answered = MonotonicTime.now()
        val text = StringBuilder()
        val complete = response.body().use { read(it, text, leaveAfter) }
        val run = response.headers().firstValue(RUN_HEADER).orElse(null)
        return CallResult(sent, answered, response.statusCode(), text.toString(), complete, run)
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
        if (e is HttpTimeoutException) "no answer within $ANSWER_SECONDS s" else e.message ?: e.javaClass.simpleName

    private companion object {
        const val CONNECT_SECONDS = 2L
        const val ANSWER_SECONDS = 60L
    }
}
