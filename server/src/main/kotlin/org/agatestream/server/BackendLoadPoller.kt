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
import org.agatestream.http.HttpClient
import org.agatestream.http.HttpClientResponse
import org.agatestream.http.HttpRequestSpec
import java.io.ByteArrayOutputStream
import kotlin.time.Duration
import kotlin.time.Duration.Companion.milliseconds
import kotlin.time.Duration.Companion.seconds

/** The load that an engine reports; the figures lag behind the engine. */
@Serializable
public data class LoadReport(
    val running: Int,
    val waiting: Int,
    val incarnation: String,
)

/** Polls the load of the engines that this VM uses or owns; their number is bounded, and so is the cost. */
public class BackendLoadPoller(
    private val client: HttpClient,
    private val slots: OwnedBackendSlots,
    private val owner: LimitOwner,
    private val interval: Duration = 1.seconds,
    private val timeout: Duration = 500.milliseconds,
) {
    /** Polls the engines until cancelled. */
    public suspend fun pollForever() {
        while (true) {
            val engines = pollOnce()
            delay(maxOf(interval, MIN_INTERVAL_PER_ENGINE * engines))
        }
    }

    /** Reads the load of each engine once and returns the number of engines. */
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
        val response = (result as? ExchangeResult.Answered)?.response ?: return null
        try {
            val body = response.readText() ?: return null
            if (response.status != STATUS_OK) return null
            return runCatching { json.decodeFromString(LoadReport.serializer(), body) }.getOrNull()
        } finally {
            response.close()
        }
    }

    private suspend fun HttpClientResponse.readText(): String? {
        val buffer = ByteArrayOutputStream()
        while (buffer.size() <= MAX_REPORT_BYTES) {
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
        const val MAX_REPORT_BYTES = 4_096
        val MIN_INTERVAL_PER_ENGINE: Duration = 125.milliseconds
        val json = Json { ignoreUnknownKeys = true }
    }
}
