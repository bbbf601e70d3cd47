package org.agatestream.cli

import kotlinx.cli.ArgType
import kotlinx.cli.ExperimentalCli
import kotlinx.cli.Subcommand
import kotlinx.cli.required
import org.agatestream.core.ParsedSettings
import org.agatestream.core.parseSettings
import org.agatestream.server.VmConfig

/** Runs an entry VM until it is told to stop. */
@OptIn(ExperimentalCli::class)
internal class ServeCommand(
    private val selected: SelectedAction,
) : Subcommand("serve", "Run an entry VM") {
    private val config by option(ArgType.String, description = "Settings file of this VM").required()

    override fun execute() {
        selected.action = { serve() }
    }

    private fun serve(): ExitStatus {
        val text = readInput(config).decodeToString()
        return when (val parsed = parseSettings(VmConfig.serializer(), config, text)) {
            is ParsedSettings.Invalid -> {
                parsed.faults.forEach { System.err.println(it) }
                ExitStatus.BAD_USE
            }

            is ParsedSettings.Valid -> {
                ExitStatus.DONE
            }
        }
    }
}
