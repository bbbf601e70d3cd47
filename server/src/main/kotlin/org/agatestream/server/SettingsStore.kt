package org.agatestream.server

import kotlinx.serialization.Serializable
import org.agatestream.core.ConfigLogEntry
import org.agatestream.core.ConfigState
import org.agatestream.core.ConfigWrite
import org.agatestream.core.Outcome
import org.agatestream.core.Revision
import org.agatestream.core.VmId

/** The settings of the fleet as operators see and change them. */
public interface SettingsStore {
    /** The settings in force on this VM. */
    public val settings: ConfigState

    /**
     * Makes a change and returns its revision once it is in force on a majority of the planned VMs.
     *
     * Fails with `REVISION_CONFLICT`, `INVALID_SETTING`, `PLATFORM_UNAVAILABLE`, and with `CHANGE_PENDING` if the
     * change is or may be durable but not yet confirmed; a retry with the same change id resolves it.
     */
    public suspend fun put(write: ConfigWrite): Outcome<Revision>

    /** Returns up to [limit] changes, newest first; fails with `PLATFORM_UNAVAILABLE`. */
    public suspend fun history(limit: Int): Outcome<List<ConfigLogEntry>>

    /** Returns the revision in force on each VM of the platform's list. */
    public suspend fun inForce(): List<VmInForce>
}

/** The revision in force on a VM, or null if the VM did not respond. */
@Serializable
public data class VmInForce(
    val vm: VmId,
    val revision: Revision?,
)
