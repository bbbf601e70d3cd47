package org.agatestream.core

/** Computes the resource use of a fleet of [size] from measured [slopes]. */
public fun capacityOf(
    size: FleetSize,
    slopes: CapacitySlopes,
    limits: CapacityLimits,
): List<CapacityLine> {
    val model = CapacityModel(size, slopes, limits)
    return model.control() + model.table() + model.requests() + model.batch()
}

private class CapacityModel(
    private val size: FleetSize,
    private val slopes: CapacitySlopes,
    private val limits: CapacityLimits,
) {
    private val requestsPerVm = size.requestsPerSecond / size.vms
    private val chunksPerSecond = size.itemsPerDay / slopes.batch.itemsPerChunk / SECONDS_PER_DAY
    private val changesPerSecond = size.changesPerDay / SECONDS_PER_DAY

    fun control(): List<CapacityLine> {
        val heartbeat = slopes.heartbeat.bytesPerSecond + slopes.heartbeat.bytesPerSecondPerVm * size.vms
        val config = slopes.heartbeat.bytesPerChange * changesPerSecond
        val limitRequests = limitRequestBytes()
        val reports = slopes.limits.bytesPerLoadReport * slopes.limits.loadReportsPerSecond
        val bytes = heartbeat + config + limitRequests + reports
        return listOf(
            line("heartbeats", heartbeat / BYTES_PER_KILOBYTE, "KB/s a VM"),
            line("settings", config / BYTES_PER_KILOBYTE, "KB/s a VM"),
            line("rate and slot asks", limitRequests / BYTES_PER_KILOBYTE, "KB/s a VM"),
            line("load reports", reports / BYTES_PER_KILOBYTE, "KB/s a VM"),
            line("all control messages", bytes / BYTES_PER_KILOBYTE, "KB/s a VM", limits.controlKilobytesPerSecond),
            line("processor time", controlMicros() / MICROS_PER_PERCENT, "% of a core", limits.controlCorePercent),
            line("memory", controlKilobytes() / KILOBYTES_PER_MEGABYTE, "MB a VM", limits.controlMegabytes),
        )
    }

    fun table(): List<CapacityLine> {
        val jobWrites = size.jobsPerDay / SECONDS_PER_DAY * slopes.batch.writesPerJob
        val batchWrites = chunksPerSecond * slopes.batch.writesPerChunk + jobWrites
        val configWrites = changesPerSecond * slopes.table.writesPerChange
        val planWrites = size.vmChangesPerDay / SECONDS_PER_DAY * slopes.table.writesPerVmChange
        val reads =
            slopes.table.coordinationReadsPerSecond + slopes.batch.discoveryReadsPerSecond +
                chunksPerSecond * slopes.batch.readsPerChunk
        val writes = batchWrites + configWrites + planWrites
        return listOf(
            CapacityLine("table", "batch writes", batchWrites, "1/s"),
            CapacityLine("table", "settings writes", configWrites, "1/s"),
            CapacityLine("table", "plan writes", planWrites, "1/s"),
            CapacityLine("table", "all writes", writes, "1/s", limits.tableWritesPerSecond),
            CapacityLine("table", "all reads", reads, "1/s", limits.tableReadsPerSecond),
            CapacityLine("objects", "writes", chunksPerSecond * slopes.batch.objectsPerChunk, "1/s"),
        )
    }

    fun requests(): List<CapacityLine> {
        val tokensPerVm = size.tokensPerSecond / size.vms
        val micros = requestsPerVm * slopes.requests.microsPerRequest + tokensPerVm * slopes.requests.microsPerToken
        return listOf(
            CapacityLine("requests", "requests", requestsPerVm, "1/s a VM"),
            CapacityLine("requests", "tokens", tokensPerVm, "1/s a VM"),
            CapacityLine("requests", "processor time", micros / MICROS_PER_PERCENT, "% of a core"),
        )
    }

    fun batch(): List<CapacityLine> {
        val items = size.itemsPerDay / SECONDS_PER_DAY
        return listOf(
            CapacityLine("batch", "items", items, "1/s"),
            CapacityLine("batch", "chunks", chunksPerSecond, "1/s"),
            CapacityLine(
                "batch",
                "chunks of the largest job",
                size.largestJobItems / slopes.batch.itemsPerChunk,
                "chunks",
            ),
            CapacityLine(
                "batch",
                "processor time",
                items / size.vms * slopes.batch.microsPerItem / MICROS_PER_PERCENT,
                "% of a core",
            ),
        )
    }

    /** Each request is sent by one VM and received by another, so it counts twice in the traffic per VM. */
    private fun limitRequestBytes(): Double {
        val admits = requestsPerVm * slopes.limits.admitsPerRequest * slopes.limits.bytesPerAdmit
        val renewals = slopes.limits.renewalsPerSecond * slopes.limits.bytesPerRenewal
        return 2 * (admits + renewals)
    }

    private fun controlMicros(): Double {
        val limitRequests = requestsPerVm * slopes.limits.admitsPerRequest + slopes.limits.renewalsPerSecond
        return slopes.heartbeat.microsPerSecond +
            slopes.heartbeat.microsPerSecondPerVm * size.vms +
            limitRequests * slopes.limits.microsPerAsk
    }

    private fun controlKilobytes(): Double =
        slopes.memory.kilobytesPerWorkspace * size.workspaces +
            slopes.memory.kilobytesPerKey * size.callerKeys +
            slopes.memory.kilobytesPerBackendServer * size.backendServers +
            (slopes.memory.kilobytesPerVm + slopes.memory.kilobytesPerPeerConnection) * size.vms

    private fun line(
        quantity: String,
        value: Double,
        unit: String,
        limit: Double? = null,
    ) = CapacityLine("control", quantity, value, unit, limit)

    private companion object {
        const val SECONDS_PER_DAY = 86_400.0
        const val BYTES_PER_KILOBYTE = 1_000.0
        const val KILOBYTES_PER_MEGABYTE = 1_000.0
        const val MICROS_PER_PERCENT = 10_000.0
    }
}
