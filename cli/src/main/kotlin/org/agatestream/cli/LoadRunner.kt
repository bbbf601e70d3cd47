package org.agatestream.cli

import kotlinx.coroutines.Dispatchers
import kotlinx.coroutines.coroutineScope
import kotlinx.coroutines.delay
import kotlinx.coroutines.launch
import kotlinx.coroutines.withTimeoutOrNull
import kotlinx.serialization.Serializable
import kotlinx.serialization.json.Json
import org.agatestream.core.Outcome
import org.agatestream.http.BodyPart
import org.agatestream.http.EventLoops
import org.agatestream.http.ExchangeResult
import org.agatestream.http.HttpClient
import org.agatestream.http.HttpClientResponse
import org.agatestream.http.HttpRequestSpec
import org.agatestream.http.parseErrorBody
import org.agatestream.http.readBody
import kotlin.random.Random
import kotlin.time.Duration
import kotlin.time.Duration.Companion.seconds
import kotlin.time.TimeMark
import kotlin.time.TimeSource

/** Generates an open-loop load: requests are sent on schedule regardless of responses. */
internal class LoadRunner(
    private val addresses: List<String>,
    private val duration: Duration,
    private val seed: Int,
) {
    private val loops = EventLoops()
    private val client = HttpClient(loops, maxIdlePerAddress = 1024)

    suspend fun run(mix: LoadMix): List<LoadStats> {
        val start = TimeSource.Monotonic.markNow() + START_DELAY
        val stats = mix.streams.map { LoadStats(it.name) }
        coroutineScope {
            mix.streams.forEachIndexed { index, stream ->
                launch(Dispatchers.Default) { runStream(stream, stats[index], start, Random(seed + index)) }
            }
        }
        loops.close()
        return stats
    }

    private suspend fun runStream(
        stream: LoadStream,
        stats: LoadStats,
        start: TimeSource.Monotonic.ValueTimeMark,
        random: Random,
    ) = coroutineScope {
        val key = System.getenv(stream.keyVariable).orEmpty()
        for (offset in stream.arrivals(duration, random)) {
            val scheduledAt = start + offset
            val wait = -scheduledAt.elapsedNow()
            if (wait.isPositive()) delay(wait)
            val request = stream.toRequest(key, random)
            launch { send(request, stats, scheduledAt) }
        }
    }

    private fun LoadStream.toRequest(
        key: String,
        random: Random,
    ): HttpRequestSpec {
        val prefix = "prefix ${random.nextInt(prefixes)} "
        val prompt = prefix + List(promptWords) { "w${random.nextInt(VOCABULARY)}" }.joinToString(" ")
        val body = Json.encodeToString(CompletionBody.serializer(), CompletionBody(model, prompt, maxTokens, true))
        val headers = listOf("authorization" to "Bearer $key", "content-type" to "application/json")
        return HttpRequestSpec(addresses.random(random), "POST", "/v1/completions", headers, body.encodeToByteArray())
    }

    private suspend fun send(
        request: HttpRequestSpec,
        stats: LoadStats,
        scheduledAt: TimeMark,
    ) {
        val outcome = withTimeoutOrNull(REQUEST_TIMEOUT) { exchange(request, stats, scheduledAt) } ?: "timeout"
        stats.count(outcome)
        if (outcome == OUTCOME_OK) stats.total.record(scheduledAt.elapsedNow())
    }

    private suspend fun exchange(
        request: HttpRequestSpec,
        stats: LoadStats,
        scheduledAt: TimeMark,
    ): String =
        when (val result = client.exchange(request)) {
            is ExchangeResult.NotSent -> "not_sent"
            is ExchangeResult.Lost -> "lost"
            is ExchangeResult.Answered -> readResponse(result.response, stats, scheduledAt)
        }

    private suspend fun readResponse(
        response: HttpClientResponse,
        stats: LoadStats,
        scheduledAt: TimeMark,
    ): String =
        try {
            if (response.status == STATUS_OK) readStream(response, stats, scheduledAt) else readErrorCode(response)
        } finally {
            response.close()
        }

    private suspend fun readErrorCode(response: HttpClientResponse): String {
        val body = response.readBody(MAX_ERROR_BYTES)
        val text = if (body is Outcome.Ok) body.value.decodeToString() else ""
        return parseErrorBody(text)?.error?.code ?: "status_${response.status}"
    }

    private suspend fun readStream(
        response: HttpClientResponse,
        stats: LoadStats,
        scheduledAt: TimeMark,
    ): String {
        val events = SseTokens()
        var last: Duration? = null
        var sawEndOfStream = false
        while (true) {
            val part = response.nextChunk()
            if (part !is BodyPart.Chunk) return if (part is BodyPart.End && sawEndOfStream) OUTCOME_OK else "cut_off"
            for (data in events.add(part.bytes)) {
                if (data == END_OF_STREAM) {
                    sawEndOfStream = true
                    continue
                }
                val now = scheduledAt.elapsedNow()
                val previous = last
                if (previous == null) stats.firstToken.record(now) else stats.betweenTokens.record(now - previous)
                last = now
            }
        }
    }

    @Serializable
    private data class CompletionBody(
        val model: String,
        val prompt: String,
        @kotlinx.serialization.SerialName("max_tokens")
        val maxTokens: Int,
        val stream: Boolean,
    )

    private companion object {
        val START_DELAY = 1.seconds
        val REQUEST_TIMEOUT = 60.seconds
        const val VOCABULARY = 5_000
        const val STATUS_OK = 200
        const val MAX_ERROR_BYTES = 65_536
        const val OUTCOME_OK = "ok"
        const val END_OF_STREAM = "[DONE]"
    }
}
