package org.agatestream.server

import kotlinx.coroutines.async
import kotlinx.coroutines.awaitAll
import kotlinx.coroutines.coroutineScope
import kotlinx.coroutines.delay
import kotlinx.coroutines.withTimeoutOrNull
import kotlinx.serialization.Serializable
import kotlinx.serialization.json.Json
import org.agatestream.core.BackendServerId
import org.agatestream.http.BodyPart
import org.agatestream.http.ExchangeResult
import org.agatestream.http.HttpAnswer
import org.agatestream.http.HttpClient
import org.agatestream.http.HttpRequestSpec
import java.io.ByteArrayOutputStream
import kotlin.time.Duration
import kotlin.time.Duration.Companion.milliseconds
import kotlin.time.Duration.Companion.seconds

/** What an engine says of its load, as it was some time ago. */
@Serializable
public data class LoadReport(
    val running: Int,
    val waiting: Int,
    val incarnation: String,
)

/** Reads the load of the engines that this VM uses or owns; their number is bounded, so the work is constant. */
public class BackendLoadPoller(
    private val client: HttpClient,
    private val slots: OwnedBackendSlots,
    private val owner: LimitOwner,
    private val interval: Duration = 1.seconds,
    private val timeout: Duration = 500.milliseconds,
) {
    /** Reads the loads again and again, until cancelled. */
    public suspend fun pollForever() {
        while (true) {
            val engines = pollOnce()
            delay(maxOf(interval, LEAST_SPACING * engines))
        }
    }

    /** Reads the load of each engine once and returns their number. */
    public suspend fun pollOnce(): Int {
        val engines = slots.watchedServers(owner.ownedEngines())
        coroutineScope {
            engines.map { (id, setting) -> async { poll(id, setting.address) } }.awaitAll()
        }
        return engines.size
    }

    private suspend fun poll(
        id: BackendServerId,
        address: String,
    ) {
        val report = withTimeoutOrNull(timeout) { read(address) } ?: return
        slots.onLoad(id, report)
        owner.onLoad(id, report)
    }

    private suspend fun read(address: String): LoadReport? {
        val result = client.exchange(HttpRequestSpec(address, "GET", "/load"))
        val answer = (result as? ExchangeResult.Answered)?.answer ?: return null
        try {
            val body = answer.readAll() ?: return null
            if (answer.status != STATUS_OK) return null
            return runCatching { json.decodeFromString(LoadReport.serializer(), body) }.getOrNull()
        } finally {
            answer.close()
        }
    }

    private suspend fun HttpAnswer.readAll(): String? {
        val buffer = ByteArrayOutputStream()
        while (buffer.size() <= MOST_BYTES) {
            when (val part = nextChunk()) {
                is BodyPart.Chunk -> buffer.write(part.bytes)
                is BodyPart.End -> return buffer.toString(Charsets.UTF_8)
                is BodyPart.Broken -> return null
            }
        }
        return null
    }

    private companion object {
        const val STATUS_OK = 200
        const val MOST_BYTES = 4_096
        val LEAST_SPACING: Duration = 125.milliseconds
        val json = Json { ignoreUnknownKeys = true }
    }
}
