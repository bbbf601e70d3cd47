package org.agatestream.cli

import kotlinx.cli.ArgParser
import kotlinx.coroutines.runBlocking
import kotlin.concurrent.thread
import kotlin.system.exitProcess

/** Runs the command specified by [args] and exits with its [ExitStatus]. */
public fun main(args: Array<String>) {
    val action = parseArguments(args)
    val status = runBlocking { action() }
    exitProcess(status.code)
}

/** Parses [args]; on invalid arguments prints the usage and exits with [ExitStatus.BAD_USE]. */
private fun parseArguments(args: Array<String>): suspend () -> ExitStatus {
    val selected = SelectedAction()
    val parser = ArgParser("agatestream")
    parser.subcommands(
        ServeCommand(selected),
        FleetCommand(selected),
        SettingsCommand(selected),
        JobCommand(selected),
        ReportCommand(selected),
        LoadCommand(selected),
        VersionCommand(selected),
    )
    val arguments = if (args.isEmpty()) arrayOf("--help") else args
    val isHelp = arguments.any { it == "--help" || it == "-h" }
    val status = if (isHelp) ExitStatus.DONE else ExitStatus.BAD_USE
    // On help or an error the parser calls exitProcess itself; the hook replaces its exit status.
    val hook = thread(start = false) { Runtime.getRuntime().halt(status.code) }
    Runtime.getRuntime().addShutdownHook(hook)
    parser.parse(arguments)
    Runtime.getRuntime().removeShutdownHook(hook)
    return selected.action ?: suspend {
        System.err.println("a subcommand is missing; see --help")
        ExitStatus.BAD_USE
    }
}

/** Holds the action of the subcommand that was parsed. */
internal class SelectedAction {
    var action: (suspend () -> ExitStatus)? = null
}
