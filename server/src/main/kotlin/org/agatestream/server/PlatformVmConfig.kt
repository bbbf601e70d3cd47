package org.agatestream.server

import kotlinx.serialization.Serializable
import org.agatestream.core.FailureDomainId
import org.agatestream.core.placement.PlacementSettings

/** The settings file of a VM that runs on the users' platform; the platform fills it in from a template. */
@Serializable
public data class PlatformVmConfig(
    /** The VM's name, which stays the same across restarts. */
    val name: String,
    val failureDomain: FailureDomainId,
    /** Host and port on which callers are served. */
    val callerAddress: String,
    /** Host and port on which callers look up the addresses of VMs. */
    val entryAddress: String,
    /** Host and port of the platform's readiness probe. */
    val readyAddress: String,
    /** Host and port on which other VMs connect. */
    val peerAddress: String,
    /** Host and port of the metrics page; null for none. */
    val metricsAddress: String? = null,
    /** Peer addresses of VMs to bootstrap from if the store is unreachable at start. */
    val seedPeers: List<String> = emptyList(),
    /** Host and port of the platform's store. */
    val storeAddress: String,
    /** The fraction of a core that this VM has. */
    val coreShare: Double = 1.0,
    /** The speed of that core, as a multiple of a standard core. */
    val coreSpeed: Double = 1.0,
    /** The maximum size of a row's value in base64, in bytes. */
    val rowBytes: Int,
    /** The time from SIGTERM until the platform kills the process, in seconds. */
    val shutdownGraceSeconds: Double,
    /** The maximum TTL of an answer with the entry addresses, in seconds. */
    val entryTtlMaxSeconds: Double,
    /** How long a job's results stay readable after its submission, in seconds. */
    val resultsKeptSeconds: Double,
    /** The names of the parts of the platform's rules that are in force. */
    val contracts: List<String> = emptyList(),
    /** The environment variable that holds the fleet secret. */
    val fleetSecretVariable: String = "AGATESTREAM_FLEET_SECRET",
    /** What it costs to send a request to another failure domain. */
    val placement: PlacementSettings = PlacementSettings(),
) {
    /** The processing capacity of this VM, in standard cores. */
    val cores: Double get() = coreShare * coreSpeed
}
