package org.agatestream.server

import kotlinx.serialization.Serializable
import org.agatestream.core.drain.LeavingFact

/** The part of a message between VMs on the backend servers that announced that they are leaving. */
@Serializable
internal class LeavingReport(
    /** All servers that the sender knows of; null if the receiver is known to have the same. */
    val facts: List<LeavingFact>? = null,
    /** Identifies the servers that the sender knows of; 0 if there are none. */
    val fingerprint: Int = 0,
) {
    companion object {
        /** The report of a VM that knows of no leaving server, or whose build knows of no such report. */
        val NONE = LeavingReport()
    }
}
