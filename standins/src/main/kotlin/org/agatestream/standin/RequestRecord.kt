package org.agatestream.standin

import kotlinx.serialization.Serializable
import java.util.ArrayDeque

/** A request received by a stand-in. */
@Serializable
public data class RequestRecord(
    val method: String,
    val target: String,
    val headers: List<HeaderField>,
    /** The first [MAX_RECORDED_BYTES] bytes of the body, as text. */
    val body: String,
) {
    /** Returns the first value of the header [name], which is in lower case, or null. */
    public fun header(name: String): String? = headers.firstOrNull { it.name == name }?.value

    public companion object {
        /** Maximum number of bytes of a body that are recorded. */
        public const val MAX_RECORDED_BYTES: Int = 4_096
    }
}

/** One header field; the name is in lower case. */
@Serializable
public data class HeaderField(
    val name: String,
    val value: String,
)

/** The requests received by a stand-in, oldest first. */
@Serializable
public data class RequestRecords(
    /** Number of older requests that were discarded. */
    val dropped: Long,
    val records: List<RequestRecord>,
)

/** Thread-safe buffer of the most recent requests of a stand-in. */
internal class RequestLog(
    private val capacity: Int = 100_000,
) {
    private val records = ArrayDeque<RequestRecord>()
    private var dropped = 0L

    @Synchronized
    fun add(record: RequestRecord) {
        if (records.size == capacity) {
            records.removeFirst()
            dropped++
        }
        records.addLast(record)
    }

    @Synchronized
    fun snapshot(): RequestRecords = RequestRecords(dropped, records.toList())
}
