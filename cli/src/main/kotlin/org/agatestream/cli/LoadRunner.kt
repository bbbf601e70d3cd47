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
import org.agatestream.http.HttpAnswer
import org.agatestream.http.HttpClient
import org.agatestream.http.HttpRequestSpec
import org.agatestream.http.parseErrorBody
import org.agatestream.http.readBody
import kotlin.random.Random
import kotlin.time.Duration
import kotlin.time.Duration.Companion.seconds
import kotlin.time.TimeMark
import kotlin.time.TimeSource

/** Sends an open load: arrivals don't wait for answers. */
internal class LoadRunner(
    private val addresses: List<String>,
    private val length: Duration,
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
        for (at in stream.arrivals(length, random)) {
            val planned = start + at
            val wait = -planned.elapsedNow()
            if (wait.isPositive()) delay(wait)
            val request = stream.toRequest(key, random)
            launch { send(request, stats, planned) }
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
        planned: TimeMark,
    ) {
        val outcome = withTimeoutOrNull(REQUEST_TIMEOUT) { exchange(request, stats, planned) } ?: "timeout"
        stats.count(outcome)
        if (outcome == OUTCOME_OK) stats.whole.record(planned.elapsedNow())
    }

    private suspend fun exchange(
        request: HttpRequestSpec,
        stats: LoadStats,
        planned: TimeMark,
    ): String =
        when (val result = client.exchange(request)) {
            is ExchangeResult.NotSent -> "not_sent"
            is ExchangeResult.Lost -> "lost"
            is ExchangeResult.Answered -> readAnswer(result.answer, stats, planned)
        }

    private suspend fun readAnswer(
        answer: HttpAnswer,
        stats: LoadStats,
        planned: TimeMark,
    ): String =
        try {
            if (answer.status == STATUS_OK) readStream(answer, stats, planned) else readRefusal(answer)
        } finally {
            answer.close()
        }

    private suspend fun readRefusal(answer: HttpAnswer): String {
        val body = answer.readBody(MAX_ERROR_BYTES)
        val text = if (body is Outcome.Ok) body.value.decodeToString() else ""
        return parseErrorBody(text)?.error?.code ?: "status_${answer.status}"
    }

    private suspend fun readStream(
        answer: HttpAnswer,
        stats: LoadStats,
        planned: TimeMark,
    ): String {
        val events = SseTokens()
        var last: Duration? = null
        var done = false
        while (true) {
            val part = answer.nextChunk()
            if (part !is BodyPart.Chunk) return if (part is BodyPart.End && done) OUTCOME_OK else "cut_off"
            for (data in events.add(part.bytes)) {
                if (data == END_OF_STREAM) {
                    done = true
                    continue
                }
                val now = planned.elapsedNow()
                val before = last
                if (before == null) stats.firstToken.record(now) else stats.betweenTokens.record(now - before)
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
