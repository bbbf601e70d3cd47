package org.agatestream.server

import org.agatestream.core.MonotonicTime
import org.agatestream.http.BodyWriter
import org.agatestream.http.HttpCall
import kotlin.time.Duration

/** A call that notes how it is answered. */
internal class ObservedCall(
    private val call: HttpCall,
    private val clock: () -> MonotonicTime,
) : HttpCall by call {
    private val arrivedAt = clock()

    /** The status of the answer, or null before there is one. */
    @Volatile
    var status: Int? = null
        private set

    /** When the first byte of the answer's body was written, counted from the call's arrival. */
    @Volatile
    var firstByteAfter: Duration? = null
        private set

    /** True once the answer was written to its end. */
    @Volatile
    var isWhole: Boolean = false
        private set

    override suspend fun respond(
        status: Int,
        contentType: String,
        body: ByteArray,
        headers: Map<String, String>,
    ) {
        this.status = status
        noteByte()
        call.respond(status, contentType, body, headers)
        isWhole = true
    }

    override suspend fun startStream(
        status: Int,
        contentType: String,
        headers: Map<String, String>,
    ): BodyWriter {
        this.status = status
        return ObservedWriter(call.startStream(status, contentType, headers))
    }

    private fun noteByte() {
        if (firstByteAfter == null) firstByteAfter = clock() - arrivedAt
    }

    private inner class ObservedWriter(
        private val writer: BodyWriter,
    ) : BodyWriter by writer {
        override suspend fun write(bytes: ByteArray): Boolean {
            noteByte()
            return writer.write(bytes)
        }

        override suspend fun finish() {
            writer.finish()
            isWhole = true
        }
    }
}
