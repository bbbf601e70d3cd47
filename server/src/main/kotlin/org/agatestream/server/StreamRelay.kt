package org.agatestream.server

import kotlinx.coroutines.withTimeoutOrNull
import kotlinx.serialization.json.Json
import org.agatestream.core.CompletionEvent
import org.agatestream.core.DONE_MARK
import org.agatestream.core.ErrorKind
import org.agatestream.core.Failure
import org.agatestream.core.toEventData
import org.agatestream.http.BodyPart
import org.agatestream.http.BodyWriter
import org.agatestream.http.ErrorBody
import org.agatestream.http.ExchangeResult
import org.agatestream.http.HttpCall
import org.agatestream.http.HttpClient
import org.agatestream.http.HttpClientResponse
import org.agatestream.http.HttpRequestSpec
import org.agatestream.http.SseEventDecoder
import org.agatestream.http.toErrorBody
import kotlin.time.Duration.Companion.seconds

/** The end of a stream to a caller. */
internal enum class StreamEnd {
    WHOLE,
    CALLER_GONE,
}

/** Relays one completion stream from an engine to a caller, and resumes it at the engine if it is cut off. */
internal class StreamRelay(
    private val call: HttpCall,
    private val chat: Boolean,
    private val client: HttpClient,
) {
    private var writer: BodyWriter? = null
    private var relayedTokens = 0
    private var answerId: String? = null

    /** True once part of the stream was sent to the caller. */
    val started: Boolean
        get() = writer != null

    /** Relays the stream to its end, with up to [MAX_RESUMES] resumptions. */
    suspend fun relay(exchange: BackendExchange): Attempt<StreamEnd> {
        var response = exchange.response
        repeat(MAX_RESUMES + 1) {
            when (forward(response)) {
                ForwardResult.WHOLE -> return Attempt.Finished(StreamEnd.WHOLE)
                ForwardResult.CALLER_GONE -> return Attempt.Finished(StreamEnd.CALLER_GONE)
                ForwardResult.INVALID -> return lost()
                ForwardResult.CUT_OFF -> response = resume(exchange) ?: return lost()
            }
        }
        return lost()
    }

    /** Aborts a stream that can't be completed, after an event with the error. */
    suspend fun fail(failure: Failure) {
        val output = writer ?: return
        val body = Json.encodeToString(ErrorBody.serializer(), failure.toErrorBody())
        withTimeoutOrNull(LAST_EVENT_TIMEOUT) { output.write("data: $body\n\n".encodeToByteArray()) }
        output.abort()
    }

    private fun lost(): Attempt.Lost = Attempt.Lost(BROKEN_FAILURE, isRetryable = !started)

    private suspend fun forward(response: HttpClientResponse): ForwardResult =
        SseEventDecoder().use { decoder ->
            while (true) {
                val part = response.nextChunk()
                if (part !is BodyPart.Chunk) return ForwardResult.CUT_OFF
                val texts = decoder.feed(part.bytes) ?: return ForwardResult.INVALID
                forward(texts)?.let { return it }
            }
            error("unreachable")
        }

    /** Relays complete events; returns null while the stream continues. */
    private suspend fun forward(texts: List<String>): ForwardResult? {
        val out = StringBuilder()
        var end: ForwardResult? = null
        for (text in texts) {
            end = collect(CompletionEvent.parse(text), out)
            if (end != null) break
        }
        if (out.isNotEmpty() && !write(out.toString())) return ForwardResult.CALLER_GONE
        if (end == ForwardResult.WHOLE) writer?.finish()
        return end
    }

    private fun collect(
        event: CompletionEvent,
        out: StringBuilder,
    ): ForwardResult? {
        when (event) {
            is CompletionEvent.Ignored -> {
                return null
            }

            is CompletionEvent.Invalid -> {
                return ForwardResult.INVALID
            }

            is CompletionEvent.Done -> {
                out.appendEvent(DONE_MARK)
            }

            is CompletionEvent.Piece -> {
                val id = event.id
                if (answerId == null) answerId = id
                if (id != answerId) return ForwardResult.INVALID
                if (event.text.isNotEmpty()) relayedTokens++
                out.appendEvent(event.toEventData(chat))
            }
        }
        return if (event is CompletionEvent.Done) ForwardResult.WHOLE else null
    }

    private suspend fun write(text: String): Boolean {
        val output = writer ?: openWriter()
        return output.write(text.encodeToByteArray())
    }

    private suspend fun openWriter(): BodyWriter =
        call.startStream(STATUS_OK, "text/event-stream", STREAM_HEADERS).also {
            writer = it
        }

    private suspend fun resume(exchange: BackendExchange): HttpClientResponse? {
        val id = exchange.id
        val body = """{"from":$relayedTokens}""".encodeToByteArray()
        val headers = listOf("content-type" to "application/json", REQUEST_ID_HEADER to id.value)
        val target = "/v1/streams/$id/resume"
        val spec = HttpRequestSpec(exchange.lease.setting.address, "POST", target, headers, body)
        val answered = client.exchange(spec) as? ExchangeResult.Answered ?: return null
        val response = answered.response
        if (response.status == STATUS_OK) return response
        response.close()
        return null
    }

    private enum class ForwardResult {
        WHOLE,
        CALLER_GONE,

        /** The stream was cut off before its end. */
        CUT_OFF,

        /** The stream holds an event that does not belong to this answer. */
        INVALID,
    }

    private companion object {
        const val STATUS_OK = 200
        const val MAX_RESUMES = 3
        val STREAM_HEADERS = mapOf("cache-control" to "no-cache")
        val LAST_EVENT_TIMEOUT = 1.seconds
        val BROKEN_FAILURE = Failure(ErrorKind.BACKEND_FAILED, "the backend server broke the answer off")
    }
}

private fun StringBuilder.appendEvent(data: String) {
    append("data: ").append(data.replace("\n", "\ndata: ")).append("\n\n")
}
