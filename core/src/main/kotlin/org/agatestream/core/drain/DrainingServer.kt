package org.agatestream.core.drain

import kotlinx.serialization.Serializable
import org.agatestream.core.ServerIncarnation
import kotlin.time.Duration

/** How a VM learned that a backend server is leaving. */
public enum class DrainSource {
    /** The server's row. */
    ROW,

    /** A response of the server to this VM. */
    HEADER,

    /** Another VM. */
    PEER,
}

/** A backend server that gets no new work as it is leaving. */
public data class DrainingServer(
    val server: ServerIncarnation,
    val source: DrainSource,
    /** The time since the server announced it; zero if only its row says so, which does not tell since when. */
    val age: Duration,
)

/** What one VM tells another about a leaving server; times are ages, as the clocks of two VMs can't be compared. */
@Serializable
public data class LeavingFact(
    val server: ServerIncarnation,
    /** The time since the server announced that it is leaving, in milliseconds. */
    val ageMillis: Long,
)
