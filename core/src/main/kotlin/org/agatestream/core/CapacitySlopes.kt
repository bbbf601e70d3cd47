package org.agatestream.core

import kotlinx.serialization.Serializable

/** The cost per unit of each kind of work; docs/MEASUREMENTS.md has the measurement of each value. */
@Serializable
public data class CapacitySlopes(
    val heartbeat: HeartbeatSlopes,
    val limits: LimitSlopes,
    val requests: RequestSlopes,
    val batch: BatchSlopes,
    val memory: MemorySlopes,
    val table: TableSlopes,
)

/** Costs of heartbeats and of propagating settings. */
@Serializable
public data class HeartbeatSlopes(
    /** Bytes per second that a VM sends and receives, independent of the number of VMs. */
    val bytesPerSecond: Double,
    /** Additional bytes per second for each VM of the fleet. */
    val bytesPerSecondPerVm: Double,
    /** CPU microseconds per second. */
    val microsPerSecond: Double,
    /** Additional CPU microseconds per second for each VM of the fleet. */
    val microsPerSecondPerVm: Double,
    /** Bytes that a VM sends and receives for one change of settings. */
    val bytesPerChange: Double,
)

/** Costs of requests to the owners of rates and slots. */
@Serializable
public data class LimitSlopes(
    /** Bytes of a request for a workspace's rate and its response. */
    val bytesPerAdmit: Double,
    /** Requests to rate owners per request of a caller. */
    val admitsPerRequest: Double,
    /** Bytes of a request and its response that renew the slots held on one backend server. */
    val bytesPerRenewal: Double,
    /** Renewals that one VM sends per second. */
    val renewalsPerSecond: Double,
    /** CPU microseconds of one request to an owner, sender and owner together. */
    val microsPerAsk: Double,
    /** Bytes of one load report and its request. */
    val bytesPerLoadReport: Double,
    /** Load reports that one VM reads per second. */
    val loadReportsPerSecond: Double,
)

/** Costs of callers' requests. */
@Serializable
public data class RequestSlopes(
    /** CPU microseconds for one request, without its tokens. */
    val microsPerRequest: Double,
    /** CPU microseconds for relaying one token. */
    val microsPerToken: Double,
    /** Kilobytes of memory for one open connection with its request. */
    val kilobytesPerConnection: Double,
)

/** Costs of batch jobs. */
@Serializable
public data class BatchSlopes(
    /** Items in one chunk. */
    val itemsPerChunk: Double,
    /** Table writes for one chunk from claim to completion. */
    val writesPerChunk: Double,
    /** Table writes for one job, without its chunks. */
    val writesPerJob: Double,
    /** Objects written for one chunk, input and results. */
    val objectsPerChunk: Double,
    /** Table reads per second of the whole fleet for finding work. */
    val discoveryReadsPerSecond: Double,
    /** Table reads for one chunk. */
    val readsPerChunk: Double,
    /** CPU microseconds for one item, without its run at the backend server. */
    val microsPerItem: Double,
)

/** Memory for the state that every VM holds. */
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

/** Costs at the platform's table service. */
@Serializable
public data class TableSlopes(
    /** Reads per second of the whole fleet for the head of the settings and the VM list. */
    val coordinationReadsPerSecond: Double,
    /** Writes for one change of settings. */
    val writesPerChange: Double,
    /** Writes for one VM that joins or leaves. */
    val writesPerVmChange: Double,
)
