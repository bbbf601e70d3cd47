package org.agatestream.cli

import kotlinx.cli.ArgType
import kotlinx.cli.ExperimentalCli
import kotlinx.cli.Subcommand
import kotlinx.serialization.Serializable
import org.agatestream.core.CapacityLimits
import org.agatestream.core.CapacityLine
import org.agatestream.core.CapacitySlopes
import org.agatestream.core.FleetSize
import org.agatestream.core.capacityOf

/** Prints the figures of the capacity page from a file of measured slopes. */
@OptIn(ExperimentalCli::class)
internal class CapacityReportCommand(
    private val selected: SelectedAction,
) : Subcommand("capacity", "Print what a fleet costs, worked out from measured slopes") {
    private val file by argument(ArgType.String, description = "File of size, limits and slopes")

    override fun execute() {
        selected.action = { report() }
    }

    private fun report(): ExitStatus =
        withSettings(CapacityFile.serializer(), file) { capacity ->
            println("| role | quantity | value | unit | limit |")
            println("| --- | --- | ---: | --- | ---: |")
            capacity.toLines().forEach { println(it.toRow()) }
            ExitStatus.DONE
        }
}

/** The file that the capacity page is worked out from. */
@Serializable
internal data class CapacityFile(
    val size: FleetSize,
    val limits: CapacityLimits,
    val slopes: CapacitySlopes,
) {
    fun toLines(): List<CapacityLine> = capacityOf(size, slopes, limits)
}

private fun CapacityLine.toRow(): String {
    val bound = limit?.let { "%.1f%s".format(it, if (fits) "" else ", exceeded") }.orEmpty()
    return "| $role | $quantity | ${"%.2f".format(value)} | $unit | $bound |"
}
