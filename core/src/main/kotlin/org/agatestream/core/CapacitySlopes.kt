package org.agatestream.core

import kotlinx.serialization.Serializable

/** What one unit of each kind of work costs; each value comes from a measurement in docs/MEASUREMENTS.md. */
@Serializable
public data class CapacitySlopes(
    val heartbeat: HeartbeatSlopes,
    val limits: LimitSlopes,
    val requests: RequestSlopes,
    val batch: BatchSlopes,
    val memory: MemorySlopes,
    val table: TableSlopes,
)

/** Heartbeats and the spread of settings. */
@Serializable
public data class HeartbeatSlopes(
    /** Bytes a VM sends and receives in a second whatever the number of VMs. */
    val bytesPerSecond: Double,
    /** Further bytes a second for each VM of the fleet. */
    val bytesPerSecondPerVm: Double,
    /** Processor microseconds a second. */
    val microsPerSecond: Double,
    /** Further processor microseconds a second for each VM of the fleet. */
    val microsPerSecondPerVm: Double,
    /** Bytes a VM sends and receives for one change of settings. */
    val bytesPerChange: Double,
)

/** Asks to the owners of rates and slots. */
@Serializable
public data class LimitSlopes(
    /** Bytes of an ask and its answer for a workspace's rate. */
    val bytesPerAdmit: Double,
    /** Asks for a workspace's rate that one request costs. */
    val admitsPerRequest: Double,
    /** Bytes of an ask and its answer that renew the slots held on one backend server. */
    val bytesPerRenewal: Double,
    /** Renewals that one VM sends in a second. */
    val renewalsPerSecond: Double,
    /** Processor microseconds of one ask, at both ends together. */
    val microsPerAsk: Double,
    /** Bytes of one load report with its request. */
    val bytesPerLoadReport: Double,
    /** Load reports that one VM reads in a second. */
    val loadReportsPerSecond: Double,
)

/** Requests of callers. */
@Serializable
public data class RequestSlopes(
    /** Processor microseconds for one request, its tokens not counted. */
    val microsPerRequest: Double,
    /** Processor microseconds for passing on one token. */
    val microsPerToken: Double,
    /** Kilobytes of memory for one open connection with its request. */
    val kilobytesPerConnection: Double,
)

/** Batch jobs. */
@Serializable
public data class BatchSlopes(
    /** Items that one chunk holds. */
    val itemsPerChunk: Double,
    /** Table writes for one chunk from claim to completion. */
    val writesPerChunk: Double,
    /** Table writes for one job besides its chunks. */
    val writesPerJob: Double,
    /** Objects written for one chunk, input and results. */
    val objectsPerChunk: Double,
    /** Table reads a second in the whole fleet for finding work. */
    val discoveryReadsPerSecond: Double,
    /** Table reads for one chunk. */
    val readsPerChunk: Double,
    /** Processor microseconds for one item, its run at the backend server not counted. */
    val microsPerItem: Double,
)

/** State that every VM holds. */
@Serializable
public data class MemorySlopes(
    /** Kilobytes for one workspace with its settings and share. */
    val kilobytesPerWorkspace: Double,
    /** Kilobytes for one caller's key. */
    val kilobytesPerKey: Double,
    /** Kilobytes for one backend server with its slots and load report. */
    val kilobytesPerBackendServer: Double,
    /** Kilobytes for one VM of the fleet. */
    val kilobytesPerVm: Double,
    /** Kilobytes for one open connection to another VM. */
    val kilobytesPerPeerConnection: Double,
)

/** The platform's table service. */
@Serializable
public data class TableSlopes(
    /** Reads a second in the whole fleet for the head of the settings and the VM list. */
    val coordinationReadsPerSecond: Double,
    /** Writes for one change of settings. */
    val writesPerChange: Double,
    /** Writes for one VM that joins or leaves. */
    val writesPerVmChange: Double,
)
