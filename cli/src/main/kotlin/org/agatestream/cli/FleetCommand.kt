package org.agatestream.cli

import kotlinx.cli.ArgType
import kotlinx.cli.ExperimentalCli
import kotlinx.cli.Subcommand
import org.agatestream.core.ParsedSettings
import org.agatestream.core.parseSettings
import org.agatestream.server.EventLog
import org.agatestream.server.PlatformVm
import org.agatestream.server.PlatformVmConfig
import java.io.IOException

/** Runs a VM on the users' platform until SIGTERM or SIGINT. */
@OptIn(ExperimentalCli::class)
internal class FleetCommand(
    private val selected: SelectedAction,
) : Subcommand("fleet", "Run a VM on the users' platform") {
    private val config by option(ArgType.String, description = "Settings file; the default is the value of $VARIABLE")

    override fun execute() {
        selected.action = { serve() }
    }

    private suspend fun serve(): ExitStatus {
        val file = config ?: System.getenv(VARIABLE)
        if (file == null) {
            System.err.println("no settings file: use --config or set $VARIABLE")
            return ExitStatus.BAD_USE
        }
        return withSettings(PlatformVmConfig.serializer(), file) { run(it, file) }
    }

    private suspend fun run(
        config: PlatformVmConfig,
        file: String,
    ): ExitStatus {
        val secret = readFleetSecret(config.fleetSecretVariable) ?: return ExitStatus.BAD_USE
        onHangUp { reload(file, config) }
        val vm = PlatformVm(config, secret)
        try {
            runUntilTerminated({ vm.start() }) { vm.stop() }
        } catch (e: IOException) {
            System.err.println("cannot listen on ${config.callerAddress} and ${config.peerAddress}: ${e.message}")
            return ExitStatus.FAILED
        }
        return ExitStatus.DONE
    }

    /** Validates the settings file and logs whether it changed; changes take effect only after a restart. */
    private fun reload(
        file: String,
        running: PlatformVmConfig,
    ) {
        val text = readInput(file)?.decodeToString() ?: return
        when (val parsed = parseSettings(PlatformVmConfig.serializer(), file, text)) {
            is ParsedSettings.Valid -> EventLog.info("settings_read", "changed" to (parsed.value != running))
            is ParsedSettings.Invalid -> EventLog.warn("settings_invalid", "faults" to parsed.faults.joinToString("; "))
        }
    }

    private companion object {
        const val VARIABLE = "AGATESTREAM_SETTINGS"
    }
}
