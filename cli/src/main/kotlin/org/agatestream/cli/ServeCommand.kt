package org.agatestream.cli

import kotlinx.cli.ArgType
import kotlinx.cli.ExperimentalCli
import kotlinx.cli.Subcommand
import kotlinx.cli.required
import org.agatestream.server.EntryVm
import org.agatestream.server.FleetSecrets
import org.agatestream.server.VmConfig
import java.io.IOException

/** Runs an entry VM until SIGTERM or SIGINT. */
@OptIn(ExperimentalCli::class)
internal class ServeCommand(
    private val selected: SelectedAction,
) : Subcommand("serve", "Run an entry VM") {
    private val config by option(ArgType.String, description = "Settings file of this VM").required()

    override fun execute() {
        selected.action = { serve() }
    }

    private suspend fun serve(): ExitStatus = withSettings(VmConfig.serializer(), config) { run(it) }

    private suspend fun run(config: VmConfig): ExitStatus {
        val secret = readFleetSecret(config.fleetSecretVariable) ?: return ExitStatus.BAD_USE
        val secrets = FleetSecrets(secret, System.getenv(BOOTSTRAP_VARIABLE))
        lateinit var vm: EntryVm
        try {
            runUntilTerminated({ vm = EntryVm(config, secrets).also { it.start() } }) { vm.stop() }
        } catch (e: IOException) {
            System.err.println("cannot listen on ${config.callerAddress} and ${config.peerAddress}: ${e.message}")
            return ExitStatus.FAILED
        }
        return ExitStatus.DONE
    }

    private companion object {
        const val BOOTSTRAP_VARIABLE = "AGATESTREAM_BOOTSTRAP_OPERATOR_KEY"
    }
}
