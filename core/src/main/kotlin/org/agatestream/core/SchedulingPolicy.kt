package org.agatestream.core

import org.agatestream.core.placement.PlacementSettings

/** What a [Dispatcher] considers beyond rank, arrival and free slots; a deployment's configuration decides. */
public data class SchedulingPolicy(
    /** True if workspaces share the slots by weight under overload; otherwise rank and arrival alone decide. */
    val sharesSlots: Boolean = true,
    /**
     * True if servers are compared by speed, prompt parts, memory and failure domain; otherwise the one with the most
     * free slots is chosen.
     */
    val comparesServers: Boolean = true,
    val placement: PlacementSettings = PlacementSettings(),
) {
    /** True if the sizes of prompts and answers play a part. */
    internal val usesSizes: Boolean get() = sharesSlots || comparesServers

    public companion object {
        /** Returns the policy of a deployment whose servers share their hosts with other work or don't. */
        public fun forServers(
            areHostsShared: Boolean,
            placement: PlacementSettings = PlacementSettings(),
        ): SchedulingPolicy = SchedulingPolicy(areHostsShared, areHostsShared, placement)
    }
}
