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

/** Prints the capacity table, computed from a file of measured slopes. */
@OptIn(ExperimentalCli::class)
internal class CapacityReportCommand(
    private val selected: SelectedAction,
) : Subcommand("capacity", "Print the resources that a fleet needs, computed from measured slopes") {
    private val file by argument(ArgType.String, description = "File with size, limits and slopes")

    override fun execute() {
        selected.action = { report() }
    }

    private fun report(): ExitStatus =
        withSettings(CapacityFile.serializer(), file) { input ->
            println("| role | quantity | value | unit | limit |")
            println("| --- | --- | ---: | --- | ---: |")
            input.toLines().forEach { println(it.toRow()) }
            ExitStatus.DONE
        }
}

/** The input of the capacity report. */
@Serializable
internal data class CapacityFile(
    val size: FleetSize,
    val limits: CapacityLimits,
    val slopes: CapacitySlopes,
) {
    fun toLines(): List<CapacityLine> = capacityOf(size, slopes, limits)
}

private fun CapacityLine.toRow(): String {
    val limitText = limit?.let { "%.1f%s".format(it, if (isWithinLimit) "" else ", exceeded") }.orEmpty()
    return "| $role | $quantity | ${"%.2f".format(value)} | $unit | $limitText |"
}
