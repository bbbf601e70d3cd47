package org.agatestream.server

import org.agatestream.core.FleetView
import org.agatestream.core.ListedVm
import org.agatestream.core.MonotonicTime
import org.agatestream.core.Plan

/** The state of the fleet as replicated to this VM, and whether it is recent enough to act on. */
public interface Coordination {
    /** The settings in force on this VM; replaced as a whole at each new revision. */
    public val fleet: FleetView

    /** The VMs that may own limits, with an epoch that increases with each plan. */
    public val plan: Plan

    /** The VMs of the platform's list as last read, including those that are leaving. */
    public val vms: List<ListedVm>

    /**
     * Returns whether this VM read the table or reached a majority of the planned VMs within the freshness bound.
     *
     * A VM that is not current refuses requests and does not act as owner.
     */
    public fun isCurrent(now: MonotonicTime): Boolean

    /** Calls [listener] after each change of [fleet] or [plan], on the coroutine that applied it. */
    public fun onChange(listener: (Coordination) -> Unit)
}
