package org.agatestream.core

import java.time.DateTimeException
import java.time.LocalTime
import java.time.ZoneId
import java.time.format.DateTimeParseException

/** Returns the faults of the values of one setting, without its references. */
internal fun rangeFaults(
    path: String,
    setting: Any?,
): List<SettingFault> {
    val rules = SettingRules(path)
    when (setting) {
        is FailureDomainSetting -> rules.failureDomain(setting)
        is BackendServerSetting -> rules.backendServer(setting)
        is ModelSetting -> rules.atLeast("maxTokens", setting.maxTokens, 1)
        is RouteSetting -> rules.route(setting)
        is QuietHoursSetting -> rules.quietHours(setting)
        is OperatorKeySetting -> rules.operatorKey(setting)
        is WorkspaceSetting -> rules.workspace(setting)
        is CallerKeySetting -> rules.hash(setting.hash)
    }
    return rules.faults
}

/** Returns the faults of references between settings. */
internal fun FleetView.referenceFaults(): List<SettingFault> =
    buildList {
        for ((id, route) in routes) {
            for (server in route.backendServers) addAll(routeFaults(id, server))
        }
        for ((id, server) in backendServers) {
            for (model in server.models.filter { it !in models }) {
                add(SettingFault("/fleet/backend-servers/$id", "models", "$model", "an id below /fleet/models"))
            }
        }
        for (workspace in workspaces.values) {
            for (model in workspace.setting.models.filter { it !in models }) {
                val path = "/teams/${workspace.team}/workspaces/${workspace.id}"
                add(SettingFault(path, "models", "$model", "an id below /fleet/models"))
            }
        }
        for (key in callerKeys.values) {
            val team = key.id.value.split('/')[2]
            if (workspaces[key.workspace]?.team != team) {
                add(SettingFault(key.id.value, "workspace", "${key.workspace}", "a workspace of team $team"))
            }
        }
    }

private fun FleetView.routeFaults(
    id: RouteId,
    server: BackendServerId,
): List<SettingFault> {
    val kind = backendServers[server]?.kind
    if (kind == BackendKind.SERVICE) return emptyList()
    return listOf(SettingFault("/fleet/routes/$id", "backendServers", "$server", "a backend server of kind SERVICE"))
}

/** Validates the values of one setting and collects the faults. */
private class SettingRules(
    private val path: String,
) {
    val faults = mutableListOf<SettingFault>()

    fun failureDomain(setting: FailureDomainSetting) {
        setting.maxRunning?.let { atLeast("maxRunning", it, 0) }
    }

    fun backendServer(setting: BackendServerSetting) {
        val port = setting.address.substringAfterLast(':', "").toIntOrNull()
        if (port == null || port !in PORTS) add("address", setting.address, "host:port with a port of 1 to 65535")
        atLeast("coldSlots", setting.coldSlots, 1)
        atLeast("warmSlots", setting.warmSlots, setting.coldSlots)
        if (setting.kind == BackendKind.SERVICE && setting.models.isNotEmpty()) {
            add("models", "${setting.models.size} models", "none for a backend server of kind SERVICE")
        }
    }

    fun route(setting: RouteSetting) {
        if (setting.backendServers.isEmpty()) add("backendServers", "an empty list", "at least one backend server")
        for (prefix in setting.idempotentPaths.filterNot { it.startsWith("/") }) {
            add("idempotentPaths", prefix, "paths that start with a slash")
        }
    }

    fun quietHours(setting: QuietHoursSetting) {
        atLeast("maxRunning", setting.maxRunning, 0)
        atLeast("maxBatchRunning", setting.maxBatchRunning, 0)
        if (setting.maxBatchRunning > setting.maxRunning) {
            add("maxBatchRunning", "${setting.maxBatchRunning}", "at most maxRunning, ${setting.maxRunning}")
        }
        time("from", setting.from)
        time("to", setting.to)
        try {
            ZoneId.of(setting.timeZone)
        } catch (_: DateTimeException) {
            add("timeZone", setting.timeZone, "the name of a time zone, as in Europe/Paris")
        }
    }

    fun workspace(setting: WorkspaceSetting) {
        if (setting.ratePerSecond <= 0.0) add("ratePerSecond", "${setting.ratePerSecond}", "a number above 0")
        atLeast("burst", setting.burst, 1)
        atLeast("batchWeight", setting.batchWeight, 1)
    }

    fun operatorKey(setting: OperatorKeySetting) {
        hash(setting.hash)
        if (setting.subtree != "/" && SettingPath.parse(setting.subtree) == null) {
            add("subtree", setting.subtree, "a path, as in /teams/clinic")
        }
    }

    fun hash(hash: KeyHash) {
        if (!HASH.matches(hash.hex)) add("hash", "${hash.hex.length} characters", "64 lower-case hexadecimal digits")
    }

    fun atLeast(
        field: String,
        value: Int,
        minimum: Int,
    ) {
        if (value < minimum) add(field, "$value", "$minimum or more")
    }

    private fun time(
        field: String,
        text: String,
    ) {
        try {
            LocalTime.parse(text)
        } catch (_: DateTimeParseException) {
            add(field, text, "a local time, as in 22:00")
        }
    }

    private fun add(
        field: String,
        found: String,
        allowed: String,
    ) {
        faults += SettingFault(path, field, found, allowed)
    }

    private companion object {
        val PORTS = 1..65_535
        val HASH = Regex("[0-9a-f]{64}")
    }
}
