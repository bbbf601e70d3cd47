package org.agatestream.core

import kotlinx.serialization.KSerializer

/** A kind of setting, identified by its path. */
internal enum class SettingKind(
    val serializer: KSerializer<*>,
    private val scope: String,
    private val group: String,
) {
    FAILURE_DOMAIN(FailureDomainSetting.serializer(), FLEET_SCOPE, "failure-domains"),
    BACKEND_SERVER(BackendServerSetting.serializer(), FLEET_SCOPE, "backend-servers"),
    MODEL(ModelSetting.serializer(), FLEET_SCOPE, "models"),
    ROUTE(RouteSetting.serializer(), FLEET_SCOPE, "routes"),
    QUIET_HOURS(QuietHoursSetting.serializer(), FLEET_SCOPE, "quiet-hours"),
    OPERATOR_KEY(OperatorKeySetting.serializer(), FLEET_SCOPE, "operators"),
    WORKSPACE(WorkspaceSetting.serializer(), TEAMS_SCOPE, "workspaces"),
    CALLER_KEY(CallerKeySetting.serializer(), TEAMS_SCOPE, "keys"),
    ;

    companion object {
        const val ALLOWED_PATHS: String =
            "/fleet/<failure-domains|backend-servers|models|routes|quiet-hours|operators>/<id> or " +
                "/teams/<team>/<workspaces|keys>/<id>"

        /** Returns the kind of the setting at [path], or null if no setting has such a path. */
        fun of(path: SettingPath): SettingKind? {
            val parts = path.segments
            val group =
                when {
                    parts[0] == FLEET_SCOPE && parts.size == FLEET_PATH_SEGMENTS -> parts[1]
                    parts[0] == TEAMS_SCOPE && parts.size == TEAMS_PATH_SEGMENTS -> parts[2]
                    else -> return null
                }
            return entries.firstOrNull { it.scope == parts[0] && it.group == group }
        }
    }
}

private const val FLEET_SCOPE = "fleet"
private const val TEAMS_SCOPE = "teams"
private const val FLEET_PATH_SEGMENTS = 3
private const val TEAMS_PATH_SEGMENTS = 4
