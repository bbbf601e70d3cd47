package org.agatestream.standin

/** What happens beside the planned stops of a [RollingStop]. */
internal enum class StopStrain {
    /** Events of 16 KB, and readers that fall behind the servers. */
    LARGE_EVENTS,

    /** A request may take 12 s at its caller and by its route, longer than the grace period. */
    LONG_TIMEOUTS,

    /** The bodies of a quarter of the callers take 2.4 s to arrive. */
    SLOW_BODIES,

    /** A new manifest each second, which takes away or gives back the route and the key of some callers. */
    MANIFESTS,

    /** Three more of SIGTERM and SIGHUP each during a stop. */
    SIGNALS,

    /** A second stop 1 s after a VM is back. */
    SECOND_STOP,

    /** The coordinator is stopped, and the VM that follows it as soon as it coordinates. */
    COORDINATORS,

    /** Jobs under way through all stops. */
    JOBS,

    /** Processes that use all the processor time they get. */
    BUSY,

    /** Three pauses of 300 ms of a VM that is being stopped. */
    PAUSES,

    /** Twice as many VMs. */
    MANY_VMS,
}
