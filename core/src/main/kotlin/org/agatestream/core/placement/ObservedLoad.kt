package org.agatestream.core.placement

import kotlinx.serialization.Serializable
import org.agatestream.core.BackendServerId

/** A load that [server] reported to a VM, with its age when the VM passed it on. */
@Serializable
public data class ObservedLoad(
    val server: BackendServerId,
    val load: ReportedLoad,
    /** In milliseconds. */
    val ageMillis: Long,
)
