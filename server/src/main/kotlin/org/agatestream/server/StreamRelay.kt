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
import org.agatestream.http.EventFrames
import org.agatestream.http.ExchangeResult
import org.agatestream.http.HttpAnswer
import org.agatestream.http.HttpCall
import org.agatestream.http.HttpClient
import org.agatestream.http.HttpRequestSpec
import org.agatestream.http.toErrorBody
import kotlin.time.Duration.Companion.seconds

/** How the stream to a caller ended. */
internal enum class StreamEnd {
    WHOLE,
    CALLER_GONE,
}

/** Passes one completion stream from an engine to a caller, and resumes it at the engine if it breaks off. */
internal class StreamRelay(
    private val call: HttpCall,
    private val chat: Boolean,
    private val client: HttpClient,
) {
    private var writer: BodyWriter? = null
    private var passedTokens = 0
    private var answerId: String? = null

    /** True once the caller has got a part of the stream. */
    val started: Boolean
        get() = writer != null

    /** Passes the stream on until its end. */
    suspend fun relay(exchange: BackendExchange): Attempt<StreamEnd> {
        var answer = exchange.answer
        repeat(MAX_RESUMES + 1) {
            when (passOn(answer)) {
                Passed.WHOLE -> return Attempt.Finished(StreamEnd.WHOLE)
                Passed.CALLER_GONE -> return Attempt.Finished(StreamEnd.CALLER_GONE)
                Passed.WRONG -> return broken()
                Passed.BROKEN -> answer = resume(exchange) ?: return broken()
            }
        }
        return broken()
    }

    /** Ends a stream that can't be made whole, so that the caller sees an error. */
    suspend fun fail(failure: Failure) {
        val open = writer ?: return
        val body = Json.encodeToString(ErrorBody.serializer(), failure.toErrorBody())
        withTimeoutOrNull(LAST_EVENT_TIMEOUT) { open.write("data: $body\n\n".encodeToByteArray()) }
        open.abort()
    }

    private fun broken(): Attempt.Lost = Attempt.Lost(BROKEN_FAILURE, repeatable = !started)

    private suspend fun passOn(answer: HttpAnswer): Passed =
        EventFrames().use { frames ->
            while (true) {
                val part = answer.nextChunk()
                if (part !is BodyPart.Chunk) return Passed.BROKEN
                val texts = frames.feed(part.bytes) ?: return Passed.WRONG
                passOn(texts)?.let { return it }
            }
            error("unreachable")
        }

    /** Passes whole events on; returns null while the stream goes on. */
    private suspend fun passOn(texts: List<String>): Passed? {
        val out = StringBuilder()
        var end: Passed? = null
        for (text in texts) {
            end = collect(CompletionEvent.parse(text), out)
            if (end != null) break
        }
        if (out.isNotEmpty() && !write(out.toString())) return Passed.CALLER_GONE
        if (end == Passed.WHOLE) writer?.finish()
        return end
    }

    private fun collect(
        event: CompletionEvent,
        out: StringBuilder,
    ): Passed? {
        when (event) {
            is CompletionEvent.Ignored -> {
                return null
            }

            is CompletionEvent.Invalid -> {
                return Passed.WRONG
            }

            is CompletionEvent.Done -> {
                out.appendEvent(DONE_MARK)
            }

            is CompletionEvent.Piece -> {
                val id = event.id
                if (answerId == null) answerId = id
                if (id != answerId) return Passed.WRONG
                if (event.text.isNotEmpty()) passedTokens++
                out.appendEvent(event.toEventData(chat))
            }
        }
        return if (event is CompletionEvent.Done) Passed.WHOLE else null
    }

    private suspend fun write(text: String): Boolean {
        val open = writer ?: begin()
        return open.write(text.encodeToByteArray())
    }

    private suspend fun begin(): BodyWriter =
        call.startStream(STATUS_OK, "text/event-stream", STREAM_HEADERS).also {
            writer = it
        }

    private suspend fun resume(exchange: BackendExchange): HttpAnswer? {
        val id = exchange.id
        val body = """{"from":$passedTokens}""".encodeToByteArray()
        val headers = listOf("content-type" to "application/json", REQUEST_ID_HEADER to id.value)
        val target = "/v1/streams/$id/resume"
        val spec = HttpRequestSpec(exchange.lease.setting.address, "POST", target, headers, body)
        val answered = client.exchange(spec) as? ExchangeResult.Answered ?: return null
        val answer = answered.answer
        if (answer.status == STATUS_OK) return answer
        answer.close()
        return null
    }

    private enum class Passed {
        WHOLE,
        CALLER_GONE,

        /** The stream stopped before its end. */
        BROKEN,

        /** The stream holds what is no part of this answer. */
        WRONG,
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
