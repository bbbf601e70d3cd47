package org.agatestream.core

import kotlinx.serialization.Serializable

/** The size and load of a fleet that capacity is worked out for. */
@Serializable
public data class FleetSize(
    val vms: Int,
    val backendServers: Int,
    val requestsPerSecond: Double,
    val tokensPerSecond: Double,
    val itemsPerDay: Double,
    val jobsPerDay: Double,
    val largestJobItems: Int,
    val workspaces: Int,
    val callerKeys: Int,
    val changesPerDay: Double,
    val vmChangesPerDay: Double,
)

/** What one VM may spend on control, and what the platform's table service takes. */
@Serializable
public data class CapacityLimits(
    val controlCorePercent: Double,
    val controlMegabytes: Double,
    val controlKilobytesPerSecond: Double,
    val tableWritesPerSecond: Double,
    val tableReadsPerSecond: Double,
)
