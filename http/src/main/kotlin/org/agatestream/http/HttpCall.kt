package org.agatestream.http

import io.netty.handler.codec.http.QueryStringDecoder
import kotlinx.coroutines.Job
import org.agatestream.core.ErrorKind
import org.agatestream.core.Outcome
import org.agatestream.core.toFailed
import org.agatestream.core.toOk
import java.io.ByteArrayOutputStream

/** A body that is read piece by piece. */
public interface BodySource {
    /** Returns the next piece of the body; reads from the socket only on demand. */
    public suspend fun nextChunk(): BodyPart
}

/** One request of a caller and the means to answer it; each call is answered once. */
public interface HttpCall : BodySource {
    public val method: String

    /** The path without the query, percent-decoded. */
    public val path: String

    /** Path and query as the caller sent them. */
    public val target: String

    /** Completes when the caller's connection is gone. */
    public val callerGone: Job

    /** True once the status line of an answer has been written. */
    public val answered: Boolean

    /** Returns the first value of the header [name], or null. */
    public fun header(name: String): String?

    /** Returns all header fields in order; names are in lower case. */
    public fun headers(): List<Pair<String, String>>

    /** Answers with a whole body. */
    public suspend fun respond(
        status: Int,
        contentType: String,
        body: ByteArray,
        headers: Map<String, String> = emptyMap(),
    )

    /** Begins an answer whose body is written piece by piece. */
    public suspend fun startStream(
        status: Int,
        contentType: String,
        headers: Map<String, String> = emptyMap(),
    ): BodyWriter
}

/** A step in reading a body. */
public sealed interface BodyPart {
    /** A piece of the body. */
    public class Chunk(
        public val bytes: ByteArray,
    ) : BodyPart

    /** The body is complete. */
    public data object End : BodyPart

    /** The body stopped before its end. */
    public data class Broken(
        public val reason: String,
        public val kind: ErrorKind = ErrorKind.MALFORMED_REQUEST,
    ) : BodyPart
}

/** Writes the body of an answer; each write waits while the reader is slow. */
public interface BodyWriter {
    /** Writes [bytes]; returns false once the reader is gone. */
    public suspend fun write(bytes: ByteArray): Boolean

    /** Ends the body so that the reader sees it is complete. */
    public suspend fun finish()

    /** Closes the connection without completing the body, so that the reader sees an error. */
    public fun abort()
}

/** Returns the first value of the query parameter [name], or null. */
public fun HttpCall.query(name: String): String? = QueryStringDecoder(target).parameters()[name]?.firstOrNull()

/** Reads a whole body of up to [limit] bytes. */
public suspend fun BodySource.readBody(limit: Int): Outcome<ByteArray> {
    val buffer = ByteArrayOutputStream()
    while (true) {
        when (val part = nextChunk()) {
            is BodyPart.Chunk -> {
                buffer.write(part.bytes)
                if (buffer.size() > limit) return ErrorKind.BODY_TOO_LARGE.toFailed("the body exceeds $limit bytes")
            }

            is BodyPart.End -> {
                return buffer.toByteArray().toOk()
            }

            is BodyPart.Broken -> {
                return part.kind.toFailed("the body broke off: ${part.reason}")
            }
        }
    }
}
