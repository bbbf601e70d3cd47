package org.agatestream.cli

import kotlinx.cli.ArgType
import kotlinx.cli.ExperimentalCli
import kotlinx.cli.Subcommand
import kotlinx.serialization.json.Json
import org.agatestream.core.BurnRateCounter
import org.agatestream.core.BurnRateLine
import org.agatestream.core.RequestClass
import org.agatestream.server.BurnRateReport

/** Prints reports on the fleet. */
@OptIn(ExperimentalCli::class)
internal class ReportCommand(
    selected: SelectedAction,
) : Subcommand("report", "Print reports on the fleet") {
    init {
        subcommands(BurnReportCommand(selected), CapacityReportCommand(selected))
    }

    override fun execute() = Unit
}

@OptIn(ExperimentalCli::class)
private class BurnReportCommand(
    private val selected: SelectedAction,
) : Subcommand("burn", "Print the error budget burn rate of each workspace, summed over all VMs") {
    private val entry by option(ArgType.String, description = "Entry addresses, separated by commas")

    override fun execute() {
        selected.action = { withApi(entry) { report(it) } }
    }

    private suspend fun report(api: ApiClient): ExitStatus {
        val result = api.call("GET", "/admin/v1/burn")
        if (result !is ApiResult.Response || result.status != STATUS_OK) return result.print()
        val report = lenientJson.decodeFromString(BurnRateReport.serializer(), result.text)
        printTable(report.lines)
        report.unanswered.forEach { System.err.println("vm=$it answered=false") }
        return if (report.unanswered.isEmpty()) ExitStatus.DONE else ExitStatus.FAILED
    }

    private fun printTable(lines: List<BurnRateLine>) {
        println("%-24s %-7s %8s %10s %8s %9s".format("workspace", "class", "minutes", "good", "bad", "burn"))
        for (line in lines) println(format(line))
    }

    private fun format(line: BurnRateLine): String {
        val objective = BurnRateCounter.OBJECTIVES.first { it.requestClass == line.requestClass }
        val counts = line.counts
        return "%-24s %-7s %8d %10d %8d %9.2f".format(
            line.workspace,
            label(line.requestClass),
            line.windowMinutes,
            counts.good,
            counts.bad,
            counts.burnRate(objective.goodShare),
        )
    }

    private fun label(requestClass: RequestClass): String =
        when (requestClass) {
            RequestClass.ONLINE -> "online"
            RequestClass.BATCH -> "batch"
        }

    private companion object {
        const val STATUS_OK = 200
    }
}

/** Ignores unknown keys, so that responses of newer versions can be decoded. */
internal val lenientJson: Json = Json { ignoreUnknownKeys = true }
