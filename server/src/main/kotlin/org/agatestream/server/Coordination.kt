package org.agatestream.server

import org.agatestream.core.FleetView
import org.agatestream.core.ListedVm
import org.agatestream.core.MonotonicTime
import org.agatestream.core.Plan

/** What this VM knows of the fleet and whether that knowledge is recent enough to act on. */
public interface Coordination {
    /** The settings in force on this VM; replaced as a whole at each new revision. */
    public val fleet: FleetView

    /** The VMs that may own limits, under an increasing epoch. */
    public val plan: Plan

    /** The VMs of the platform's list as last read, leaving ones included. */
    public val vms: List<ListedVm>

    /**
     * Returns whether this VM has, within the freshness bound, read the table or met a majority of the planned VMs.
     *
     * A VM that is not current refuses requests and acts as no owner.
     */
    public fun isCurrent(now: MonotonicTime): Boolean

    /** Calls [listener] after each change of [fleet] or [plan], on the coroutine that applied it. */
    public fun onChange(listener: (Coordination) -> Unit)
}
