package org.agatestream.server

import kotlinx.serialization.Serializable
import org.agatestream.core.FailureDomainId
import org.agatestream.core.VmId

/** The configuration file of one VM: its identity and the addresses of the platform and the first peers. */
@Serializable
public data class VmConfig(
    val vm: VmId,
    val failureDomain: FailureDomainId,
    /** Host and port on which callers and operators are served. */
    val callerAddress: String,
    /** Host and port on which other VMs are served. */
    val peerAddress: String,
    /** Host and port of the platform's table service, object store and VM list. */
    val platformAddress: String,
    /** Peer addresses to contact if the platform does not respond at startup. */
    val seedPeers: List<String> = emptyList(),
    /** The environment variable that holds the secret which VMs share. */
    val fleetSecretVariable: String = "AGATESTREAM_FLEET_SECRET",
    /** How long callers may use the entry addresses of a response, in seconds. */
    val entryTtlSeconds: Int = 10,
    /** How long a shutdown waits for running requests, in seconds. */
    val shutdownGraceSeconds: Int = 60,
)
