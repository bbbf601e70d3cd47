package org.agatestream.standin

import kotlinx.coroutines.delay
import kotlinx.coroutines.withTimeoutOrNull
import java.io.File
import kotlin.time.Duration.Companion.milliseconds
import kotlin.time.Duration.Companion.seconds

/** A process of a scenario; its output is written to [log]. */
internal class FleetProcess private constructor(
    val name: String,
    private val process: Process,
    val log: File,
) {
    val pid: Long get() = process.pid()

    val isAlive: Boolean get() = process.isAlive

    /** The exit status, or null while the process runs. */
    val exitStatus: Int? get() = if (process.isAlive) null else process.exitValue()

    fun kill() {
        process.destroyForcibly()
    }

    /** Requests termination with SIGTERM. */
    fun stop() {
        process.destroy()
    }

    fun freeze() = signal("STOP")

    /** Sends SIGHUP. */
    fun hangUp() = signal("HUP")

    fun resume() = signal("CONT")

    /** Kills the process and waits until it has terminated. */
    fun killAndWait() {
        process.destroyForcibly().waitFor()
    }

    /** Waits for the line `ready port=<port>` in the log; fails if the process terminates first or takes too long. */
    suspend fun awaitPort(): Int =
        withTimeoutOrNull(START_TIMEOUT) {
            var port: Int? = null
            while (port == null && isAlive) {
                delay(POLL_INTERVAL)
                port = READY_LINE.find(log.readText())?.let { it.groupValues[1].toInt() }
            }
            port
        } ?: throw ScenarioFailure("$name did not start; see $log")

    private fun signal(signal: String) {
        ProcessBuilder("kill", "-$signal", "${process.pid()}").start().waitFor()
    }

    companion object {
        private val START_TIMEOUT = 20.seconds
        private val POLL_INTERVAL = 20.milliseconds
        private val READY_LINE = Regex("ready port=(\\d+)")

        /** Starts a Java program with a small heap. */
        fun java(
            name: String,
            arguments: List<String>,
            environment: Map<String, String>,
            directory: File,
        ): FleetProcess {
            val java = File(System.getProperty("java.home"), "bin/java").path
            val options = listOf("-Xmx512m", "-XX:+UseSerialGC", "-XX:TieredStopAtLevel=1")
            val log = File(directory, "$name.log")
            val builder = ProcessBuilder(listOf(java) + options + arguments)
            builder.environment().putAll(environment)
            builder.redirectErrorStream(true).redirectOutput(log)
            return FleetProcess(name, builder.start(), log)
        }
    }
}

/** Aborts a scenario that cannot continue or whose expectation is not met. */
internal class ScenarioFailure(
    message: String,
) : Exception(message)
