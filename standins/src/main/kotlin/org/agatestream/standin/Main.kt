@file:JvmName("MainKt")
@file:OptIn(ExperimentalCli::class)

package org.agatestream.standin

import kotlinx.cli.ArgParser
import kotlinx.cli.ArgType
import kotlinx.cli.ExperimentalCli
import kotlinx.cli.Subcommand
import kotlinx.cli.default

/** Runs the stand-in that the first argument names. */
public fun main(args: Array<String>) {
    val parser = ArgParser("agatestream-standins")
    parser.subcommands(PlatformCommand())
    parser.parse(args.ifEmpty { arrayOf("--help") })
}

/** A subcommand that listens on a port and says when it is ready. */
internal abstract class ListenCommand(
    name: String,
    description: String,
) : Subcommand(name, description) {
    protected val port by option(ArgType.Int, description = "port on loopback; 0 takes a free one").default(0)

    protected fun ready(port: Int) {
        println("ready port=$port")
        System.out.flush()
        Thread.currentThread().join()
    }
}

private class PlatformCommand : ListenCommand("platform", "Table service, object store, VM list and weight store") {
    private val readsPerSecond by
        option(ArgType.Int, "reads-per-second", description = "reads taken a second").default(2_000)
    private val writesPerSecond by
        option(ArgType.Int, "writes-per-second", description = "writes taken a second").default(500)
    private val weightsPerSecond by
        option(ArgType.Int, "weights-per-second", description = "weight reads taken a second").default(2)

    override fun execute() {
        val rates = PlatformRates(readsPerSecond, writesPerSecond, weightsPerSecond)
        ready(PlatformStandIn(rates).listen(port))
    }
}
