package org.agatestream.http

import kotlinx.serialization.Serializable
import kotlinx.serialization.json.Json
import org.agatestream.core.ErrorKind
import org.agatestream.core.Failure
import kotlin.time.DurationUnit

/** Header of error responses that states whether the request ran: see [ErrorKind.run]. */
public const val RUN_HEADER: String = "x-agatestream-run"

/** The JSON body of an error response. */
@Serializable
public data class ErrorBody(
    val error: ErrorDetail,
)

/** Details of an error response; see [ErrorKind] for the meaning of the fields. */
@Serializable
public data class ErrorDetail(
    val code: String,
    val message: String,
    val run: String,
    val retry: String,
    val retryAfterSeconds: Double? = null,
)

/** Converts this failure to the JSON body of its error response. */
public fun Failure.toErrorBody(): ErrorBody =
    ErrorBody(
        ErrorDetail(
            code = kind.code,
            message = message,
            run = kind.run.wireName,
            retry = kind.retry.name.lowercase(),
            retryAfterSeconds = retryAfter?.toDouble(DurationUnit.SECONDS),
        ),
    )

/** Parses the body of an error response, or returns null if [text] is not one. */
public fun parseErrorBody(text: String): ErrorBody? =
    runCatching { lenientJson.decodeFromString(ErrorBody.serializer(), text) }.getOrNull()

private val lenientJson = Json { ignoreUnknownKeys = true }

/** Responds with the status, headers and JSON body of [failure]. */
public suspend fun HttpCall.respondFailure(failure: Failure) {
    val headers =
        buildMap {
            put(RUN_HEADER, failure.kind.run.wireName)
            failure.retryAfter?.let { put("retry-after", it.inWholeSeconds.coerceAtLeast(1).toString()) }
        }
    val body = Json.encodeToString(ErrorBody.serializer(), failure.toErrorBody())
    respond(failure.kind.status, "application/json", body.encodeToByteArray(), headers)
}
