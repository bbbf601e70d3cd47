package org.agatestream.server

import kotlinx.serialization.Serializable
import org.agatestream.core.FailureDomainId

/** The settings file of a VM that runs on the users' platform; the platform fills it in from a template. */
@Serializable
public data class PlatformVmConfig(
    /** The name of the VM, which outlives its process. */
    val name: String,
    val failureDomain: FailureDomainId,
    /** Host and port on which callers are served. */
    val callerAddress: String,
    /** Host and port on which callers learn the addresses of VMs. */
    val entryAddress: String,
    /** Host and port on which the platform asks whether this VM is ready. */
    val readyAddress: String,
    /** Host and port on which other VMs are served. */
    val peerAddress: String,
    /** Host and port of the metrics page; null for none. */
    val metricsAddress: String? = null,
    /** Peer addresses of VMs to ask when the store does not answer at start. */
    val seedPeers: List<String> = emptyList(),
    /** Host and port of the platform's store. */
    val storeAddress: String,
    /** The part of a core that this VM has, and how many times as fast as a usual one the core is. */
    val coreShare: Double = 1.0,
    val coreSpeed: Double = 1.0,
    /** The largest value of a row, as base64, in bytes. */
    val rowBytes: Int,
    /** How long a process may take to end after SIGTERM, in seconds. */
    val shutdownGraceSeconds: Double,
    /** The longest time that callers use an answer of the entry addresses, in seconds. */
    val entryTtlMaxSeconds: Double,
    /** How long callers may read a job's results, in seconds after its submission. */
    val resultsKeptSeconds: Double,
    /** The environment variable that holds the secret which VMs share. */
    val fleetSecretVariable: String = "AGATESTREAM_FLEET_SECRET",
) {
    /** The processor time that this VM has in a second, in seconds of one usual core. */
    val cores: Double get() = coreShare * coreSpeed
}
