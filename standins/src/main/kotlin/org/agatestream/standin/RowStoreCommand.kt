@file:OptIn(ExperimentalCli::class)

package org.agatestream.standin

import kotlinx.cli.ArgType
import kotlinx.cli.ExperimentalCli
import kotlinx.cli.default
import kotlin.time.Duration.Companion.milliseconds

/** Runs a row store with a manifest, and backend servers that respond with streams. */
internal class RowStoreCommand : ListenCommand("row-store", "Row store of the users' platform, with backend servers") {
    private val servers by option(ArgType.Int, description = "number of backend servers").default(8)
    private val slots by option(ArgType.Int, description = "slots of each backend server").default(8)
    private val workspaces by option(ArgType.Int, description = "number of workspaces").default(8)
    private val rate by option(ArgType.Int, description = "requests per second of each workspace").default(100)
    private val events by option(ArgType.Int, description = "events of each response").default(20)
    private val eventMillis by
        option(ArgType.Int, "event-millis", description = "time between two events").default(30)

    override fun execute() {
        val store = RowStoreStandIn()
        store.put("op", "config", manifest())
        repeat(servers) { number ->
            val server = PlatformServerStandIn("s-$number", events, eventMillis.milliseconds)
            val address = "127.0.0.1:${server.listen(0)}"
            val domain = "d${number % DOMAINS + 1}"
            store.put("servers", server.id, serverEntry(address, domain))
        }
        runUntilTerminated(store.listen(port))
    }

    private fun serverEntry(
        address: String,
        domain: String,
    ): String = """{"Service":"s","Address":"$address","Zone":"$domain","Slots":$slots,"State":"ready"}"""

    private fun manifest(): String {
        val tenants =
            (0 until workspaces).joinToString(",") {
                """{"Name":"w-$it","ApiKeys":["key-$it"],"RatePerS":$rate,"Burst":$rate}"""
            }
        val route =
            """{"Name":"ask","Hostname":"h.example","Prefix":"/ask/","Type":"stream","Service":"s",""" +
                """"SloMs":300,"TimeoutMs":5000}"""
        return """{"Version":1,"Routes":[$route],"Services":[{"Name":"s"}],"Tenants":[$tenants]}"""
    }

    private companion object {
        const val DOMAINS = 2
    }
}
