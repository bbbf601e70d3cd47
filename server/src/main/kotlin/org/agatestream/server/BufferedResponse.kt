package org.agatestream.server

import kotlinx.serialization.Serializable
import kotlinx.serialization.json.Json
import org.agatestream.core.getOrElse
import org.agatestream.http.HttpClientResponse
import org.agatestream.http.readBody

/** A complete answer of a backend server. */
internal class BufferedResponse(
    val status: Int,
    val contentType: String,
    val headers: Map<String, String>,
    val body: ByteArray,
)

/** Reads the whole body; closes the answer and returns null if it is cut off or exceeds [limit] bytes. */
internal suspend fun HttpClientResponse.readCompletely(limit: Int): ByteArray? =
    readBody(limit).getOrElse {
        close()
        null
    }

/**
 * Returns whether this is a success whose server may have stopped after the head, as its [body] was empty and ended only
 * with the connection.
 */
internal fun HttpClientResponse.isCutAfterHead(body: ByteArray): Boolean =
    status in SUCCESS_STATUSES && body.isEmpty() && !isBodyDelimited

/** Reads the whole answer of a backend server; returns null if it is cut off or too large. */
internal suspend fun BackendExchange.readBufferedResponse(): BufferedResponse? {
    val body = response.readCompletely(MAX_ANSWER_BYTES) ?: return null
    if (response.isCutAfterHead(body)) return null
    val headers = PASSED_ANSWER_HEADERS.mapNotNull { name -> response.header(name)?.let { name to it } }.toMap()
    return BufferedResponse(response.status, response.header("content-type") ?: DEFAULT_CONTENT_TYPE, headers, body)
}

/** Returns the `code` in the error body of a backend server, or null. */
internal fun parseRefusalCode(text: String): String? =
    runCatching { lenientJson.decodeFromString(BackendErrorBody.serializer(), text).error.code }.getOrNull()

/** Returns the `message` in the error body of a backend server, or null. */
internal fun parseRefusalMessage(text: String): String? =
    runCatching { lenientJson.decodeFromString(BackendErrorBody.serializer(), text).error.message }.getOrNull()

@Serializable
private data class BackendErrorBody(
    val error: BackendErrorDetail,
)

@Serializable
private data class BackendErrorDetail(
    val code: String? = null,
    val message: String? = null,
)

private val lenientJson = Json { ignoreUnknownKeys = true }

private val SUCCESS_STATUSES = 200..299
private const val MAX_ANSWER_BYTES = 8_388_608
private const val DEFAULT_CONTENT_TYPE = "application/octet-stream"
private val PASSED_ANSWER_HEADERS =
    listOf("location", "retry-after", "etag", "cache-control", "last-modified", "content-language", "allow")
