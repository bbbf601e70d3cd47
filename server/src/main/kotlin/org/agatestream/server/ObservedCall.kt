package org.agatestream.server

import org.agatestream.core.MonotonicTime
import org.agatestream.http.BodyWriter
import org.agatestream.http.HttpCall
import kotlin.time.Duration

/** A call that records the status, the time to first byte and the completion of its response. */
internal class ObservedCall(
    private val call: HttpCall,
    private val clock: () -> MonotonicTime,
) : HttpCall by call {
    private val arrivedAt = clock()

    /** The status of the response, or null before there is one. */
    @Volatile
    var status: Int? = null
        private set

    /** The time from the call's arrival to the first byte of the response body, or null before it. */
    @Volatile
    var timeToFirstByte: Duration? = null
        private set

    /** Whether the response has been written completely. */
    @Volatile
    var isComplete: Boolean = false
        private set

    override suspend fun respond(
        status: Int,
        contentType: String,
        body: ByteArray,
        headers: Map<String, String>,
    ) {
        this.status = status
        recordFirstByte()
        call.respond(status, contentType, body, headers)
        isComplete = true
    }

    override suspend fun startStream(
        status: Int,
        contentType: String,
        headers: Map<String, String>,
    ): BodyWriter {
        this.status = status
        return ObservedWriter(call.startStream(status, contentType, headers))
    }

    private fun recordFirstByte() {
        if (timeToFirstByte == null) timeToFirstByte = clock() - arrivedAt
    }

    private inner class ObservedWriter(
        private val writer: BodyWriter,
    ) : BodyWriter by writer {
        override suspend fun write(bytes: ByteArray): Boolean {
            recordFirstByte()
            return writer.write(bytes)
        }

        override suspend fun finish() {
            writer.finish()
            isComplete = true
        }
    }
}
