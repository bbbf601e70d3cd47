package org.agatestream.http

import kotlinx.serialization.Serializable
import kotlinx.serialization.json.Json
import org.agatestream.core.ErrorKind
import org.agatestream.core.Failure
import kotlin.time.DurationUnit

/** The name of the header that says whether a refused request has run. */
public const val RUN_HEADER: String = "x-agatestream-run"

/** The JSON body of an error answer. */
@Serializable
public data class ErrorBody(
    val error: ErrorDetail,
)

/** What an error answer says: see [ErrorKind] for each field's meaning. */
@Serializable
public data class ErrorDetail(
    val code: String,
    val message: String,
    val run: String,
    val retry: String,
    val retryAfterSeconds: Double? = null,
)

/** Converts this failure to the JSON body of its error answer. */
public fun Failure.toErrorBody(): ErrorBody =
    ErrorBody(
        ErrorDetail(
            code = kind.code,
            message = message,
            run = kind.run.word,
            retry = kind.retry.name.lowercase(),
            retryAfterSeconds = retryAfter?.toDouble(DurationUnit.SECONDS),
        ),
    )

/** Parses the body of an error answer, or returns null if it is none. */
public fun parseErrorBody(text: String): ErrorBody? =
    runCatching { lenientJson.decodeFromString(ErrorBody.serializer(), text) }.getOrNull()

private val lenientJson = Json { ignoreUnknownKeys = true }

/** Answers a call with the status, code and body that [failure] stands for. */
public suspend fun HttpCall.respondFailure(failure: Failure) {
    val headers =
        buildMap {
            put(RUN_HEADER, failure.kind.run.word)
            failure.retryAfter?.let { put("retry-after", it.inWholeSeconds.coerceAtLeast(1).toString()) }
        }
    val body = Json.encodeToString(ErrorBody.serializer(), failure.toErrorBody())
    respond(failure.kind.status, "application/json", body.encodeToByteArray(), headers)
}
