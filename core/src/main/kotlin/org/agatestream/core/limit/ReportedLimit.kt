package org.agatestream.core.limit

import kotlinx.serialization.Serializable
import org.agatestream.core.ServerIncarnation

/** What a response of a backend server said about the requests that the server takes from all VMs together. */
@Serializable
public data class ReportedLimit(
    /** In requests per second; null if the response named no limit. */
    val perSecond: Double? = null,
    /** The age of the response when the VM passed this on, in milliseconds. */
    val ageMillis: Long = 0,
)

/** A limit that [server] named to a VM. */
@Serializable
public data class ObservedLimit(
    val server: ServerIncarnation,
    val limit: ReportedLimit,
)
