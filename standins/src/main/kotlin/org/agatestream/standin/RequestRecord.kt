package org.agatestream.standin

import kotlinx.serialization.Serializable
import java.util.ArrayDeque

/** A request as a stand-in received it. */
@Serializable
public data class RequestRecord(
    val method: String,
    val target: String,
    val headers: List<HeaderField>,
    /** The start of the body as text, at most [MAX_RECORDED_BYTES] bytes of it. */
    val body: String,
) {
    /** Returns the first value of the header [name], which is in lower case, or null. */
    public fun header(name: String): String? = headers.firstOrNull { it.name == name }?.value

    public companion object {
        /** Bytes of a body that are kept. */
        public const val MAX_RECORDED_BYTES: Int = 4_096
    }
}

/** One header field; the name is in lower case. */
@Serializable
public data class HeaderField(
    val name: String,
    val value: String,
)

/** The requests that reached a stand-in, oldest first. */
@Serializable
public data class RequestRecords(
    /** Requests that were received before the first of [records] and are no longer kept. */
    val dropped: Long,
    val records: List<RequestRecord>,
)

/** Keeps the newest requests of a stand-in; safe for concurrent use. */
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
