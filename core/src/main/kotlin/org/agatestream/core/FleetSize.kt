package org.agatestream.core

import kotlinx.serialization.Serializable

/** The size and load of a fleet for the capacity report. */
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

/** Limits on the control traffic of one VM and on the load of the platform's table service. */
@Serializable
public data class CapacityLimits(
    val controlCorePercent: Double,
    val controlMegabytes: Double,
    val controlKilobytesPerSecond: Double,
    val tableWritesPerSecond: Double,
    val tableReadsPerSecond: Double,
)
