package org.agatestream.cli

import kotlinx.cli.ArgType
import kotlinx.cli.ExperimentalCli
import kotlinx.cli.Subcommand
import kotlinx.cli.default
import kotlinx.serialization.builtins.MapSerializer
import kotlinx.serialization.builtins.serializer
import kotlinx.serialization.json.JsonElement
import org.agatestream.core.ParsedSettings
import org.agatestream.core.Revision
import org.agatestream.core.parseFleet
import java.util.UUID

/** Reads, checks and changes the settings of a fleet. */
@OptIn(ExperimentalCli::class)
internal class SettingsCommand(
    selected: SelectedAction,
) : Subcommand("settings", "Read, check and change settings") {
    init {
        subcommands(
            SettingsGetCommand(selected),
            SettingsPutCommand(selected),
            SettingsCheckCommand(selected),
            SettingsHistoryCommand(selected),
        )
    }

    override fun execute() = Unit
}

@OptIn(ExperimentalCli::class)
private class SettingsGetCommand(
    private val selected: SelectedAction,
) : Subcommand("get", "Print a setting, or all settings under a path") {
    private val entry by option(ArgType.String, description = "Entry addresses, separated by commas")
    private val path by argument(ArgType.String, description = "Path of the setting")

    override fun execute() {
        selected.action = { withApi(entry) { it.call("GET", "/admin/v1/settings$path").print() } }
    }
}

@OptIn(ExperimentalCli::class)
private class SettingsPutCommand(
    private val selected: SelectedAction,
) : Subcommand("put", "Change or delete a setting") {
    private val entry by option(ArgType.String, description = "Entry addresses, separated by commas")
    private val revision by option(ArgType.Int, description = "Expected current revision of the setting")
    private val change by option(
        ArgType.String,
        description = "Id of this change; reuse it to retry after a lost response",
    )
    private val delete by option(ArgType.Boolean, description = "Delete the setting").default(false)
    private val path by argument(ArgType.String, description = "Path of the setting")
    private val file by argument(ArgType.String, description = "File with the new value, or - for standard input")

    override fun execute() {
        selected.action = { withApi(entry) { put(it) } }
    }

    private suspend fun put(api: ApiClient): ExitStatus {
        val body = (if (delete) ByteArray(0) else readInput(file)) ?: return ExitStatus.BAD_USE
        val id = change ?: UUID.randomUUID().toString()
        val headers =
            buildList {
                add("x-change-id" to id)
                revision?.let { add("x-expected-revision" to it.toString()) }
            }
        val result = api.call(if (delete) "DELETE" else "PUT", "/admin/v1/settings$path", body, headers)
        val status = result.print()
        if (status == ExitStatus.FAILED) System.err.println("change=$id")
        return status
    }
}

@OptIn(ExperimentalCli::class)
private class SettingsCheckCommand(
    private val selected: SelectedAction,
) : Subcommand("check", "Validate a file of settings without applying it") {
    private val file by argument(ArgType.String, description = "File with a JSON object that maps paths to settings")

    override fun execute() {
        selected.action = { check(file) }
    }

    private fun check(file: String): ExitStatus =
        withSettings(MapSerializer(String.serializer(), JsonElement.serializer()), file) { settings ->
            when (val parsed = parseFleet(settings.mapValues { it.value.toString() }, Revision.NONE)) {
                is ParsedSettings.Invalid -> {
                    parsed.printFaults()
                }

                is ParsedSettings.Valid -> {
                    println("valid")
                    ExitStatus.DONE
                }
            }
        }
}

@OptIn(ExperimentalCli::class)
private class SettingsHistoryCommand(
    private val selected: SelectedAction,
) : Subcommand("history", "Print the change history of a setting, newest first") {
    private val entry by option(ArgType.String, description = "Entry addresses, separated by commas")
    private val path by argument(ArgType.String, description = "Path of the setting")

    override fun execute() {
        selected.action = { withApi(entry) { it.call("GET", "/admin/v1/history$path").print() } }
    }
}
