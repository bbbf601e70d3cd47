package org.agatestream.standin

import kotlin.time.Duration

/** The manifests of a [RollingStop]; every other version lacks the route and the key of some callers. */
internal class StopManifests(
    private val timeout: Duration,
) {
    private var version = 0

    /** Returns the manifest to start with. */
    fun first(): String = next()

    /** Returns the next version. */
    fun next(): String {
        version++
        val isWhole = version % 2 == 1
        val routes = listOfNotNull("ask", "passing".takeIf { isWhole }).joinToString(",") { streamRoute(it) }
        val tenants = listOfNotNull(tenant("team", "secret-key"), tenant("other", "passing-key").takeIf { isWhole })
        return """{"Version":$version,"Routes":[$routes,$LOT],"Services":[{"Name":"s"}],"Tenants":[${tenants.joinToString(
            ",",
        )}]}"""
    }

    private fun streamRoute(name: String): String =
        """{"Name":"$name","Hostname":"h.example","Prefix":"/$name/","Type":"stream","Service":"s","SloMs":300,""" +
            """"GapTargetMs":400,"TimeoutMs":${timeout.inWholeMilliseconds},"MaxAttempts":1}"""

    private fun tenant(
        name: String,
        key: String,
    ): String = """{"Name":"$name","ApiKeys":["$key"]}"""

    private companion object {
        const val LOT =
            """{"Name":"lot","Hostname":"h.example","Prefix":"/lot/","Type":"batch","Service":"s",
            "CompletionTargetMs":9000,"KeepS":60,"MaxAttempts":3}"""
    }
}
