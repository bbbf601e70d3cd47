package org.agatestream.core

/**
 * Parses all settings of the fleet, as JSON text by path, into a view at [revision].
 *
 * Checks the type and range of every setting and then all references between settings; returns all faults at once.
 */
public fun parseFleet(
    settings: Map<String, String>,
    revision: Revision,
): ParsedSettings<FleetView> {
    val builder = FleetBuilder(revision)
    for ((path, text) in settings) builder.add(path, text)
    val view = builder.build()
    val faults = builder.faults + view.referenceFaults()
    return if (faults.isEmpty()) ParsedSettings.Valid(view) else ParsedSettings.Invalid(faults)
}

/** Collects parsed settings by kind. */
private class FleetBuilder(
    private val revision: Revision,
) {
    val faults = mutableListOf<SettingFault>()
    private val failureDomains = mutableMapOf<FailureDomainId, FailureDomainSetting>()
    private val backendServers = mutableMapOf<BackendServerId, BackendServerSetting>()
    private val models = mutableMapOf<ModelId, ModelSetting>()
    private val routes = mutableMapOf<RouteId, RouteSetting>()
    private val quietHours = mutableMapOf<String, QuietHoursSetting>()
    private val workspaces = mutableMapOf<WorkspaceId, Workspace>()
    private val callerKeys = mutableMapOf<KeyHash, CallerKey>()
    private val operatorKeys = mutableMapOf<KeyHash, OperatorKey>()

    fun add(
        text: String,
        json: String,
    ) {
        val path = SettingPath.parse(text)
        val kind = path?.let { SettingKind.of(it) }
        if (path == null || kind == null) {
            faults += SettingFault(text, "", "a path that no setting has", SettingKind.ALLOWED_PATHS)
            return
        }
        when (val parsed = parseSettings(kind.serializer, text, json)) {
            is ParsedSettings.Invalid -> faults += parsed.faults
            is ParsedSettings.Valid -> put(path, parsed.value)
        }
    }

    fun build(): FleetView =
        FleetView(
            revision = revision,
            failureDomains = failureDomains,
            backendServers = backendServers,
            models = models,
            routes = routes,
            quietHours = quietHours,
            workspaces = workspaces,
            callerKeys = callerKeys,
            operatorKeys = operatorKeys,
        )

    private fun put(
        path: SettingPath,
        value: Any?,
    ) {
        val id = path.segments.last()
        when (value) {
            is FailureDomainSetting -> failureDomains[FailureDomainId(id)] = value
            is BackendServerSetting -> backendServers[BackendServerId(id)] = value
            is ModelSetting -> models[ModelId(id)] = value
            is RouteSetting -> routes[RouteId(id)] = value
            is QuietHoursSetting -> quietHours[id] = value
            is OperatorKeySetting -> putOperatorKey(path, value)
            is WorkspaceSetting -> putWorkspace(path, value)
            is CallerKeySetting -> putCallerKey(path, value)
        }
        faults += rangeFaults(path.text, value)
    }

    private fun putWorkspace(
        path: SettingPath,
        setting: WorkspaceSetting,
    ) {
        val workspace = Workspace(WorkspaceId(path.segments[3]), path.segments[1], setting)
        val other = workspaces.put(workspace.id, workspace)
        if (other != null) {
            faults += SettingFault(path.text, "", "an id that team ${other.team} uses", "ids unique among all teams")
        }
    }

    private fun putCallerKey(
        path: SettingPath,
        setting: CallerKeySetting,
    ) {
        val other = callerKeys.put(setting.hash, CallerKey(KeyId(path.text), setting.workspace))
        if (other != null) faults += duplicateHash(path, other.id)
    }

    private fun putOperatorKey(
        path: SettingPath,
        setting: OperatorKeySetting,
    ) {
        val other = operatorKeys.put(setting.hash, OperatorKey(KeyId(path.text), setting.subtree))
        if (other != null) faults += duplicateHash(path, other.id)
    }

    private fun duplicateHash(
        path: SettingPath,
        other: KeyId,
    ) = SettingFault(path.text, "hash", "the hash of ${other.value}", "a hash of its own for each key")
}
