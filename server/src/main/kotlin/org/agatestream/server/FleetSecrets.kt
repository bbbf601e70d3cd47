package org.agatestream.server

/** The secrets of a VM; they come from the environment and are never logged. */
public class FleetSecrets(
    /** Shared by all VMs: they prove it to each other, and keys are hashed under it. */
    public val fleetSecret: ByteArray,
    /** An operator's key for the whole tree, in force before any other exists; null for none. */
    public val bootstrapOperatorKey: String?,
)
