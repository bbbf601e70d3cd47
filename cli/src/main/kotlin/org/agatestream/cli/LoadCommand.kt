package org.agatestream.cli

import kotlinx.cli.ArgType
import kotlinx.cli.ExperimentalCli
import kotlinx.cli.Subcommand
import kotlinx.cli.default
import java.io.File
import kotlin.time.Duration.Companion.seconds

/** Generates an open-loop load of streamed completions and reports outcomes and latencies. */
@OptIn(ExperimentalCli::class)
internal class LoadCommand(
    private val selected: SelectedAction,
) : Subcommand("load", "Generate an open-loop load and report latencies and errors") {
    private val entry by option(ArgType.String, description = "Entry addresses, separated by commas")
    private val seconds by option(ArgType.Int, description = "Duration of the load in seconds").default(10)
    private val seed by option(ArgType.Int, description = "Random seed of arrivals and prompts").default(1)
    private val plot by option(ArgType.String, description = "PNG file for a plot of the latencies")
    private val mix by argument(ArgType.String, description = "File that describes the load")

    override fun execute() {
        selected.action = { load() }
    }

    private suspend fun load(): ExitStatus = withSettings(LoadMix.serializer(), mix) { run(it) }

    private suspend fun run(mix: LoadMix): ExitStatus {
        val text = entry ?: System.getenv(ENTRY_VARIABLE) ?: "127.0.0.1:8080"
        val stats = LoadRunner(text.split(','), seconds.seconds, seed).run(mix)
        printTable(stats)
        stats.forEach { println(it.toLine(seconds, seed)) }
        plot?.let { plotLatencies(stats, File(it)) }
        return ExitStatus.DONE
    }
}

private fun printTable(stats: List<LoadStats>) {
    val columns = listOf("stream", "ok", "other", "first p50", "first p99", "token p50", "token p99")
    println("%-20s %8s %8s %10s %10s %10s %10s".format(*columns.toTypedArray()))
    for (s in stats) {
        val ok = s.outcomes()["ok"] ?: 0
        val other = s.outcomes().values.sum() - ok
        val times =
            listOf(
                s.firstToken.millisAt(50.0),
                s.firstToken.millisAt(99.0),
                s.betweenTokens.millisAt(50.0),
                s.betweenTokens.millisAt(99.0),
            )
        println("%-20s %8d %8d".format(s.name, ok, other) + times.joinToString("") { " %10.1f".format(it) })
    }
}

/** Formats the result as one line of key=value pairs; latencies are in milliseconds. */
private fun LoadStats.toLine(
    seconds: Int,
    seed: Int,
): String {
    val outcomes = outcomes().map { (code, count) -> "$code=$count" }.joinToString(" ")
    val times =
        listOf(
            "first" to firstToken,
            "token" to betweenTokens,
            "whole" to total,
        ).joinToString(" ") { (label, histogram) ->
            PERCENTILES.joinToString(" ") { "${label}_p${it.toInt()}=%.1f".format(histogram.millisAt(it)) }
        }
    return "load stream=$name seconds=$seconds seed=$seed $outcomes $times"
}

private val PERCENTILES = listOf(50.0, 95.0, 99.0)
