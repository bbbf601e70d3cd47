package org.agatestream.standin

import kotlinx.coroutines.CancellationException
import kotlinx.coroutines.CoroutineScope
import kotlinx.coroutines.Dispatchers
import kotlinx.coroutines.SupervisorJob
import kotlinx.coroutines.cancel
import kotlinx.serialization.DeserializationStrategy
import kotlinx.serialization.SerializationException
import kotlinx.serialization.SerializationStrategy
import kotlinx.serialization.json.Json
import org.agatestream.core.Outcome
import org.agatestream.http.EventLoops
import org.agatestream.http.HttpCall
import org.agatestream.http.HttpLimits
import org.agatestream.http.HttpServer
import org.agatestream.http.readBody
import java.net.InetAddress
import java.net.InetSocketAddress

/** The HTTP server of a stand-in, which records requests and serves the records. */
internal class StandInServer(
    private val handler: suspend (StandInCall) -> Unit,
) : AutoCloseable {
    private val loops = EventLoops()
    private val log = RequestLog()
    private lateinit var server: HttpServer

    /** The scope of all coroutines of the stand-in. */
    val scope = CoroutineScope(SupervisorJob() + Dispatchers.Default)

    /** Listens on loopback and returns the port; 0 selects a free one. */
    fun listen(port: Int): Int {
        val bind = InetSocketAddress(InetAddress.getLoopbackAddress(), port)
        server = HttpServer.start(loops, bind, HttpLimits(), scope, ::handle)
        return server.port
    }

    override fun close() {
        if (::server.isInitialized) server.closeNow()
        scope.cancel()
        loops.close()
    }

    private suspend fun handle(call: HttpCall) {
        val body =
            when (val read = call.readBody(MAX_BODY_BYTES)) {
                is Outcome.Ok -> read.value
                is Outcome.Failed -> return call.respond(STATUS_TOO_LARGE, JSON_TYPE, ByteArray(0))
            }
        val standInCall = StandInCall(call, body)
        if (call.path == "/standin/records") {
            return standInCall.respondJson(STATUS_OK, RequestRecords.serializer(), log.snapshot())
        }
        if (!call.path.startsWith("/standin/")) log.add(standInCall.toRecord())
        try {
            handler(standInCall)
        } catch (e: SerializationException) {
            standInCall.respondError(STATUS_BAD_REQUEST, "malformed", e.message ?: "malformed JSON")
        }
    }
}

/** A request with its complete body. */
internal class StandInCall(
    val httpCall: HttpCall,
    val body: ByteArray,
) {
    val path: String get() = httpCall.path

    /** Method and path, for example `GET /vms`. */
    val route: String get() = "${httpCall.method} ${httpCall.path}"

    fun header(name: String): String? = httpCall.header(name)

    fun <T> parse(deserializer: DeserializationStrategy<T>): T =
        standInJson.decodeFromString(deserializer, body.decodeToString())

    suspend fun <T> respondJson(
        status: Int,
        serializer: SerializationStrategy<T>,
        value: T,
        headers: Map<String, String> = emptyMap(),
    ) {
        httpCall.respond(status, JSON_TYPE, standInJson.encodeToString(serializer, value).encodeToByteArray(), headers)
    }

    suspend fun respondError(
        status: Int,
        code: String,
        message: String,
    ) {
        respondJson(status, StandInError.serializer(), StandInError(StandInErrorDetail(code, message)))
    }

    suspend fun respondEmpty(status: Int = STATUS_OK) {
        httpCall.respond(status, JSON_TYPE, "{}".encodeToByteArray())
    }

    /** Closes the connection without a response: the server aborts a call whose handler is cancelled. */
    fun dropConnection(): Nothing = throw CancellationException("the response is dropped")

    fun toRecord(): RequestRecord {
        val recorded = body.copyOf(minOf(body.size, RequestRecord.MAX_RECORDED_BYTES))
        val fields = httpCall.headers().map { (name, value) -> HeaderField(name, value) }
        return RequestRecord(httpCall.method, httpCall.target, fields, recorded.decodeToString())
    }
}

/** The JSON body of a stand-in's error response. */
@kotlinx.serialization.Serializable
internal data class StandInError(
    val error: StandInErrorDetail,
)

/** Details of a stand-in's error response. */
@kotlinx.serialization.Serializable
internal data class StandInErrorDetail(
    val code: String,
    val message: String,
)

internal val standInJson =
    Json {
        encodeDefaults = true
        ignoreUnknownKeys = true
    }

internal const val JSON_TYPE = "application/json"
internal const val STATUS_OK = 200
internal const val STATUS_CREATED = 201
internal const val STATUS_BAD_REQUEST = 400
internal const val STATUS_NOT_FOUND = 404
internal const val STATUS_CONFLICT = 409
internal const val STATUS_TOO_LARGE = 413
internal const val STATUS_UNPROCESSABLE = 422
internal const val STATUS_TOO_MANY = 429
internal const val STATUS_UNAVAILABLE = 503
private const val MAX_BODY_BYTES = 64 * 1024 * 1024
