package org.agatestream.http

import io.netty.handler.codec.http.QueryStringDecoder
import kotlinx.coroutines.Job
import org.agatestream.core.ErrorKind
import org.agatestream.core.Outcome
import org.agatestream.core.toFailed
import org.agatestream.core.toOk
import java.io.ByteArrayOutputStream

/** A message body that is read in chunks. */
public interface BodySource {
    /** Returns the next part of the body; reads from the socket only on demand. */
    public suspend fun nextChunk(): BodyPart
}

/** One request received by a server, and the means to respond to it exactly once. */
public interface HttpCall : BodySource {
    public val method: String

    /** The path without the query, percent-decoded. */
    public val path: String

    /** Path and query, as the caller sent them. */
    public val target: String

    /** Completes when the caller's connection is closed. */
    public val callerDisconnected: Job

    /** True once a response has been started. */
    public val isResponseStarted: Boolean

    /** Returns the first value of the header [name], or null. */
    public fun header(name: String): String?

    /** Returns all header fields in order; names are in lower case. */
    public fun headers(): List<Pair<String, String>>

    /** Sends a complete response. */
    public suspend fun respond(
        status: Int,
        contentType: String,
        body: ByteArray,
        headers: Map<String, String> = emptyMap(),
    )

    /** Starts a response whose body is written in chunks. */
    public suspend fun startStream(
        status: Int,
        contentType: String,
        headers: Map<String, String> = emptyMap(),
    ): BodyWriter
}

/** The result of one read of a body. */
public sealed interface BodyPart {
    /** A chunk of the body. */
    public class Chunk(
        public val bytes: ByteArray,
    ) : BodyPart

    /** The body is complete. */
    public data object End : BodyPart

    /** The body ended prematurely or is invalid. */
    public data class Broken(
        public val reason: String,
        public val kind: ErrorKind = ErrorKind.MALFORMED_REQUEST,
    ) : BodyPart
}

/** Writes the body of a response; each write suspends while the caller reads too slowly. */
public interface BodyWriter {
    /** Writes [bytes]; returns false once the caller is gone. */
    public suspend fun write(bytes: ByteArray): Boolean

    /** Completes the body. */
    public suspend fun finish()

    /** Closes the connection without completing the body, so that the caller detects the error. */
    public fun abort()
}

/** Returns the first value of the query parameter [name], or null. */
public fun HttpCall.query(name: String): String? = QueryStringDecoder(target).parameters()[name]?.firstOrNull()

/** Reads the whole body; fails with [ErrorKind.BODY_TOO_LARGE] if it exceeds [limit] bytes. */
public suspend fun BodySource.readBody(
    limit: Int,
    budget: BufferBudget = BufferBudget.unlimited(),
): Outcome<ByteArray> {
    val buffer = ByteArrayOutputStream()
    try {
        while (true) {
            when (val part = nextChunk()) {
                is BodyPart.Chunk -> {
                    val size = buffer.size() + part.bytes.size
                    if (size > limit) return ErrorKind.BODY_TOO_LARGE.toFailed("the body exceeds $limit bytes")
                    if (!budget.tryResize(buffer.size(), size)) {
                        return ErrorKind.BODY_TOO_LARGE.toFailed("all bodies together exceed this VM's buffers")
                    }
                    buffer.write(part.bytes)
                }

                is BodyPart.End -> {
                    return buffer.toByteArray().toOk()
                }

                is BodyPart.Broken -> {
                    return part.kind.toFailed("the body broke off: ${part.reason}")
                }
            }
        }
    } finally {
        budget.release(buffer.size())
    }
}
