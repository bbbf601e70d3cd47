package org.agatestream.cli

import kotlinx.cli.ArgType
import kotlinx.cli.ExperimentalCli
import kotlinx.cli.Subcommand
import kotlinx.cli.required
import java.net.URLEncoder

/** Submits and manages batch jobs. */
@OptIn(ExperimentalCli::class)
internal class JobCommand(
    selected: SelectedAction,
) : Subcommand("job", "Submit, inspect and cancel batch jobs") {
    init {
        subcommands(
            JobSubmitCommand(selected),
            JobCallCommand(selected, "status", "Print the state of a job", "GET", ""),
            JobCallCommand(selected, "results", "Print the results of a job as JSON lines", "GET", "/results"),
            JobCallCommand(selected, "cancel", "Cancel a job", "POST", "/cancel"),
        )
    }

    override fun execute() = Unit
}

@OptIn(ExperimentalCli::class)
private class JobSubmitCommand(
    private val selected: SelectedAction,
) : Subcommand("submit", "Submit a file of items as a job; retry with the same key if no response arrives") {
    private val entry by option(ArgType.String, description = "Entry addresses, separated by commas")
    private val target by option(ArgType.String, description = "Request path of each item").required()
    private val key by option(ArgType.String, description = "Idempotency key of the job").required()
    private val deadline by option(ArgType.String, description = "Deadline of the job, e.g. 2026-01-31T06:00:00Z")
    private val file by argument(ArgType.String, description = "JSON lines file, or - for standard input")

    override fun execute() {
        selected.action = { withApi(entry) { submit(it) } }
    }

    private suspend fun submit(api: ApiClient): ExitStatus {
        val deadlineQuery = deadline?.let { "&deadline=${URLEncoder.encode(it, Charsets.UTF_8)}" }.orEmpty()
        val path = "/v1/batches?target=${URLEncoder.encode(target, Charsets.UTF_8)}$deadlineQuery"
        val headers = listOf("idempotency-key" to key, "content-type" to "application/jsonl")
        val items = readInput(file) ?: return ExitStatus.BAD_USE
        return api.call("POST", path, items, headers).print()
    }
}

@OptIn(ExperimentalCli::class)
private class JobCallCommand(
    private val selected: SelectedAction,
    name: String,
    description: String,
    private val method: String,
    private val suffix: String,
) : Subcommand(name, description) {
    private val entry by option(ArgType.String, description = "Entry addresses, separated by commas")
    private val job by argument(ArgType.String, description = "Id of the job")

    override fun execute() {
        selected.action = { withApi(entry) { it.call(method, "/v1/batches/$job$suffix").print() } }
    }
}
