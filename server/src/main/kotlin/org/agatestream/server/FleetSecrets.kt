package org.agatestream.server

/** The secrets of a VM; they come from the environment and are never logged. */
public class FleetSecrets(
    /** The secret shared by all VMs, which authenticates them to each other and keys the hashes of API keys. */
    public val fleetSecret: ByteArray,
    /** An operator's key for all settings that is valid without an entry in the settings, or null for none. */
    public val bootstrapOperatorKey: String?,
)
