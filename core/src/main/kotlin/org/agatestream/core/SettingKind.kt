package org.agatestream.core

import kotlinx.serialization.KSerializer

/** A kind of setting, told by its path. */
internal enum class SettingKind(
    val serializer: KSerializer<*>,
    private val scope: String,
    private val group: String,
) {
    FAILURE_DOMAIN(FailureDomainSetting.serializer(), FLEET, "failure-domains"),
    BACKEND_SERVER(BackendServerSetting.serializer(), FLEET, "backend-servers"),
    MODEL(ModelSetting.serializer(), FLEET, "models"),
    ROUTE(RouteSetting.serializer(), FLEET, "routes"),
    QUIET_HOURS(QuietHoursSetting.serializer(), FLEET, "quiet-hours"),
    OPERATOR_KEY(OperatorKeySetting.serializer(), FLEET, "operators"),
    WORKSPACE(WorkspaceSetting.serializer(), TEAMS, "workspaces"),
    CALLER_KEY(CallerKeySetting.serializer(), TEAMS, "keys"),
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
                    parts[0] == FLEET && parts.size == FLEET_SEGMENTS -> parts[1]
                    parts[0] == TEAMS && parts.size == TEAMS_SEGMENTS -> parts[2]
                    else -> return null
                }
            return entries.firstOrNull { it.scope == parts[0] && it.group == group }
        }
    }
}

private const val FLEET = "fleet"
private const val TEAMS = "teams"
private const val FLEET_SEGMENTS = 3
private const val TEAMS_SEGMENTS = 4
