package org.agatestream.server

/** Why the end of a run is not known to be the end of the stream. */
internal enum class StreamFault(
    val reason: String,
) {
    WITHIN_EVENT("the stream ended within an event"),

    /** The run brought no event: none follows the last one, or the server failed before the next. */
    NO_EVENT("the stream had no event"),
}

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

    /** Returns why the end of the run, after the bytes [remainder] of no event, need not be the end of the stream. */
    fun faultAtEnd(remainder: ByteArray): StreamFault? =
        when {
            remainder.isNotEmpty() -> StreamFault.WITHIN_EVENT
            isAdvanced -> null
            else -> StreamFault.NO_EVENT
        }
}
