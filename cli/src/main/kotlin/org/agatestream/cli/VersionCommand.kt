package org.agatestream.cli

import kotlinx.cli.ExperimentalCli
import kotlinx.cli.Subcommand

/** Prints the version of the program. */
@OptIn(ExperimentalCli::class)
internal class VersionCommand(
    private val selected: SelectedAction,
) : Subcommand("version", "Print the version") {
    override fun execute() {
        selected.action = {
            println("agatestream $VERSION")
            ExitStatus.DONE
        }
    }

    private companion object {
        const val VERSION = "0.1.0"
    }
}
