package org.agatestream.server

import org.agatestream.http.HttpClientResponse

/** The position in a stream that one or more runs produce, and the check that each run continues it. */
internal class StreamProgress(
    lastEvent: Long? = null,
) {
    /** The number of the last event; null if there was none. */
    var lastEvent: Long? = lastEvent
        private set
    private var isAdvanced = false

    /** Starts a run that continues after the event numbered [after], or from the start if it is null. */
    fun startRun(after: Long? = lastEvent) {
        lastEvent = after
        isAdvanced = false
    }

    /** Takes the next [events] of the run; returns false and takes none of them if one does not continue the stream. */
    fun accept(events: List<StreamEvent>): Boolean {
        var last = lastEvent
        for (event in events) {
            if (!event.follows(last)) return false
            last = event.id ?: last
        }
        if (last != lastEvent) isAdvanced = true
        lastEvent = last
        return true
    }

    /**
     * Returns why the end of [response] is not the end of the stream, or null if it is.
     *
     * A run without events may end a stream only if the response says where it ends: a server that fails may close the
     * connection in order.
     */
    fun faultAtEnd(
        response: HttpClientResponse,
        remainder: ByteArray,
    ): String? =
        when {
            remainder.isNotEmpty() -> "the stream ended within an event"
            isAdvanced || response.header("content-length") == "0" -> null
            lastEvent != null && response.isDelimited() -> null
            else -> "the stream had no event"
        }

    private fun HttpClientResponse.isDelimited(): Boolean =
        header("content-length") != null || header("transfer-encoding") != null
}
