package org.agatestream.server

import io.netty.handler.codec.http.QueryStringDecoder
import org.agatestream.core.ErrorKind
import org.agatestream.core.Outcome
import org.agatestream.core.parseBearerKey
import org.agatestream.core.toFailed
import org.agatestream.core.toOk
import org.agatestream.http.HttpCall

/** Returns the headers to forward to a backend server, without any that contains the caller's key. */
internal fun HttpCall.forwardedHeaders(): List<Pair<String, String>> {
    val key = parseBearerKey(header("authorization"))
    return headers().filter { (name, value) -> name in FORWARDED_REQUEST_HEADERS && (key == null || key !in value) }
}

/** Fails with `MALFORMED_REQUEST` if the target or [body], which a backend server sees, contains the caller's key. */
internal fun HttpCall.checkContainsNoKey(body: ByteArray): Outcome<Unit> {
    val key = parseBearerKey(header("authorization")) ?: return Unit.toOk()
    val decoded = runCatching { QueryStringDecoder.decodeComponent(target) }.getOrDefault(target)
    val found = key in target || key in decoded || key in body.decodeToString()
    return if (found) {
        ErrorKind.MALFORMED_REQUEST.toFailed(
            "the key belongs in the authorization header only",
        )
    } else {
        Unit.toOk()
    }
}

private val FORWARDED_REQUEST_HEADERS =
    setOf(
        "content-type",
        "accept",
        "accept-language",
        "content-language",
        "if-none-match",
        "if-modified-since",
        "traceparent",
        "idempotency-key",
    )
