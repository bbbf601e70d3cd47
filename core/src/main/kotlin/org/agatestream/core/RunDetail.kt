package org.agatestream.core

import kotlinx.serialization.Serializable
import org.agatestream.core.limit.ReportedLimit
import org.agatestream.core.placement.ReportedLoad

/** What a VM observed of a run beyond its outcome. */
@Serializable
public data class RunDetail(
    /** True if the server answered with a failure of its own, such as status 500. */
    val isServerError: Boolean = false,
    /** The longest pause between two events, in milliseconds; null if the response was not streamed. */
    val longestPauseMillis: Long? = null,
    /** The last load that the server reported; null if it reported none. */
    val load: ReportedLoad? = null,
    /** The age of [load] when the detail was sent, in milliseconds. */
    val loadAgeMillis: Long = 0,
    /** True if the server announced that it is leaving. */
    val isServerLeaving: Boolean = false,
    /** What the server said about the requests that it takes; null if no response is proven to be its own. */
    val limit: ReportedLimit? = null,
) {
    public companion object {
        /** Nothing was observed. */
        public val NONE: RunDetail = RunDetail()
    }
}
