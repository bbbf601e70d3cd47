@file:JvmName("MainKt")
@file:OptIn(ExperimentalCli::class)

package org.agatestream.standin

import kotlinx.cli.ArgParser
import kotlinx.cli.ArgType
import kotlinx.cli.ExperimentalCli
import kotlinx.cli.Subcommand
import kotlinx.cli.default
import kotlinx.coroutines.runBlocking
import java.io.File
import kotlin.system.exitProcess
import kotlin.time.Duration.Companion.microseconds
import kotlin.time.Duration.Companion.milliseconds

/** Runs the stand-in or scenario command specified by the first argument. */
public fun main(args: Array<String>) {
    val parser = ArgParser("agatestream-standins")
    parser.subcommands(
        PlatformCommand(),
        EngineCommand(),
        ServiceCommand(),
        RowStoreCommand(),
        RunCommand(),
        QuickstartCommand(),
    )
    parser.parse(args.ifEmpty { arrayOf("--help") })
}

/** A subcommand that listens on a port, prints `ready port=<port>` and runs until it is terminated. */
internal abstract class ListenCommand(
    name: String,
    description: String,
) : Subcommand(name, description) {
    protected val port by option(ArgType.Int, description = "port on loopback; 0 selects a free one").default(0)

    protected fun runUntilTerminated(port: Int) {
        println("ready port=$port")
        System.out.flush()
        Thread.currentThread().join()
    }
}

private class PlatformCommand : ListenCommand("platform", "Table service, object store, VM list and weight store") {
    private val readsPerSecond by
        option(ArgType.Int, "reads-per-second", description = "maximum reads per second").default(2_000)
    private val writesPerSecond by
        option(ArgType.Int, "writes-per-second", description = "maximum writes per second").default(500)
    private val weightsPerSecond by
        option(ArgType.Int, "weights-per-second", description = "maximum weight reads per second").default(2)

    override fun execute() {
        val rates = PlatformRates(readsPerSecond, writesPerSecond, weightsPerSecond)
        runUntilTerminated(PlatformStandIn(rates).listen(port))
    }
}

private class EngineCommand : ListenCommand("engine", "Model engine with continuous batching") {
    private val cold by option(ArgType.Boolean, description = "start cold").default(false)
    private val checksFencing by
        option(ArgType.Boolean, "checks-fencing", description = "reject outdated fencing numbers").default(false)
    private val stepMicros by
        option(ArgType.Int, "step-micros", description = "duration of a step of an empty batch").default(10_000)
    private val requestMicros by
        option(ArgType.Int, "request-micros", description = "step duration added per request").default(1_000)
    private val prefillMillis by
        option(ArgType.Int, "prefill-millis", description = "prefill time of an uncached prompt").default(40)
    private val maxRunning by option(ArgType.Int, "max-running", description = "maximum batch size").default(32)
    private val coldSlots by option(ArgType.Int, "cold-slots", description = "maximum requests while cold").default(2)
    private val cachedPrefixes by
        option(ArgType.Int, "cached-prefixes", description = "size of the prefix cache").default(64)
    private val loadLagMillis by
        option(ArgType.Int, "load-lag-millis", description = "age of the reported load").default(500)
    private val reloadMillis by
        option(ArgType.Int, "reload-millis", description = "refusal time after an overload").default(2_000)

    override fun execute() {
        val limits =
            EngineLimits(
                stepBase = stepMicros.microseconds,
                stepPerRequest = requestMicros.microseconds,
                prefill = prefillMillis.milliseconds,
                maxRunning = maxRunning,
                coldSlots = coldSlots,
                cachedPrefixes = cachedPrefixes,
            )
        val lag = loadLagMillis.milliseconds
        val options = EngineOptions(limits, cold, checksFencing, lag, reloadMillis.milliseconds)
        runUntilTerminated(EngineStandIn(options).listen(port))
    }
}

private class ServiceCommand : ListenCommand("service", "Spoke lengths and bookings") {
    override fun execute() {
        runUntilTerminated(ServiceStandIn().listen(port))
    }
}

/** A subcommand that runs a scenario; the exit status is 0 if it passed, 1 if it failed, 2 if the file is invalid. */
private abstract class ScenarioCommand(
    name: String,
    description: String,
) : Subcommand(name, description) {
    private val binary by
        option(ArgType.String, description = "jar of the system").default("cli/target/agatestream")
    private val directory by
        option(ArgType.String, description = "directory for logs").default("standins/target/scenarios")

    protected fun run(
        name: String,
        text: String,
    ): Nothing {
        val status =
            when (val parsed = parseScenario(name, text)) {
                is ParsedScenario.Invalid -> {
                    parsed.faults.forEach { System.err.println(it) }
                    STATUS_INVALID
                }

                is ParsedScenario.Valid -> {
                    run(parsed.scenario)
                }
            }
        exitProcess(status)
    }

    private fun run(scenario: Scenario): Int {
        val classPath = System.getProperty("java.class.path")
        val logs = File(directory, scenario.name.removeSuffix(SCENARIO_SUFFIX))
        val runner = ScenarioRunner(FleetFiles(File(binary), classPath, logs), ::println)
        return when (val outcome = runBlocking { runner.run(scenario) }) {
            is ScenarioOutcome.Passed -> {
                println("passed")
                0
            }

            is ScenarioOutcome.Failed -> {
                println("failed: ${outcome.message}")
                STATUS_FAILED
            }
        }
    }

    private companion object {
        const val STATUS_FAILED = 1
        const val STATUS_INVALID = 2
    }
}

private class RunCommand : ScenarioCommand("run", "Run a scenario file") {
    private val file by argument(ArgType.String, description = "scenario file")

    override fun execute() = run(File(file).name, File(file).readText())
}

private class QuickstartCommand : ScenarioCommand("quickstart", "Run the quickstart") {
    override fun execute() {
        val text = javaClass.getResource("/quickstart.scenario")?.readText() ?: error("the quickstart is missing")
        run("quickstart.scenario", text)
    }
}

/** The file name extension of scenarios. */
internal const val SCENARIO_SUFFIX = ".scenario"
